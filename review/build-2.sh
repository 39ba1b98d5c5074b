#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/second/case_*.rs; do
  name=$(basename "$source" .rs)
  rustc --edition 2024 -C opt-level=2 -o "target/review-2/$name" "$source"
done
