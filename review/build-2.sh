#!/usr/bin/env bash
# Builds the stand-ins of the second review, without a network.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
exec cargo build --release --offline --locked --bins
