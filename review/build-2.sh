#!/bin/sh
# Builds what the scripts of the second review start beside the programs of the deploy file: the stand-ins of
# review/lib-2, which need the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-2 review/lib-2/main.rs
