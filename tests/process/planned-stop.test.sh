# Planned stops under load: not one request that a VM has taken is cut off, and each VM exits with 0.
# STOPS is the number of stops.
base=27800
. tests/process/lib.sh
startAll
stops="${STOPS:-3}"

request 1 write '"set n 0"'
expect "write before" '"outcome":"done"' "$answer"
# caller N: sends writes to VM N until told to end; a connection that is refused carried nothing.
caller() {
    local body code count=0
    while [ ! -e "$work/end" ]; do
        count=$((count + 1))
        body=$(send "$1" write '"add n 1"' ",\"id\":\"c$2-$1-$count\",\"token\":\"\"")
        code=$?
        case "$code" in
        0) [[ $body == *'"outcome":"done"'* ]] && echo done || echo "other $body" ;;
        7) echo refused; sleep 0.02 ;;
        *) echo "cut $code" ;;
        esac
    done >> "$work/caller-$1-$2"
}
declare -a callers=()
for c in 1 2; do
    for i in 1 2 3; do
        caller $i $c &
        callers+=($!)
    done
done
for ((stop = 0; stop < stops; stop++)); do
    vm=$((stop % 3 + 1))
    kill -TERM "${pidOf[vm-$vm]}"
    wait "${pidOf[vm-$vm]}"
    expect "stop $((stop + 1)): vm-$vm exits with 0" '^0$' "$?"
    startVm $vm
    waitFor 10 serving $vm || expect "vm-$vm serves again" '"serving":true' "$(vmStatus $vm)"
    waitFor 10 hasMembers $vm 3 || expect "vm-$vm has its members" '.{99999}' "$(vmStatus $vm)"
done
touch "$work/end"
wait "${callers[@]}"
cat "$work"/caller-* > "$work/outcomes"
acknowledged=$(grep -c '^done$' "$work/outcomes")
echo "  $acknowledged done, $(grep -c '^refused$' "$work/outcomes") refused before anything was sent," \
    "$(grep -c '^cut' "$work/outcomes") cut off, $(grep -c '^other' "$work/outcomes") not run or unknown"
expect "no request was cut off" '^0$' "$(grep -c '^cut' "$work/outcomes")"
expect "none unknown" '^0$' "$(grep -c 'unknown' "$work/outcomes")"
request 1 read '"get n"' ',"token":""'
expect "what was acknowledged is there, once" "\"results\":\\[\"$acknowledged\"\\]" "$answer"
grep -E '^(other|cut)' "$work/outcomes" | sort -u | head -5
finish
