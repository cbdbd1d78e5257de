#!/usr/bin/env bash
# The operator removes the only tenant: the new manifest has an empty list of tenants. Later than
# RevokeMs after its ack, requests with the removed key run, and so do requests with a key that no
# manifest ever held. With TROUBLE=0 the new manifest takes the key away, but keeps the tenant.
cd "$(dirname "$0")/../.." || exit 2
record=review/7/record.txt
. review/lib-2.sh
revokeMs=5000

tenants() {
    note "the operator writes a manifest with Tenants $1"
    curl -s --max-time 2 -o /dev/null --data-binary "$1" "http://127.0.0.1:$((base + 1))/control/customers" ||
        cannotRun "the manifest was not written"
    note "the manifest is acknowledged"
}
# attempt VM KEY TEXT: one statement in a new session; `reply` is the answer to it, or to CONNECT.
attempt() {
    connect "$1" group0-primary "$2"
    if [[ $reply != READY* ]]; then
        note "front-$1: CONNECT with key '$2' answered '$reply'"
        exec 3>&-
        return
    fi
    ask "$3"
    release
}

startEstate
sleep 0.5
tenants '[{"Name":"guild","ApiKeys":["key-guild"],"RatePerS":344,"BurstSize":344}]'
startVms 3
sleep 3
attempt 1 key-guild "WRITE flag on"
[[ $reply == COMPLETE* ]] || sleep 1
[[ $reply == COMPLETE* ]] || attempt 1 key-guild "WRITE flag on"
[[ $reply == COMPLETE* ]] ||
    cannotRun "the tenant is not served: $reply"
attempt 2 key-nobody "READ flag"
[[ $reply == *UNAUTH* ]] || cannotRun "an unknown key was not refused before: $reply"

if [ "$trouble" != 0 ]; then
    tenants '[]'
else
    tenants '[{"Name":"guild","ApiKeys":[],"RatePerS":344,"BurstSize":344}]'
fi
sleep 6
note "6 s after the ack; RevokeMs is $revokeMs"
broken=0
for vm in 1 2 3; do
    attempt "$vm" key-guild "READ flag"
    [[ $reply == *COMPLETE* ]] && broken=1 && note "a request with the removed key has run"
    attempt "$vm" key-guild "WRITE flag off-$vm"
    [[ $reply == *COMPLETE* ]] && broken=1 && note "a request with the removed key has run"
    attempt "$vm" key-nobody "READ flag"
    [[ $reply == *COMPLETE* ]] && broken=1 && note "a request with a key that no manifest ever held has run"
done
verdict "$broken"
