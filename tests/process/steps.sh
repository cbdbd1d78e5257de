# What the tests of processes share: starting and ending processes, waiting, steps and the verdict.
# Source it; everything that was started and still runs is ended by pid at the end.
set -u -o pipefail

bin="${BIN:-build/bin}"
work=$(mktemp -d)
declare -A pidOf=()
failures=0

# Ends what this shell started and what still runs: the number of a process that has ended may
# belong to somebody else by now.
stopAll() {
    local pid
    for pid in $(jobs -rp); do kill -CONT "$pid" 2> /dev/null; kill "$pid" 2> /dev/null; done
    wait 2> /dev/null
    rm -rf "$work"
}
trap stopAll EXIT

# start NAME COMMAND...: a process whose output goes to a file of its own.
start() {
    local name="$1"
    shift
    "$@" >> "$work/$name.log" 2>&1 &
    pidOf[$name]=$!
}
# expect WHAT PATTERN TEXT: says whether a step held.
expect() {
    if printf '%s' "$3" | grep -Eq -- "$2"; then
        printf '  ok      %s\n' "$1"
    else
        printf '  FAILED  %s\n          wanted %s\n          saw    %s\n' "$1" "$2" "$3"
        failures=$((failures + 1))
    fi
}
# finish: the verdict, with the logs where a step failed.
finish() {
    if [ "$failures" -gt 0 ]; then
        echo "$failures steps failed; the logs of the processes:"
        tail -n 30 "$work"/*.log
        exit 1
    fi
    echo "every step held"
}
# waitFor SECONDS COMMAND...: until the command succeeds.
waitFor() {
    local end=$((SECONDS + $1))
    shift
    until "$@"; do
        [ "$SECONDS" -lt "$end" ] || return 1
        sleep 0.05
    done
}
nowMs() { echo $(($(date +%s%N) / 1000000)); }
