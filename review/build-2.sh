#!/bin/sh
# Builds the stand-ins of the second review's scripts: one program, of the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
exec rustc --edition 2021 -O -A warnings -o target/review-2/rig review/standin-2/main.rs
