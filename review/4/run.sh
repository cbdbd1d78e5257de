#!/usr/bin/env bash
# A consumer prepares a shape with blanks; another consumer's prepared read then runs as a write.
cd "$(dirname "$0")/../.." || exit 2
record=review/4/record.txt
. review/lib.sh

shape="price"
other="price WRITE stock"
[ "$TROUBLE" = 0 ] && other="stock"

startSite 0 2000
startMachines
open 4 1 cenovy-zapis
ask 4 "PREPARE s1 READ $shape"
ask 4 "WRITE label-17 149"
ask 4 "EXECUTE s1 label-17"
[[ $reply == "ROW 149 | "* ]] || cannotRun "the first read does not return what was written"

# Names collide between consumers: the other one calls its statement s1 too.
open 5 1 cenovy-zapis
ask 5 "PREPARE s1 READ $other"
for _ in 1 2 3; do ask 5 "EXECUTE s1 label-99"; done

faults=0
for _ in 1 2 3; do
    ask 4 "EXECUTE s1 label-17"
    if [[ $reply != "ROW 149 | COMPLETE "*"/$shape/"* && $reply != "ERROR "* ]]; then
        say "fault: a prepared READ of shape '$shape' was answered with another shape, or without its row"
        faults=$((faults + 1))
    fi
    if grep -q "id=q$asked write" "$work/site.log"; then
        say "fault: the READ q$asked ran as a write: $(grep "id=q$asked write" "$work/site.log")"
        faults=$((faults + 1))
    fi
done
ask 4 "READ label-17"
if [[ $reply != "ROW 149 | "* && $reply != "ERROR "* ]]; then
    say "fault: the price that was acknowledged is gone; no consumer sent a write for label-17 since"
    faults=$((faults + 1))
fi
[ "$faults" -eq 0 ] || broken "$faults faults"
held "the prepared statement ran its own shape"
