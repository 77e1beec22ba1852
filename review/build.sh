#!/bin/sh
# Builds what the cases start beside the program of the deploy file: the project's load tool, which sends through the
# project's client library. The other stand-ins are scripts for Python 3.11, which only need to compile.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked -p weldhub-load
python3 -m py_compile review/lib/*.py review/[123]/case.py
