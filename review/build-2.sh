#!/bin/sh
# Builds the stand-ins and checks that the scripts of the cases start.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/kit-2/Cargo.toml \
    --target-dir target/review-2
