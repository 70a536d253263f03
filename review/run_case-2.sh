#!/usr/bin/env bash
# run_case-2.sh N PROGRAM: runs a program of review/standin-2 as case N, from the repository's root. The
# record is review/N/record.txt. Exits with 1 if a rule was broken, 0 if all held, 2 if the case couldn't run.
set -uo pipefail
cd "$(dirname "$0")/.."
record="review/$1/record.txt"
program="review/standin-2/target/release/$2"
rm -f "$record"
if [[ ! -x $program || ! -x target/release/filberthead-gateway || ! -x target/release/filberthead-control ]]; then
    echo "not built: see review/build-2.sh and deploy/system.toml"
    exit 2
fi

# The program and the processes that it starts are a process group of their own.
set -m
TMPDIR="$(mktemp -d)"
export TMPDIR
"$program" "$record" &
pid=$!
set +m
trap 'kill -KILL -- "-$pid" 2>/dev/null; rm -rf "$TMPDIR"' EXIT
for ((tenths = 0; tenths < 1170; tenths++)); do
    kill -0 "$pid" 2>/dev/null || break
    sleep 0.1
done
if kill -0 "$pid" 2>/dev/null; then
    echo "not over within 117 s"
    exit 2
fi
wait "$pid"
code=$?
case "$code" in
    0 | 1) exit "$code" ;;
    *) exit 2 ;;
esac
