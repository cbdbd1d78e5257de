# Bad input at the ports of a VM: a typed error and a counter, never a stop, never a mix-up.
base=27600
. tests/process/lib.sh
startAll
url="http://$(vmIp 1):$(callerPort 1)"

raw() { curl -s --max-time 5 -d "$1" "$url/v1/request"; }
expect "no JSON" '"reason":"malformed"' "$(raw 'hello')"
expect "unknown field is named" 'colour' \
    "$(raw '{"customer":"coop-7","session":"s","group":"herd","access":"read","statements":["get n"],"id":"1","deadlineMs":100,"colour":"red"}')"
expect "wrong type is named" 'deadlineMs' \
    "$(raw '{"customer":"coop-7","session":"s","group":"herd","access":"read","statements":["get n"],"id":"1","deadlineMs":"soon"}')"
expect "unknown customer" '"reason":"unknown-customer"' \
    "$(customer=nobody send 1 read '"get n"')"
expect "forged token" '"reason":"invalid-token"' \
    "$(send 1 read '"get n"' ',"token":"AQEEaGVyZAIEAZ3G5kuoU6WRwgHGqv_aaaa"')"
expect "statement that is wrong" '"reason":"statement-failed"' "$(send 1 write '"frobnicate"')"
head -c 400000 /dev/zero | tr '\0' 'x' > "$work/large"
expect "oversized body" '413' \
    "$(curl -s --max-time 5 -o /dev/null -w '%{http_code}' --data-binary "@$work/large" "$url/v1/request")"
exec 3<> "/dev/tcp/$(vmIp 1)/$(callerPort 1)"
printf 'POST /v1/request HTTP/1.1\r\nContent-Length: 100\r\n\r\n{"cust' >&3
exec 3>&-
request 1 write '"set n 1"'
expect "the VM still serves" '"outcome":"done"' "$answer"
expect "and counted" 'fescuespring_malformed_total [1-9]' "$(curl -s --max-time 2 "$url/v1/counters")"
finish
