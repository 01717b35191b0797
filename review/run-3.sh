#!/bin/bash
# Plays the case of the stand-in class $2 in the folder $1. Exits with 1 if its rule was broken, 0 if it held, 2 if it could not run.
root="$(cd "$(dirname "$0")/.." && pwd)"
folder="$(mktemp -d)"
trap 'rm -rf "$folder"' EXIT
cd "$root" || exit 2
java -Dlab.root="$root" -Dlab.folder="$folder" -Dlab.record="$root/review/$1/record.txt" -cp target/review-3 "$2"
code=$?
if [ "$code" != 0 ] && [ "$code" != 1 ]; then code=2; fi
exit "$code"
