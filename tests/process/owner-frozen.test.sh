# The owner is frozen (SIGSTOP): another VM takes over within 2 s. Thawed, it serves nothing old.
base=27200
. tests/process/lib.sh
startAll
owner=$(ownerOf)
other=$((owner % 3 + 1))
third=$((other % 3 + 1))
echo "owner is vm-$owner"

request "$other" write '"set n 1"'
expect "write before" '"outcome":"done"' "$answer"
kill -STOP "${pidOf[vm-$owner]}"
began=$(nowMs)
request "$other" write '"set n 2"' ',"idempotent":true'
tookMs=$(($(nowMs) - began))
expect "idempotent write is done in $tookMs ms" '"outcome":"done"' "$answer"
expect "take-over within 2 s" '^1$' "$((tookMs <= 2000))"
request "$third" read '"get n"'
expect "read at the third VM" '"results":\["2"\]' "$answer"
kill -CONT "${pidOf[vm-$owner]}"
request "$owner" read '"get n"'
expect "read at the thawed VM" '"results":\["2"\]' "$answer"
waitFor 5 hasMembers "$other" 3
request "$owner" write '"add n 1"'
expect "write at the thawed VM" '"outcome":"done"' "$answer"
request "$third" read '"get n"'
expect "everything counted once" '"results":\["3"\]' "$answer"
finish
