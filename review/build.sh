#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review into target/review.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review
mkdir -p target/review
javac -d target/review review/stand-ins/*.java $(find review/[1-5] -name '*.java')
