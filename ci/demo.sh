#!/usr/bin/env bash
# Does the main job end to end with real processes on loopback ports, and prints each
# step's result and time.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --quiet --workspace --bins
exec "${CARGO_TARGET_DIR:-target}/debug/filberthead-demo"
