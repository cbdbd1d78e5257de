#!/usr/bin/env bash
# Starts the VMs from target/bin beside the stand-ins of review/standin-3; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
command -v python3 > /dev/null || { echo "no python3"; exit 2; }
[ -x target/bin/fescuestatementd ] || { echo "target/bin/fescuestatementd is not built"; exit 2; }
exec python3 -B "review/$(basename "$(dirname "$(readlink -f "$0")")")/case.py"
