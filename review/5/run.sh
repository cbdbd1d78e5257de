#!/usr/bin/env bash
# A planned stop: SIGTERM while a database works on a statement that it answers before the last
# sixth of GraceS. The consumer's connection must not end before that answer.
cd "$(dirname "$0")/../.." || exit 2
record=review/5/record.txt
. review/lib.sh

startSite 0 2000
startMachines
sleep 5 # longer than ContactMs, without any disruption
open 4 1 stav-etiket
ask 4 "BEGIN READ"
ask 4 "READ label-1"
[[ $reply == *"READY T"* ]] || cannotRun "the transaction is not open"
if [ "$TROUBLE" != 0 ]; then
    say "SIGTERM to front-1"
    kill -TERM "${pidOf[front-1]}"
fi
# Within the first half of GraceS, which an open transaction has to end.
for pause in 0.9 0.9; do
    sleep "$pause"
    ask 4 "READ label-2"
done
sleep 0.85
began=$(date +%s%N)
send 4 "READ label-3,work=1900"
receive 4
took=$((($(date +%s%N) - began) / 1000000))
say "consumer-4: after $took ms: $reply"
sleep 2
say "the databases: $(grep "id=q$asked" "$work/site.log" | tr '\n' ';')"
grep -q "begin db=.* id=q$asked" "$work/site.log" || cannotRun "the statement was not passed on to a database"
[[ $reply == *"READY"* ]] || broken "passed on to a database and never answered; the connection ended after $took ms of a statement with TimeoutMs 2000, with GraceS 6 not over"
held "the statement was answered"
