#!/usr/bin/env bash
# Runs every check and test. Exits 0 only if all of them pass, except for the tests that
# KNOWN-RED.txt names.
set -uo pipefail
cd "$(dirname "$0")/.."
source ci/known-red.sh

out="$(mktemp -d)"
trap 'rm -rf "$out"' EXIT
failed=0

step() {
    local name="$1" start=$SECONDS
    shift
    echo "== $name"
    if "$@"; then
        echo "-- $name: ok in $((SECONDS - start)) s"
    else
        echo "-- $name: FAILED after $((SECONDS - start)) s"
        failed=1
    fi
}

# Unit tests and those of each package may use every core. The tests of the root package start up to a
# dozen processes each, and soaks of a deployment up to eighty under load, so fewer of them run at once.
workspace_tests() {
    timeout 600 cargo test --workspace --exclude filberthead-cli --no-fail-fast
}
processes_tests() {
    timeout 1200 cargo test -p filberthead-cli --no-fail-fast -- --test-threads=4 --skip soak:: --skip crowds::
}
soaks_tests() {
    timeout 1200 cargo test -p filberthead-cli --no-fail-fast --test all -- --test-threads=2 soak::
}
# Each of these fills a process by itself, so they run one at a time and apart from other load.
crowds_tests() {
    timeout 900 cargo test -p filberthead-cli --no-fail-fast --test all -- --test-threads=1 crowds::
}

# Runs a suite; `report` prints and judges what came of it.
run_suite() {
    "$1_tests" >"$out/$1.txt" 2>&1
    echo $? >"$out/$1.code"
}

# Prints the closing lines of a suite's binaries.
report() {
    local name="$1"
    grep -E '^(test .* \.\.\. (FAILED|ignored)|test result:|error)' "$out/$name.txt" |
        grep -v '^test result: ok. 0 passed'
    judge "$(<"$out/$name.code")" "$out/$name.txt"
}

suite() {
    run_suite "$1"
    report "$1"
}

# Soaks wait for their time to pass, other tests for processes: both have cores to spare.
whole_systems() {
    cargo test -p filberthead-cli --no-run --quiet || return 1
    run_suite soaks &
    run_suite processes
    wait
    local code=0
    report processes || code=1
    report soaks || code=1
    return "$code"
}

documentation() {
    RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --quiet
}

step "known failures" known_red_is_valid
step "their judge" bash ci/known-red-check.sh
step "format" cargo fmt --all --check
step "lints" cargo clippy --workspace --all-targets --quiet -- -D warnings
step "code documentation" documentation
step "pages" bash ci/pages.sh
if [[ -f specs/check.sh ]]; then
    step "specifications" bash specs/check.sh
fi
step "build" cargo build --workspace --all-targets --quiet
step "getting started" bash ci/walk.sh
step "tests of packages" suite workspace
step "tests of whole systems" whole_systems
step "tests of crowds" suite crowds

summary "$out"/*.txt
if ((failed)); then
    for name in workspace processes soaks crowds; do
        [[ -f "$out/$name.txt" ]] && failure_output "$out/$name.txt"
    done
    echo "ci/test.sh: FAILED"
    exit 1
fi
echo "ci/test.sh: ok in $SECONDS s"
