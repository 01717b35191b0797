#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review into target/review-2. They need nothing but the JDK.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all -d target/review-2 review/stand-ins-2/src/review2/*.java
