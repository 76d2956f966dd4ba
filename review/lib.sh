# What the run.sh of all cases share: processes, ports, a temporary folder, the record. To be sourced with $case set
# to the case's folder. Exit codes of a case: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
root=$(cd "$case/../.." && pwd)
cd "$root"
trouble=${TROUBLE:-1}
standin=$root/review/bin/standin
run=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml) # the deploy file's command
dir=$(mktemp -d) || exit 2
ledger=$dir/ledger
: >"$ledger"
pids=

# A case leaves no process behind, and its record is in the order of time.
finish() {
	code=$?
	for p in $pids; do kill -KILL "$p" 2>/dev/null; done
	for p in $pids; do wait "$p" 2>/dev/null; done
	sort -n "$ledger" >"$case/record.txt"
	rm -rf "$dir"
	exit "$code"
}
trap finish EXIT
trap 'exit 2' INT TERM HUP

fail() {
	echo "the case could not run: $*" >&2
	for f in "$dir"/*.log; do [ -f "$f" ] && tail -5 "$f" >&2; done
	exit 2
}

say() { echo "$(date +%s.%6N) script $*" >>"$ledger"; }

# start NAME COMMAND... starts a process; its id is in $started and in $dir/NAME.pid.
start() {
	name=$1
	shift
	"$@" >>"$dir/$name.log" 2>&1 &
	started=$!
	pids="$pids $started"
	echo "$started" >"$dir/$name.pid"
}

# await ADDRESS PATH WORD waits until a GET there answers with WORD in its first line, for 20 s at most.
await() {
	n=0
	until curl_line "$1" "$2" | grep -q "$3"; do
		n=$((n + 1))
		[ "$n" -lt 200 ] || fail "no answer at $1$2"
		sleep 0.1
	done
}

curl_line() {
	(
		exec 3<>"/dev/tcp/${1%:*}/${1#*:}" || exit
		printf 'GET %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n' "$2" >&3
		timeout 1 head -n 1 <&3
	) 2>/dev/null
}

[ -x bin/otterstep ] && [ -x "$standin" ] && [ -n "$run" ] || fail "not built: run the deploy file's command and review/build.sh"

# node_config FILE LISTEN DISCOVERY writes a node's configuration with the settings of a small deployment: one node, two
# classes, the limits of the days that are scored.
node_config() {
	cat >"$1" <<-EOF
	{"name": "n1", "listen": "$2", "discovery": "$3", "seed": "8c1f30d27a5be964",
	 "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
	 "known": {"rev": 0, "all": true, "targets": []},
	 "settings": {
	  "Accounts": [{"Name": "umurage-hotels", "QuotaPerS": 84.0, "Share": 0.26}],
	  "Balancers": 1, "Me": 0, "Tier": 0, "Locality": 0, "Layers": ["channel-web"], "Zones": ["kigali-room1"], "Kinds": ["dual-fast", "triple-slow"],
	  "Classes": [
	   {"Name": "avail-read", "Effect": "pure", "DedupScope": "all", "DeadlineMs": 1400.0, "PromiseMs": 580.0, "KeyTtlMs": 5000.0, "Importance": 2.0, "LateWorth": 0.0},
	   {"Name": "booking-push", "Effect": "token", "DedupScope": "all", "DeadlineMs": 1900.0, "PromiseMs": 750.0, "KeyTtlMs": 6000.0, "Importance": 8.0, "LateWorth": 0.0}],
	  "RegistryMode": "pushed", "Weights": "rough", "Reporting": {"Columns": [], "How": "silent"}, "OverShareWorth": 0.05,
	  "Contract": {"ColdFrom": 0.32, "ColdMs": 8800.0, "DrainGraceMs": 500.0, "FallMs": 1000.0, "FallMultiple": 3.0, "GraceToAnswerMs": 20.0, "MustAskInMs": 10000.0},
	  "Limits": {"Cancel": true, "SecondCopies": true, "MaxAttempts": 4, "MaxOpen": 20000, "ConnIdleMs": 15000.0, "ConnectTimeoutMs": 200.0, "RetryAfter": true, "MaxRetryAfterMs": 600.0, "Probes": true, "PeerMessages": false, "StreamsPerConn": 1, "CpuUsPerS": 15000}}}
	EOF
}

# start_node [ARGUMENT...] starts the node with the deploy file's command.
start_node() {
	mkdir -p "$dir/tmp"
	start node env PROXY_CONFIG="$dir/config.json" TMPDIR="$dir/tmp" /bin/sh -c "$run $*"
}

# web_front FILE LISTEN HTTP2 SERVER... writes an operator's file with a front for ordinary HTTP: the classes, times
# and attempts of ktm-collection.
web_front() {
	file=$1 at=$2 http2=$3
	shift 3
	{
		printf '[[web]]\nname = "rounds"\nlisten = "%s"\nattempts = 6\nretry_after = "1200ms"\n' "$at"
		printf '[web.upstream]\nhttp2 = %s\n' "$http2"
		n=0
		for s in "$@"; do
			n=$((n + 1))
			printf '[[web.server]]\nname = "s%d"\naddress = "%s"\n' "$n" "$s"
		done
		printf '[[web.class]]\nname = "round-lookup"\naim = "300ms"\ndeadline = "1500ms"\n'
		printf '[[web.class]]\nname = "payment-entry"\naim = "750ms"\ndeadline = "2500ms"\n'
		printf '[[web.rule]]\npath = "/payment-entry/"\nclass = "payment-entry"\n'
	} >"$file"
}

# web_front_kigali is web_front with the classes, times and attempts of kigali-main, and servers over HTTP/1.1.
web_front_kigali() {
	file=$1 at=$2
	shift 2
	{
		printf '[[web]]\nname = "channel"\nlisten = "%s"\nattempts = 4\nretry_after = "600ms"\n' "$at"
		n=0
		for s in "$@"; do
			n=$((n + 1))
			printf '[[web.server]]\nname = "s%d"\naddress = "%s"\n' "$n" "$s"
		done
		printf '[[web.class]]\nname = "avail-read"\naim = "580ms"\ndeadline = "1400ms"\n'
		printf '[[web.class]]\nname = "booking-push"\naim = "750ms"\ndeadline = "1900ms"\nrepeats_dropped = "6s"\n'
		printf '[[web.rule]]\npath = "/booking-push/"\nclass = "booking-push"\n'
	} >"$file"
}
