# The VM that owns the connections dies in the middle of a transaction: its transaction has no
# effect, nobody is told that it was done, and the same request id runs once at its successor.
base=27000
. tests/process/lib.sh
startAll
owner=$(ownerOf)
other=$((owner % 3 + 1))
echo "owner is vm-$owner, caller at vm-$other"

request "$other" write '"set n 0"'
expect "n is set" '"outcome":"done"' "$answer"
send "$other" write '"add n 1","work=1500 add n 1"' ',"id":"t-1"' > "$work/answer" &
sender=$!
sleep 0.5
killHard "vm-$owner"
wait $sender
expect "the caller is not told that it was done" '"outcome":"(unknown|not-run)"' \
    "$(cat "$work/answer")"
began=$(nowMs)
request "$other" read '"get n"'
expect "the transaction had no effect" '"results":\["0"\]' "$answer"
tookMs=$(($(nowMs) - began))
expect "the successor served within 2 s ($tookMs ms)" '^1$' "$((tookMs <= 2000))"
for try in 1 2; do
    request "$other" write '"add n 1","add n 1"' ',"id":"t-1"'
    expect "the same request id, sent again ($try), is done" \
        '"outcome":"done".*"results":\["1","2"\]' "$answer"
done
request "$other" read '"get n"'
expect "and ran once" '"results":\["2"\]' "$answer"
finish
