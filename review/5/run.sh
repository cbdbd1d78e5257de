#!/usr/bin/env bash
# An entry of another writer, with a field of another type, names a replica as the primary. A read on
# the primary route must see every acknowledged commit all the same.
cd "$(dirname "$0")/../.." || exit 2
here=review/5
. review/lib.sh

startSite 0 2000
startMachines
open 4 1 cenovy-zapis
open 5 2 cenovy-zapis
ask 4 "WRITE label-17 100"
ask 5 "READ label-17"
[[ $reply == "ROW 100 | "* ]] || cannotRun "the first write is not read"
sleep 1
stale=0
read=0
for round in 1 2 3 4 5 6 7 8; do
    ask 4 "WRITE label-17 $((1000 + round))"
    [[ $reply == COMPLETE* ]] || cannotRun "a write is not acknowledged before the entry comes"
    if [ "$TROUBLE" != 0 ]; then
        say "another writer's entry: i-db1, ConfigVersion of another type, DbRole primary"
        control "odd?db=1"
    fi
    # The write was acknowledged before each of these reads is sent.
    for _ in 1 2 3 4 5 6; do
        ask 5 "READ label-17"
        [[ $reply == *COMPLETE* ]] || continue
        read=$((read + 1))
        if [[ $reply != "ROW $((1000 + round)) | "* ]]; then
            say "stale: $((1000 + round)) was acknowledged before this read was sent"
            stale=$((stale + 1))
        fi
    done
    sleep 2
done
[ "$read" -gt 0 ] || cannotRun "no read was served after an acknowledged write"
[ "$stale" -eq 0 ] || broken "$stale of $read reads on the primary route lacked an acknowledged commit"
held "$read reads, none stale"
