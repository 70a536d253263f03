#!/usr/bin/env bash
# Walks through docs/getting-started.md: runs each of its command blocks in order, as a
# new operator would, and checks what the comment before the block says:
#
#   walk: runs           each command exits with 0
#   walk: shows REGEX    the same, and the last command's output matches, within a minute
#   walk: hides REGEX    the same, and the last command's output stops matching
#   walk: refused        the block ends with another code than 0
#   walk: skip           not run here
#
# Needs a build and `curl`. Uses the addresses that the page uses, and data/kovceg, which
# must not exist.
set -uo pipefail
cd "$(dirname "$0")/.."
page=docs/getting-started.md
bin="${CARGO_TARGET_DIR:-$PWD/target}/debug"
export FILBERTHEAD_BIN="$bin" PATH="$bin:$PATH"
deadline=60

if [[ -e data/kovceg ]]; then
    echo "data/kovceg is there already"
    exit 1
fi
state="$(mktemp -d)"
cleanup() {
    config/local.sh stop kovceg
    rm -rf data/kovceg burn.html "$state"
}
trap cleanup EXIT

# Runs commands with the variables that earlier blocks have exported. A separate shell,
# since `set -e` has no effect in a function whose exit code is tested.
run() {
    touch "$state/env"
    {
        echo "source '$state/env'"
        echo "$1"
        echo "export -p >'$state/env'"
    } >"$state/script"
    bash -e "$state/script" >"$state/out" 2>&1 </dev/null
}

fail() {
    echo "FAILED: $1"
    sed 's/^/    /' "$state/out" | tail -n 30
    exit 1
}

# Repeats the last command of a block until its output is as wanted.
await() {
    local wanted="$1" regex="$2" last="$3" start=$SECONDS matches
    while ((SECONDS - start < deadline)); do
        matches=no
        grep -qE -- "$regex" "$state/out" && matches=yes
        [[ $matches == "$wanted" ]] && return 0
        sleep 0.5
        run "$last" || true
    done
    return 1
}

check() {
    local mark="$1" block="$2" last="$3"
    case "$mark" in
        skip) return ;;
        runs) run "$block" || fail "$block" ;;
        refused) run "$block" && fail "not refused: $block" ;;
        shows\ *)
            run "$block" || fail "$block"
            await yes "${mark#shows }" "$last" || fail "doesn't show ${mark#shows }: $last"
            ;;
        hides\ *)
            run "$block" || fail "$block"
            await no "${mark#hides }" "$last" || fail "shows ${mark#hides }: $last"
            ;;
        *) fail "a block without a mark: $block" ;;
    esac
    echo "ok: ${last}"
}

mark="" block="" last="" inside=no
while IFS= read -r line; do
    case "$inside:$line" in
        no:'<!-- walk: '*) mark="${line#<!-- walk: }" mark="${mark% -->}" ;;
        no:'```sh') inside=yes block="" ;;
        yes:'```')
            check "$mark" "$block" "$last"
            inside=no mark=""
            ;;
        yes:*) block+="$line"$'\n' last="$line" ;;
    esac
done <"$page"
echo "the page holds"
