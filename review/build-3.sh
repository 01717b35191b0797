#!/bin/bash
# Builds the stand-ins that the scripts of cases 11 to 15 start, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -d target/review-3 review/stand-ins-3/*.java
