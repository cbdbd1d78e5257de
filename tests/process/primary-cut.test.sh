# The primary is cut off from the VMs but one, and still accepts connections: no write is
# acknowledged by it once it is replaced.
base=27500
. tests/process/lib.sh
startAll
owner=$(ownerOf)
other=$((owner % 3 + 1))
third=$((other % 3 + 1))
echo "owner is vm-$owner"

request "$other" write '"set n 1"'
expect "write before" '"outcome":"done"' "$answer"
# Only vm-$third still reaches the primary, which no longer reaches its replicas.
fault "$(databaseControl 1)" \
    "{\"cut\":[\"$(vmIp "$owner")\",\"$(vmIp "$other")\",\"herd-2\",\"herd-3\"]}"
began=$(nowMs)
# The write may have reached the old primary: its fate is unknown, and the caller asks again by its id.
for try in 1 2 3; do
    request "$other" write '"add n 1"' ',"id":"cut-1"'
    [[ $answer == *'"outcome":"unknown"'* ]] || break
done
gapMs=$(($(nowMs) - began))
expect "write $gapMs ms after the cut" '"outcome":"done"' "$answer"
expect "gap of at most 3 s" '^1$' "$((gapMs <= 3000))"
old=$(curl -s --max-time 2 -d '{"kind":"run","access":"write","term":1,"id":"x","idempotent":true,"statement":"set n 99"}' \
    "http://$ip:$(databasePort 1)/v1/call")
echo "  the old primary by hand: $old"
fault "$(databaseControl 1)" '{"cut":[]}'
for i in 1 2 3; do
    request $i read '"get n"'
    expect "read at vm-$i after the cut" '"results":\["2"\]' "$answer"
done
finish
