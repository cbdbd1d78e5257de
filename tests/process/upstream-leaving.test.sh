# The platform says that the primary's VM will leave: the primary moves, nothing is lost, and after
# two seconds the leaving database takes no new work.
base=27400
. tests/process/lib.sh
startAll

request 1 write '"set n 0"'
expect "write before" '"outcome":"done"' "$answer"
stateOfDatabase[1]=leaving
listVms 1 2 3
began=$(nowMs)
worst=0
for i in $(seq 1 60); do
    at=$(nowMs)
    request $((i % 3 + 1)) write '"add n 1"'
    took=$(($(nowMs) - at))
    [ $took -gt $worst ] && worst=$took
    [[ $answer == *'"outcome":"done"'* ]] || expect "write $i" '"outcome":"done"' "$answer"
    sleep 0.04
done
request 1 read '"get n"'
expect "60 writes during the move, none lost, none doubled" '"results":\["60"\]' "$answer"
expect "the longest took $worst ms, at most 300 ms" '^1$' "$((worst <= 300))"
moved() { vmStatus "$(ownerOf)" | grep -Eq '"primary":"herd-[23]"'; }
waitFor 5 moved
expect "the primary moved" '"primary":"herd-[23]"' "$(vmStatus "$(ownerOf)")"

callsAtLeaving() {
    curl -s --max-time 1 "http://$ip:$(databaseControl 1)/control/counters" |
        sed -n 's/^standin_calls_done_total \([0-9]*\)$/\1/p'
}
[ $(($(nowMs) - began)) -lt 3000 ] && sleep 1
before=$(callsAtLeaving)
for i in $(seq 1 30); do request $((i % 3 + 1)) read '"get n"'; done
expect "no new work for the leaving database" "^$before\$" "$(callsAtLeaving)"
finish
