#!/usr/bin/env bash
# A service with SyncReplicas 1. The primary goes dark for about two seconds; a replica is paused, chosen
# and ordered to be promoted, while the other one, paused as well, restarts. A restart ends the pause: the
# primary, which is back, and that replica acknowledge commits which the promoted database does not
# have. With TROUBLE=0 the replica does not restart.
cd "$(dirname "$0")/../.." || exit 2
record=review/6/record.txt
. review/lib-2.sh

startSlowEstate
storePort=$((base + 4))
start tap "$standins/sync-tap" "$record" 127.0.0.1 $((base + 5)) "$storePort" "$base" \
    $((base + 60)) $((base + 10)) $((base + 61)) $((base + 11)) $((base + 62)) $((base + 12))
tap() {
    exec 8<> "/dev/tcp/127.0.0.1/$((base + 5))" || return 1
    echo "$1" >&8
    exec 8>&-
}
sleep 0.5
startVms 3
writes 1 before || cannotRun "the first write was not acknowledged: $reply"

# writer VM: writes one item after the other, each in a session of its own.
writer() {
    local n=0
    while [ ! -e "$work/stop" ]; do
        n=$((n + 1))
        connect "$1" group0-primary 2> /dev/null || { sleep 0.05; continue; }
        printf 'QUERY w%s-%s WRITE k%s-%s v%s\r\n' "$1" "$n" "$1" "$n" "$n" >&3 2> /dev/null
        limit=3 receive
        echo "$(nowMs) write w$1-$n 'WRITE k$1-$n v$n' answered '$reply'" >> "$work/writes-$1"
        exec 3>&- 2> /dev/null
        sleep 0.03
    done
}
for vm in 1 2 3; do writer "$vm" 2> /dev/null & done
sleep 2
note "the primary group0-db0 goes dark"
tap "dark 0"
ordered() { grep -h promotion-ordered "$work"/vm-*.log | tail -n 1; }
waitFor 8 eval '[ -n "$(ordered)" ]' || cannotRun "no promotion was ordered"
order=$(ordered)
case "$order" in
*database=group0-db1*) other=group0-db2 ;;
*database=group0-db2*) other=group0-db1 ;;
*) cannotRun "another database was chosen: $order" ;;
esac
note "ordered: ${order#* }"
note "the primary is back"
tap "light 0"
if [ "$trouble" != 0 ]; then
    note "the replica $other, which was not chosen, crashes and restarts"
    control "crash?database=$other"
    control "restart?database=$other"
fi
waitFor 5 eval 'state | grep -q "terms=2"' || cannotRun "no database was promoted"
note "promoted: $(state)"
sleep 3
touch "$work/stop"
sleep 3.5
cat "$work"/writes-* | sort -n >> "$record"
for vm in 1 2 3; do
    grep -hE 'leadership-change|promotion-|duty-|leadership-read' "$work/vm-$vm.log" |
        sed "s/^/log of front-$vm: /" >> "$record"
done
# Each acknowledged item is read from the new primary.
lost=0 read=0
connect 1 group0-primary || cannotRun "no session"
while read -r item value signature; do
    read=$((read + 1))
    printf 'QUERY read-%s READ %s\r\n' "$read" "$item" >&3
    receive
    [[ $reply == *COMPLETE* ]] || cannotRun "item $item cannot be read: $reply"
    if [[ $reply != "ROW $value "* ]]; then
        lost=$((lost + 1))
        note "acknowledged but not at the new primary: $item $value ($signature), read: $reply"
    fi
done < <(sed -n "s/.*'WRITE \([^ ]*\) \([^ ]*\)' answered 'COMPLETE \([^ ]*\) READY.*/\1 \2 \3/p" "$work"/writes-*)
release
[ "$read" -gt 20 ] || cannotRun "only $read writes were acknowledged"
note "$read writes were acknowledged, $lost of them are lost"
[ "$lost" -gt 0 ] && verdict 1
verdict 0
