#!/usr/bin/env bash
# Checks every specification in this folder.
#
# A specification lists its checks in its opening comment, a line each:
#   CHECK holds                  no assertion may fail
#   CHECK fails NAME,BOUND=2 why the variant compiled with these macros must fail
# Bounds: SECONDS_EACH of processor time and MEGABYTES of memory for each check. A check that ends
# otherwise than by a complete search or a failed assertion counts as failed.
set -u
cd "$(dirname "$0")"

SECONDS_EACH=${SECONDS_EACH:-60}
MEGABYTES=${MEGABYTES:-1024}
# Checks that run at once.
JOBS=${JOBS:-4}
DEPTH=1000000

for tool in spin gcc; do
    if ! command -v "$tool" > /dev/null; then
        echo "$tool is missing" >&2
        exit 2
    fi
done

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Prints `holds`, `fails` or what went wrong, and the number of states.
verdict() {
    local spec=$1 macros=$2 dir out defines=()
    dir=$work/$(basename "$spec" .pml)-${macros:-whole}
    IFS=, read -ra defines <<< "$macros"
    mkdir "$dir" && cp "$spec" "$dir/spec.pml" && cd "$dir" || return
    if ! spin "${defines[@]/#/-D}" -a spec.pml > spin.log 2>&1; then
        echo "spin-error"
        return
    fi
    gcc -O2 -w -DSAFETY -DMEMLIM="$MEGABYTES" -o pan pan.c || return
    out=$(ulimit -t "$SECONDS_EACH" && ./pan -m"$DEPTH" -w22 2>&1)
    local states
    states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' <<< "$out")
    if grep -q 'invalid array index\|indexing' <<< "$out"; then
        echo "index-error $states"
    elif grep -q 'assertion violated' <<< "$out"; then
        echo "fails $states"
    elif [ -z "$states" ]; then
        echo "out-of-time"
    elif grep -q 'Search not completed\|out of memory\|max search depth too small' <<< "$out"; then
        echo "incomplete $states"
    elif grep -q 'errors: 0' <<< "$out"; then
        echo "holds $states"
    else
        echo "other-error $states"
    fi
}

# Runs a check and writes its line to a file, which begins with `ok` if it ended as expected.
check() {
    local spec=$1 expected=$2 macros=$3 result=$4 began found states line
    began=$(date +%s%N)
    read -r found states <<< "$(verdict "$spec" "$macros")"
    line="$spec ${macros:-whole}: $found, $states states, $((($(date +%s%N) - began) / 1000000)) ms"
    if [ "$found" = "$expected" ]; then
        echo "ok   $line" > "$result"
    else
        echo "FAIL $line (expected: $expected)" > "$result"
    fi
}

total=0
unlisted=0
for spec in *.pml; do
    checks=$(grep -E '^ \* CHECK (holds|fails) *' "$spec")
    if [ -z "$checks" ]; then
        echo "$spec lists no checks"
        unlisted=$((unlisted + 1))
    fi
    while read -r _ _ expected macros _; do
        [ -n "$expected" ] || continue
        while [ "$(jobs -rp | wc -l)" -ge "$JOBS" ]; do
            wait -n
        done
        total=$((total + 1))
        check "$spec" "$expected" "$macros" "$work/$(printf '%04d' "$total").result" &
    done <<< "$checks"
done
wait
cat "$work"/*.result
passed=$(cat "$work"/*.result | grep -c '^ok ')
failed=$((total - passed + unlisted))
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
