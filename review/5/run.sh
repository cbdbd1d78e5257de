#!/usr/bin/env bash
# A flood of questions: consumers send QUERY messages without waiting for the answers. The process
# must stay under MemoryMb, as the platform kills it otherwise.
cd "$(dirname "$0")/../.." || exit 2
here=review/5
. review/lib.sh

memoryMb=260
peers=120
seconds=5.7
perSecond=${PER_SECOND:-600}
bytes=1200
[ "$TROUBLE" = 0 ] && perSecond=1

residentKb() { sed -n 's/^VmRSS:[^0-9]*\([0-9]*\).*/\1/p' "/proc/${pidOf[front-1]}/status"; }

startSite 0 2000
startMachines
say "front-1 holds $(residentKb) kB before"
target/review/flood "$(vmIp 1)" 8784 stav-etiket "$peers" "$perSecond" "$bytes" "$seconds" > "$work/flood.log" 2>&1 &
flood=$!
most=0
while kill -0 "$flood" 2> /dev/null; do
    now=$(residentKb)
    [ -n "$now" ] || break
    [ "$now" -gt "$most" ] && most=$now
    if [ "$now" -gt $((memoryMb * 1024)) ]; then
        say "front-1 holds $now kB, more than MemoryMb $memoryMb: the platform kills it"
        kill -KILL "${pidOf[front-1]}"
        broken "killed over its memory limit, with the sessions of all its consumers"
    fi
    sleep 0.05
done
wait "$flood" || cannotRun "the consumers could not connect"
say "consumers: $(cat "$work/flood.log")"
say "front-1 held $most kB at most"
held "the process stayed under MemoryMb $memoryMb"
