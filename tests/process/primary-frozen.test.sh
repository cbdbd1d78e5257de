# The primary is frozen (SIGSTOP) and thawed after it was replaced: no write that it takes is
# acknowledged, what was acknowledged is there, reads never go back, and it follows in the end.
base=27100
. tests/process/lib.sh
startAll

request 1 write '"set n 1"'
expect "write before" '"outcome":"done"' "$answer"
kill -STOP "${pidOf[herd-1]}"
began=$(nowMs)
request 2 write '"set n 2"' ',"idempotent":true'
gapMs=$(($(nowMs) - began))
expect "write $gapMs ms after the freeze" '"outcome":"done"' "$answer"
expect "gap of at most 3 s" '^1$' "$((gapMs <= 3000))"
request 3 read '"get n"'
expect "read while frozen" '"results":\["2"\]' "$answer"
kill -CONT "${pidOf[herd-1]}"
for i in 1 2 3; do
    request $i read '"get n"'
    expect "read at vm-$i after the thaw" '"results":\["2"\]' "$answer"
    customer=coop-7 token="" request $i read '"get n"' ',"token":""'
    expect "read without a token at vm-$i" '"results":\["2"\]' "$answer"
done
follows() {
    curl -s --max-time 1 "http://$ip:$(databasePort 1)/v1/status" |
        grep -q '"role":"replica","term":2'
}
waitFor 5 follows
expect "the old primary follows at term 2" 'replica","term":2' \
    "$(curl -s --max-time 1 "http://$ip:$(databasePort 1)/v1/status")"
request 1 write '"add n 1"'
request 2 read '"get n"'
expect "the group goes on" '"results":\["3"\]' "$answer"
finish
