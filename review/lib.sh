# Functions for the review's scripts: the stand-in of the platform and the databases, three machines
# of the deploy file on loopback, and sessions over the wire protocol. A script sets `record`, the
# record.txt of its folder, before it sources this file, from the root: what was sent, answered and
# run goes there.
set -u -o pipefail

TROUBLE="${TROUBLE:-1}"
program="target/bin/fescuestatementd"
work=$(mktemp -d)
: > "$record"
# Lines of the stand-in's output that go into the record.
recordedLines=2000
declare -A pidOf=()

# A pair of octets and a port of this run's own.
octets="$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))"
base=$((20000 + RANDOM % 10000))

say() { printf '%s %s\n' "$(date +%T.%3N)" "$*" | tee -a "$record"; }

stopAll() {
    exec 2> /dev/null
    local pid
    for pid in $(jobs -rp); do kill -CONT "$pid" 2> /dev/null; kill -KILL "$pid" 2> /dev/null; done
    wait
    if [ -s "$work/site.log" ]; then
        { echo "--- what the databases and the platform ran (ms since their start)"
          head -n "$recordedLines" "$work/site.log" | cut -c1-300
          echo "($(wc -l < "$work/site.log") lines in all)"; } >> "$record"
    fi
    rm -rf "$work"
}
trap stopAll EXIT

# cannotRun WHY: the case couldn't run.
cannotRun() { say "cannot run: $*"; tail -n 5 "$work"/*.log >> "$record" 2> /dev/null; exit 2; }
broken() { say "BROKEN: $*"; exit 1; }
held() { say "HELD: $*"; exit 0; }

vmIp() { echo "127.$octets.$((10 + $1))"; }
# http METHOD IP PORT PATH: prints the status and, of a GET, the first line of the body.
http() (
    exec 2> /dev/null 9<> "/dev/tcp/$2/$3" || exit 1
    printf '%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n\r\n' "$1" "$4" "$2" >&9
    IFS=' ' read -r -t 2 -u 9 _ status _ || exit 1
    while IFS= read -r -t 2 -u 9 line && [ "$line" != $'\r' ]; do :; done
    body=""
    [ "$1" = GET ] && IFS= read -r -t 0.2 -u 9 body
    echo "$status $body"
)
control() { http POST 127.0.0.1 $((base + 1)) "/control/$1" > /dev/null; }
state() { http GET 127.0.0.1 $((base + 1)) /control/state; }
isReady() { [[ $(http GET "$(vmIp "$1")" 8785 /-/readiness) == 200* ]]; }
waitFor() {
    local end=$((SECONDS + $1))
    shift
    until "$@"; do
        [ "$SECONDS" -lt "$end" ] || return 1
        sleep 0.05
    done
}

# startSite SYNC-REPLICAS ROUTE-TIMEOUT-MS
startSite() {
    [ -x target/review/site ] && [ -x "$program" ] || cannotRun "build the deploy file and review/build.sh first"
    local try
    for try in 1 2 3 4 5; do
        target/review/site "$base" "$1" "$2" > "$work/site.log" 2>&1 &
        pidOf[site]=$!
        waitFor 3 eval 'state | grep -q leader' && return
        base=$((20000 + RANDOM % 10000))
    done
    cannotRun "the stand-in does not answer"
}
# startMachine N: with the settings of deploy/node.yaml and the command of deploy/system.toml.
startMachine() {
    local zones=(brno-sever brno-jih olomouc) ip
    ip=$(vmIp "$1")
    cat > "$work/node-$1.yaml" << YAML
vm: front-$1
dataCentre: ${zones[$(($1 - 1))]}
callers: $ip:8784
readiness: $ip:8785
metrics: $ip:9464
peers: $ip:7440
relay: $ip:7455
store: 127.0.0.1:$base
promotions: 127.0.0.1:$base
departureNoticeMs: 7000

firstStart: true

YAML
    FESCUESPRING_CONFIG="$work/node-$1.yaml" "$program" > "$work/front-$1.log" 2>&1 &
    pidOf[front-$1]=$!
}
startMachines() {
    local i
    for i in 1 2 3; do startMachine "$i"; done
    for i in 1 2 3; do waitFor 15 isReady "$i" || cannotRun "front-$i does not become ready"; done
}

# Sessions, by file descriptor. open FD MACHINE DATABASE-NAME; `reply` holds each answer.
reply=""
asked=0
open() {
    eval "exec $1<> /dev/tcp/$(vmIp "$2")/8784" || cannotRun "no connection to front-$2"
    printf 'CONNECT %s consumer-%s\r\n' "$3" "$1" >&"$1"
    receive "$1"
    say "consumer-$1 to front-$2: CONNECT $3 -> $reply"
}
receive() {
    local line
    reply=""
    while IFS= read -r -t 12 -u "$1" line 2> /dev/null; do
        reply+="${line%$'\r'} | "
        [[ $line == READY* ]] && return 0
    done
    reply+="(connection ended)"
    return 1
}
# send FD TEXT; then receive FD.
send() {
    asked=$((asked + 1))
    say "consumer-$1: QUERY q$asked $2"
    printf 'QUERY q%s %s\r\n' "$asked" "$2" >&"$1"
}
ask() {
    send "$1" "$2"
    receive "$1"
    say "consumer-$1: answer to q$asked: $reply"
}
