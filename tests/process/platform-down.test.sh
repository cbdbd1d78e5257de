# The platform is down: reads and writes go on, a change of primary is made without it, a VM that
# starts gets the lists from its peers, and edits come into force once the platform is back.
base=27300
. tests/process/lib.sh
startAll

request 1 write '"set n 1"'
expect "write before" '"outcome":"done"' "$answer"
fault "$platformControl" '{"outage":true}'
request 2 write '"add n 1"'
expect "write in the outage" '"outcome":"done"' "$answer"
request 3 read '"get n"'
expect "read in the outage" '"results":\["2"\]' "$answer"

kill -TERM "${pidOf[vm-1]}"
wait "${pidOf[vm-1]}"
expect "vm-1 stops with exit code 0" '^0$' "$?"
seeds="seeds: [{ip: $(vmIp 2), port: $(peerPort 2)}]"
began=$(nowMs)
startVm 1
waitFor 5 serving 1
expect "a VM started in the outage serves after $(($(nowMs) - began)) ms" '"serving":true' \
    "$(vmStatus 1)"
request 1 read '"get n"'
expect "read at the new VM" '"results":\["2"\]' "$answer"

killHard herd-1
began=$(nowMs)
request 2 write '"add n 1"' ',"idempotent":false'
[[ $answer == *unknown* ]] && request 2 write '"add n 1"' ',"idempotent":false'
gapMs=$(($(nowMs) - began))
expect "the primary is replaced without the platform, $gapMs ms" '"outcome":"done"' "$answer"
expect "within 3 s" '^1$' "$((gapMs <= 3000))"

fault "$platformControl" '{"outage":false}'
added() { $bin/fescuectl customers set coop-9 basic --platform $ip:$platform 2>&1; }
expect "an edit after the outage" 'done' "$(added)"
inForce() { customer=coop-9 send "$1" read '"get n"' ',"token":""' | grep -q '"outcome":"done"'; }
for i in 1 2 3; do
    waitFor 9 inForce $i
    expect "in force at vm-$i" '"outcome":"done"' \
        "$(customer=coop-9 send $i read '"get n"' ',"token":""')"
done
finish
