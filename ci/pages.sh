#!/usr/bin/env bash
# Checks the pages: each relative link leads to a file, each test that is named exists, and no
# page names a path of some machine.
set -uo pipefail
cd "$(dirname "$0")/.."
failed=0
functions="$(git grep -hoE 'fn [a-z0-9_]+' -- '*.rs' | cut -c4- | sort -u)"

# Prints the names of tests on a page, such as `module::name_of_a_test`. A name that is cut short
# ends with `…`.
named_tests() {
    grep -oE '`[a-z_]+(::[a-z0-9_]+)*::[a-z0-9]+(_[a-z0-9]+){2,}…?`' "$1" |
        sed -E 's/^`.*:://; s/`$//'
}

while IFS= read -r page; do
    dir="$(dirname "$page")"
    while IFS= read -r link; do
        target="${link%%#*}"
        if [[ -n $target && ! -e $dir/$target ]]; then
            echo "$page: link to $target leads nowhere"
            failed=1
        fi
    done < <(grep -oE '\]\([^)]+\)' "$page" | sed -E 's/^\]\(//; s/\)$//' | grep -vE '^[a-z]+:')
    while IFS= read -r name; do
        begin="^${name%…}"
        [[ $name == *… ]] || begin+='$'
        if ! grep -qE "$begin" <<<"$functions"; then
            echo "$page: there is no test $name"
            failed=1
        fi
    done < <(named_tests "$page")
    if grep -nE '(/root/|/home/|/work/|/tmp/(wt|target))' "$page"; then
        echo "$page: names a path of some machine"
        failed=1
    fi
done < <(git ls-files '*.md')
exit "$failed"
