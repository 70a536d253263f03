#!/usr/bin/env bash
# Runs a whole example deployment on this machine, to try it out: stand-ins for its
# endpoints, its control replicas and its entries, each on its own loopback address.
#
#   config/local.sh start kovceg     # from the root of the repository, after a build
#   config/local.sh stop kovceg
#   config/local.sh run FILE.ini     # starts one daemon again
#
# Logs and process ids lie beside the daemons' data, in data/DEPLOYMENT.
set -euo pipefail
cd "$(dirname "$0")/.."
bin="${FILBERTHEAD_BIN:-${CARGO_TARGET_DIR:-target}/release}"

# Starts a program in the background and writes its process id to NAME.pid.
launch() {
    local dir="$1" name="$2"
    shift 2
    "$@" >"$dir/$name.out" 2>"$dir/$name.log" </dev/null &
    echo $! >"$dir/$name.pid"
}

# Starts the daemon that a settings file is for.
run() {
    local ini="$1" dir name program
    dir="data/$(basename "$(dirname "$ini")")"
    name="$(basename "$ini" .ini)"
    program="$(sed -n 's/^role = //p' "$ini")"
    mkdir -p "$dir"
    launch "$dir" "$name" "$bin/filberthead-$program" "$ini"
}

# Names and addresses of all endpoints.
endpoints() {
    awk -F' = ' '/^\[endpoint /{ name = substr($0, 11, length($0) - 11) }
        /^address = /{ print name, $2 }' "config/$1"/*.ini | sort -u
}

start() {
    local dir="data/$1"
    mkdir -p "$dir"
    while read -r name address; do
        launch "$dir" "$name" "$bin/filberthead-standin" --name "$name" --listen "$address"
    done < <(endpoints "$1")
    for ini in "config/$1"/*.ini; do
        run "$ini"
    done
}

# Asks all of them to stop, and waits: entries serve until the last look-up result that
# names them has expired.
stop() {
    local file
    for file in "data/$1"/*.pid; do
        [[ -f $file ]] && kill "$(cat "$file")" 2>/dev/null || true
    done
    for file in "data/$1"/*.pid; do
        [[ -f $file ]] || continue
        while kill -0 "$(cat "$file")" 2>/dev/null; do
            sleep 0.2
        done
        rm "$file"
    done
}

case "${1:-}" in
    start | stop | run) "$1" "${2:?which deployment or file?}" ;;
    *) sed -n '2,10s/^# \{0,1\}//p' "$0"; exit 2 ;;
esac
