#!/usr/bin/env bash
# Runs every program that measures figures and prints `name: value unit`, a line each.
set -uo pipefail
cd "$(dirname "$0")/.."
cargo build --release --quiet --workspace --bins --examples || exit 1
failed=0

# The figures of a package: crates/NAME/examples/cost.rs prints them.
for example in crates/*/examples/{cost,waiting_cost}.rs; do
    [[ -f $example ]] || continue
    package="filberthead-$(cut -d/ -f2 <<<"$example")"
    [[ $package == filberthead-filberthead ]] && package=filberthead
    cargo run --release --quiet -p "$package" --example "$(basename "$example" .rs)" || failed=1
done

# The figures of whole systems of real processes. Their names begin with
# filberthead-measure-; `fleet` runs hundreds of nodes.
bin="${CARGO_TARGET_DIR:-target}/release"
for program in "$bin"/filberthead-measure-* "$bin"/fleet; do
    if [[ -x $program && $program != *.d ]]; then
        "$program" || failed=1
    fi
done
exit "$failed"
