#!/usr/bin/env bash
# SyncReplicas 1: the primary is to be replaced while the replica that holds the newest commits is
# dark and the other replica receives nothing. An acknowledged commit must be in the log of the
# database that is promoted.
cd "$(dirname "$0")/../.." || exit 2
record=review/3/record.txt
. review/lib.sh

startSite 1 2000
startMachines
open 4 1 cenovy-zapis
ask 4 "WRITE label-0 100"
[[ $reply == COMPLETE* ]] || cannotRun "the first write is not acknowledged"
if [ "$TROUBLE" != 0 ]; then
    say "replica i-db2 receives nothing (replica_lag, deaf: 6.5 s)"
    control "deaf?db=2"
    (sleep 6.5; control "hears?db=2") &
fi
acknowledged=()
for i in 1 2 3 4 5 6; do
    ask 4 "WRITE label-$i $((100 + i))"
    [[ $reply == COMPLETE* ]] && acknowledged+=("q$asked")
    sleep 0.1
done
[ "${#acknowledged[@]}" -gt 0 ] || cannotRun "no write was acknowledged"
say "acknowledged: ${acknowledged[*]}"
if [ "$TROUBLE" != 0 ]; then
    say "replica i-db1 goes dark (srv_crash, dark replica: 4.16 s)"
    control "dark?db=1"
    (sleep 4.16; control "light?db=1") &
    sleep 0.3
fi
say "the primary i-db0 reports draining (release, primary)"
control "drain?db=0"
waitFor 25 grep -q '^[0-9]* promoted ' "$work/site.log" || cannotRun "no database was promoted"
promoted=$(grep -m 1 ' promoted ' "$work/site.log")
say "$promoted"
lost=()
for id in "${acknowledged[@]}"; do
    [[ "$promoted " == *" $id "* ]] || lost+=("$id")
done
sleep 7
open 5 2 cenovy-zapis
ask 5 "READ label-6"
[ "${#lost[@]}" -eq 0 ] || broken "acknowledged, and not in the log of the promoted database: ${lost[*]}"
held "every acknowledged commit is in the log of the promoted database"
