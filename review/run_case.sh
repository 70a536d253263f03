#!/usr/bin/env bash
# Runs a stand-in of the review for the case in FOLDER, and ends what it may leave behind:
#   run_case.sh STANDIN FOLDER
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -uo pipefail
standin="$1"
folder="$(cd "$2" && pwd)"
cd "$(dirname "$0")/.."

# Seconds after which a run is ended.
limit=112
TMPDIR="$(mktemp -d)"
PIDS="$TMPDIR/pids"
export TMPDIR PIDS

end_processes() {
    if [[ -f $PIDS ]]; then
        while read -r pid; do
            kill -KILL "$pid" 2>/dev/null
        done <"$PIDS"
    fi
    rm -rf "$TMPDIR"
}
trap end_processes EXIT

timeout --kill-after=2 "$limit" "target/review/release/$standin" "$folder/record.txt"
case $? in
    0) exit 0 ;;
    1) exit 1 ;;
    *) exit 2 ;;
esac
