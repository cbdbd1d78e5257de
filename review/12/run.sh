#!/usr/bin/env bash
# Starts the VMs from target/bin beside the stand-ins of review/standin-3; see claim.txt. Exits with 1 if
# the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 it does the same
# without the disruption. Writes what was sent, answered and run to record.txt beside this file.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE="${TROUBLE:-1}"
record="review/12/record.txt"
: > "$record" || exit 2
command -v python3 > /dev/null || { echo "could not run: no python3" | tee "$record"; exit 2; }
[ -x target/bin/fescuestatementd ] || { echo "could not run: no program" | tee "$record"; exit 2; }
exec python3 -B review/12/case.py "$record" "$TROUBLE"
