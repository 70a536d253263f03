#!/usr/bin/env bash
# Builds every stand-in that a script of the review starts. Those of the project are linked in.
set -euo pipefail
cd "$(dirname "$0")/.."
exec cargo build --release --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
