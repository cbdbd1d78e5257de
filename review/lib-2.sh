# Functions for the scripts of review/6 to review/10: standin-estate, duty-gate and VMs on loopback,
# started with the command of the deploy file. Source it from the project's root with `record` set to
# the record.txt of the case's folder. All that was started is ended at the end, by pid.
set -u -o pipefail

program=target/bin/fescuestatementd
standins=build-review-2/bin
trouble="${TROUBLE:-1}"
work=$(mktemp -d)
: > "$record"
declare -A pidOf=()

endAll() {
    local pid
    for pid in $(jobs -rp); do kill -CONT "$pid" 2> /dev/null; kill -9 "$pid" 2> /dev/null; done
    wait 2> /dev/null
    rm -rf "$work"
}
trap endAll EXIT

nowMs() { date +%s%3N; }
note() { echo "$(nowMs) $*" | tee -a "$record"; }
# cannotRun REASON: the case could not be played.
cannotRun() { note "could not run: $*"; tail -n 3 "$work"/*.log >> "$record" 2> /dev/null; exit 2; }
verdict() {
    if [ "$1" -ne 0 ]; then note "verdict: the rule was broken"; exit 1; fi
    note "verdict: the rule held"
    exit 0
}

for needed in "$program" "$standins"/{standin-estate,slow-estate,duty-gate,wire-tap,sync-tap}; do
    [ -x "$needed" ] || cannotRun "$needed is not built"
done

# A range of 100 ports at which nothing listens.
isFree() {
    local port
    for port in $(awk 'NR > 1 && $4 == "0A" { split($2, at, ":"); print at[2] }' /proc/net/tcp); do
        port=$((16#$port))
        [ "$port" -ge "$1" ] && [ "$port" -lt $(($1 + 100)) ] && return 1
    done
    return 0
}
base=$((20000 + RANDOM % 100 * 100))
until isFree "$base"; do base=$((20000 + RANDOM % 100 * 100)); done

start() {
    local name="$1"
    shift
    "$@" >> "$work/$name.log" 2>&1 &
    pidOf[$name]=$!
}
waitFor() {
    local end=$(($(nowMs) + $1 * 1000))
    shift
    until "$@"; do
        [ "$(nowMs)" -lt "$end" ] || return 1
        sleep 0.05
    done
}

vmIp() { echo "127.0.0.$((20 + $1))"; }
control() { curl -s --max-time 2 -X POST -o /dev/null "http://127.0.0.1:$((base + 1))/control/$1"; }
state() { curl -s --max-time 2 "http://127.0.0.1:$((base + 1))/control/state"; }
gate() {
    exec 9<> "/dev/tcp/127.0.0.1/$((base + 3))" || return 1
    echo "$1" >&9
    exec 9>&-
}
isReady() { curl -s --max-time 1 -o /dev/null -w '%{http_code}' \
    "http://$(vmIp "$1"):$((base + 21))/-/readiness" | grep -q 200; }

startEstate() {
    start estate "$standins/standin-estate" --port "$base" --control-port $((base + 1)) \
        --database-port $((base + 10)) "$@"
    start gate "$standins/duty-gate" 127.0.0.1 $((base + 2)) 127.0.0.1 "$base" $((base + 3)) "$record"
}
# startSlowEstate: the store and three databases with the figures of cfdg-pos-grown: a promotion takes
# 1,000 ms, replicas are 90 ms behind, and a draining database serves for 10 s.
startSlowEstate() {
    start estate "$standins/slow-estate" "$base" $((base + 1)) $((base + 10)) 1000 90 10000
    start gate "$standins/duty-gate" 127.0.0.1 $((base + 2)) 127.0.0.1 "$base" $((base + 3)) "$record"
}
# startTap: records what the databases are sent; call it before startVms, which then use it.
storePort=$base
startTap() {
    storePort=$((base + 4))
    start tap "$standins/wire-tap" "$record" 127.0.0.1 "$storePort" "$base" \
        $((base + 60)) $((base + 10)) $((base + 61)) $((base + 11)) $((base + 62)) $((base + 12))
}
# startVm NUMBER: with settings as deploy/node.yaml gives them on cfdg-pos-grown.
startVm() {
    local ip zones=(tt-south-a tt-south-b tt-south-c)
    ip=$(vmIp "$1")
    cat > "$work/vm-$1.yaml" << YAML
vm: front-$1
dataCentre: ${zones[$((($1 - 1) % 3))]}
callers: $ip:$((base + 20))
readiness: $ip:$((base + 21))
metrics: $ip:$((base + 22))
peers: $ip:$((base + 23))
relay: $ip:$((base + 24))
store: 127.0.0.1:$storePort
promotions: 127.0.0.1:$((base + 2))
departureNoticeMs: 10000
stopGraceSeconds: 6
revokeMs: 5000
allowanceWindowSeconds: 5
databaseCapacity: learned
allowanceExcess: 0.1
allowanceTolerance: 20
firstStart: true
YAML
    FESCUESPRING_CONFIG="$work/vm-$1.yaml" start "vm-$1" "$program"
}
startVms() {
    local i
    for i in $(seq "$1"); do startVm "$i"; done
    for i in $(seq "$1"); do waitFor 15 isReady "$i" || cannotRun "front-$i is not ready"; done
}

# One session at a time, over the wire protocol, on file descriptor 3.
reply=""
receive() {
    local line
    reply=""
    while IFS= read -r -t "${limit:-5}" -u 3 line 2> /dev/null; do
        reply+="${line%$'\r'} "
        [[ $line == READY* ]] && return 0
    done
    reply+="(closed)"
}
# connect VM NAME [KEY]
connect() {
    exec 3<> "/dev/tcp/$(vmIp "$1")/$((base + 20))" || return 1
    printf 'CONNECT %s %s\r\n' "$2" "${3:-consumer}" >&3
    receive
}
asked=0
ask() {
    asked=$((asked + 1))
    printf 'QUERY r%s-%s %s\r\n' "$$" "$asked" "$1" >&3
    receive
    note "sent r$$-$asked '$1', answered '$reply'"
}
release() {
    printf 'RELEASE\r\n' >&3 2> /dev/null
    exec 3>&-
}
writes() {
    connect "$1" group0-primary
    ask "WRITE item $2"
    release
    [[ $reply == COMPLETE* ]]
}
