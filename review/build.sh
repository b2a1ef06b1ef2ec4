#!/bin/sh
# Builds the stand-ins and clients of the scripts. They use the standard
# library only; the hosts come from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[1-5]/case.rs; do
    number=$(basename "$(dirname "$case")")
    rustc --edition 2024 -O -o "target/review/case-$number" "$case"
done
