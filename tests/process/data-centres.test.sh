# Three data centres with a VM and a database each: requests reach the primary over two hops, reads
# stay in their data centre, a lost primary is replaced from another one, and a data centre that is
# cut off from the platform and from the other databases serves what it can.
base=27700
. tests/process/lib.sh
members=1
placeOfVm=([1]=andong [2]=yeongju [3]=sangju)
placeOfDatabase=([1]=andong [2]=yeongju [3]=sangju)
startAll
sleep 1

request 2 write '"set n 1"'
expect "write in yeongju, primary in andong" '"outcome":"done".*"database":"herd-1"' "$answer"
# Two probe intervals, so that sangju's VM knows how far its replica is.
sleep 0.5
request 3 read '"get n"'
expect "read in sangju by its own replica" \
    '"results":\["1"\].*"database":"herd-3","byReplica":true' "$answer"
request 1 read '"get n"'
expect "read in andong" '"results":\["1"\]' "$answer"

echo "sangju is cut off from the platform and from the databases of the others"
cut="{\"cut\":[\"$(vmIp 3)\",\"herd-3\"]}"
fault "$platformControl" "{\"cut\":[\"$(vmIp 3)\"]}"
for i in 1 2; do fault "$(databaseControl $i)" "$cut"; done
fault "$(databaseControl 3)" '{"cut":["herd-1","herd-2"]}'
request 1 write '"set n 2"'
expect "write in andong goes on" '"outcome":"done"' "$answer"
expect "read of an age in sangju by its replica" '"outcome":"done".*"byReplica":true' \
    "$(send 3 read '"get n"' ',"maximumAgeMs":60000,"token":""')"
request 3 read '"get n"'
expect "read with a token in sangju is never older than the session" '"results":\["2"\]' "$answer"
sleep 1.5
expect "read of a smaller age than the replica's is not served old" \
    '"reason":"too-old"|"results":\["2"\]' \
    "$(send 3 read '"get n"' ',"maximumAgeMs":500,"token":"","deadlineMs":1000')"
for i in 1 2 3; do fault "$(databaseControl $i)" '{"cut":[]}'; done
fault "$platformControl" '{"cut":[]}'

echo "the primary is killed"
killHard herd-1
began=$(nowMs)
for try in 1 2 3 4 5; do
    request 3 write '"add n 1"' ',"id":"add-1"'
    [[ $answer == *'"outcome":"done"'* ]] && break
done
gapMs=$(($(nowMs) - began))
expect "a write in sangju is done $gapMs ms later" '"outcome":"done"' "$answer"
expect "within 3 s" '^1$' "$((gapMs <= 3000))"
for i in 1 2 3; do
    request $i read '"get n"'
    expect "read at vm-$i" '"results":\["3"\]' "$answer"
done
finish
