#!/bin/bash
# Clients send bodies at 64 kB a second. See claim.txt.
case=$(cd "$(dirname "$0")" && pwd)
. "$case/../lib.sh"
servers=9
mapfile -t port < <("$standin" ports $((servers + 2)))
node=127.0.0.1:${port[servers]} discovery=127.0.0.1:${port[servers + 1]}
all=()
for ((i = 0; i < servers; i++)); do
	all+=("127.0.0.1:${port[i]}")
	start "s$((i + 1))" "$standin" server -listen "${all[i]}" -name "s$((i + 1))" -ledger "$ledger" -work 60ms
done
start discovery "$standin" discovery -listen "$discovery" -zone kigali-room1 -model dual-fast -servers "$(IFS=,; echo "${all[*]}")"
node_config "$dir/config.json" "$node" "$discovery"
start_node
await "$node" /up ' 200 '
# Six bodies of 1 to 6 MB, far from 32 MB. At 65,536 bytes a second they take 15 to 92 s.
rate=65536
[ "$trouble" != 0 ] || rate=0
start client "$standin" uploader -to "$node" -ledger "$ledger" -sizes 1000000,2000000,3000000,4400000,5200000,6000000 -rate "$rate" -class booking-push -account umurage-hotels
wait "$started" || fail "the client"
kill -0 "$(cat "$dir/node.pid")" || fail "the node ended"
[ "$(grep -c ' c sent c-' "$ledger")" = 6 ] || fail "not all were sent"
# Lost: its last byte was sent, and the connection ended with no whole answer, or none came in ten seconds.
lost=$(grep -E ' c (no answer|broken answer) to c-' "$ledger" | sort -n)
say "requests sent: 6; answered: $(grep -c ' c got c-' "$ledger"); lost: $(echo "$lost" | grep -c .); run by servers: $(grep -c ' run c-' "$ledger")"
grep -E ' script | c ([a-z]+ ){1,3}c-| run c-' "$ledger" | sort -n
[ -z "$lost" ]
