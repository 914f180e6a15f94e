#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin-2 review/standin-2/main.rs
