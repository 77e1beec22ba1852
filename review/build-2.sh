#!/bin/sh
# Builds what the scripts of the second review start beside the programs of the deploy file: the project's own load
# tool, and the stand-ins of review/lib-2, which need the standard library only.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked -p weldhub-load
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-2 review/lib-2/main.rs
