# Functions for the tests of real processes and for the quickstart: stand-ins and VMs on loopback,
# one session of requests, checks of what came back. Source it after setting `base`, the first of
# 100 ports that the test may use.
. tests/process/steps.sh

ip=127.0.0.1
platform=$base
platformControl=$((base + 1))
token=""
answer=""
seeds=""
# Data centres of the VMs and databases, by number; those not named are in andong.
declare -A placeOfVm=() placeOfDatabase=()

# killHard NAME: kill -9, without the shell's own message.
killHard() {
    kill -9 "${pidOf[$1]}"
    wait "${pidOf[$1]}" 2> /dev/null
}

callerPort() { echo $((base + 20 + $1)); }
peerPort() { echo $((base + 30 + $1)); }
databasePort() { echo $((base + 10 + $1)); }
databaseControl() { echo $((base + 40 + $1)); }

startPlatform() {
    start platform "$bin/standin-platform" --ip $ip --port "$platform" \
        --control-port "$platformControl" --vm-lag-ms "${vmLagMs:-200}"
}
# startDatabase N [PRIMARY-ENDPOINT]: database herd-N, by default following herd-1.
startDatabase() {
    local role=(--primary "${2:-$ip:$(databasePort 1)}") peers=() j
    [ "$1" = 1 ] && [ $# = 1 ] && role=(--initial-primary)
    for j in 1 2 3; do
        [ "$j" = "$1" ] || peers+=(--peer "herd-$j=$ip:$(databasePort "$j")")
    done
    start "herd-$1" "$bin/standin-upstream" --database "herd-$1" --group herd \
        --port "$(databasePort "$1")" --control-port "$(databaseControl "$1")" --seed "$1" \
        "${role[@]}" "${peers[@]}"
}
# put KEY FILE [VERSION]: writes an object by the platform's own means, if it has this version.
put() {
    python3 -c 'import json,sys; print(json.dumps({"value": sys.stdin.read(),
        "ifVersion": int(sys.argv[1])}))' "${3:-0}" < "$2" |
        curl -s --max-time 2 -X PUT -d @- "http://$ip:$platform/v1/objects/$1"
}
# putLists: the two lists that the tests begin with.
putLists() {
    printf 'plans:\n  gold: {weight: 10, priority: 1, connections: 10}\n  basic: {weight: 1, connections: 5}\n' \
        > "$work/plans.yaml"
    printf 'customers:\n  coop-7: gold\n' > "$work/customers.yaml"
    put plans "$work/plans.yaml" | grep -q version &&
        put customers/0 "$work/customers.yaml" | grep -q version
}
# listVms N... : the platform lists these VMs as live; stateOfDatabase may name one as leaving.
declare -A stateOfDatabase=()
listVms() {
    local i entries=""
    for i in "$@"; do
        entries+="{\"vm\":\"vm-$i\",\"dataCentre\":\"${placeOfVm[$i]:-andong}\",\"kind\":\"entry\",\"state\":\"live\",\"ip\":\"$(vmIp "$i")\",\"port\":$(peerPort "$i")},"
    done
    for i in 1 2 3; do
        entries+="{\"vm\":\"db-$i\",\"dataCentre\":\"${placeOfDatabase[$i]:-andong}\",\"kind\":\"upstream\",\"state\":\"${stateOfDatabase[$i]:-live}\",\"ip\":\"$ip\",\"port\":$(databasePort "$i"),\"group\":\"herd\",\"database\":\"herd-$i\"},"
    done
    curl -s --max-time 2 -d "{\"vms\":[${entries%,}]}" "http://$ip:$platformControl/control/vms" \
        > /dev/null
}
# vmIp N: each VM has an IP number of its own, so that one alone can be cut off.
vmIp() { echo "127.0.0.$((10 + $1))"; }
writeSettings() {
    local i="$1" j
    {
        cat << YAML
vm: vm-$i
dataCentre: ${placeOfVm[$i]:-andong}
callerEndpoint: {ip: $(vmIp "$i"), port: $(callerPort "$i")}
peerEndpoint: {ip: $(vmIp "$i"), port: $(peerPort "$i")}
platformEndpoint: {ip: $ip, port: $platform}
tokenKeys:
  - {id: 1, secret: for-tests-only-not-for-production}
$seeds
timings:
  databaseProbeIntervalMs: 200
groups:
  - group: herd
    databases:
YAML
        for j in 1 2 3; do
            echo "      - {database: herd-$j, dataCentre: ${placeOfDatabase[$j]:-andong}, endpoint: {ip: $ip, port: $(databasePort "$j")}}"
        done
    } > "$work/vm-$i.yaml"
}
startVm() {
    writeSettings "$1"
    start "vm-$1" "$bin/fescuespringd" --settings "$work/vm-$1.yaml"
}
vmStatus() { curl -s --max-time 1 "http://$(vmIp "$1"):$(callerPort "$1")/v1/status"; }
serving() { vmStatus "$1" | grep -q '"serving":true'; }
hasMembers() { [ "$(vmStatus "$1" | grep -o '"state":"alive"' | wc -l)" = "$2" ]; }
# startAll: platform, lists, a group of three and three VMs, ready to serve.
startAll() {
    local i
    startPlatform
    for i in 1 2 3; do startDatabase "$i"; done
    waitFor 5 putLists
    listVms 1 2 3
    for i in 1 2 3; do startVm "$i"; done
    for i in 1 2 3; do
        waitFor 10 serving "$i" || expect "vm-$i serves" '"serving":true' "$(vmStatus "$i")"
        waitFor 10 hasMembers "$i" "${members:-3}" ||
            expect "vm-$i has ${members:-3} members" '.{99999}' "$(vmStatus "$i")"
    done
}
# ownerOf: number of the VM that owns the slice of group herd.
ownerOf() { vmStatus "${1:-1}" | sed -n 's/.*"group":"herd","owner":"vm-\([0-9]\)".*/\1/p'; }

# fault CONTROL-PORT JSON: sets faults of a stand-in.
fault() { curl -s --max-time 2 -d "$2" "http://$ip:$1/control/faults" > /dev/null; }

# send VM ACCESS STATEMENTS [FIELDS]: one request of the session; prints the answer. FIELDS, which
# come after the defaults' place, may hold "id", "idempotent", "deadlineMs", "maximumAgeMs", "token".
send() {
    local fields="${4:-}"
    [[ $fields == *'"id"'* ]] || fields="$fields,\"id\":\"r-$(date +%s%N)\""
    [[ $fields == *'"deadlineMs"'* ]] || fields="$fields,\"deadlineMs\":8000"
    [[ $fields == *'"token"'* ]] || fields="$fields,\"token\":\"$token\""
    curl -s --max-time 12 -d "{\"customer\":\"${customer:-coop-7}\",\"session\":\"s1\",
        \"group\":\"herd\",\"access\":\"$2\",\"statements\":[$3]$fields}" \
        "http://$(vmIp "$1"):$(callerPort "$1")/v1/request"
}
# request ...: as send, but sets `answer` and goes on with the token of the answer.
request() {
    local new
    answer=$(send "$@")
    new=$(printf '%s' "$answer" | sed -n 's/.*"token":"\([^"]*\)".*/\1/p')
    [ -n "$new" ] && token="$new"
    return 0
}
