#!/usr/bin/env bash
# Runs a whole system on loopback: stand-ins of the platform and of backend
# servers, three entries, three model agents and two desk agents. It sends a few
# requests, kills an agent under load and stops everything.
set -euo pipefail
cd "$(dirname "$0")/.."

bin=$PWD/bin
dir=$(mktemp -d)
net=127.77.1
token=operator-token
pids=()

stop() {
	kill "${pids[@]}" 2>/dev/null || true
	wait 2>/dev/null || true
	rm -rf "$dir"
}
trap stop EXIT

run() { # run NAME COMMAND...
	local name=$1
	shift
	"$@" >"$dir/$name.log" 2>&1 &
	pids+=($!)
	echo $! >"$dir/$name.pid"
}

fail() {
	echo "demo failed: $*" >&2
	tail -n 5 "$dir"/*.log >&2
	exit 1
}

await() { # await WHAT COMMAND...
	local what=$1
	shift
	for _ in $(seq 150); do
		if "$@" >/dev/null 2>&1; then return; fi
		sleep 0.1
	done
	fail "$what: not so after 15 s"
}

row() { # row ID ROLE ADDRESS DOMAIN SERVICE
	printf '{"id":"%s","role":"%s","address":"%s","failure_domain":"%s","region":"r1","service":"%s","state":"live"}' "$@"
}

settings() { # settings ID ROLE DOMAIN HOST
	cat <<EOF
id = "$1"
role = "$2"
failure_domain = "$3"
region = "r1"
[log]
address = "$net.1:7000"
retention = "1h"
[host_list]
address = "$net.2:7000"
[claims]
window = "10m"
[listen]
admin = "$4:8081"
peer = "$4:8082"
EOF
}

entry() { # entry N
	settings "entry-$1" entry "d$1" "$net.1$1" >"$dir/entry-$1.toml"
	cat >>"$dir/entry-$1.toml" <<EOF
caller = "$net.1$1:8080"
[entry]
drain_delay = "300ms"
bootstrap_token_hash = "$(printf %s $token | sha256sum | cut -d' ' -f1)"
EOF
	run "entry-$1" "$bin/nutmegnotch" entry --settings "$dir/entry-$1.toml"
}

agent() { # agent N SERVICE KIND BACKEND_COMMAND...
	local n=$1 service=$2 kind=$3
	shift 3
	run "backend-$n" "$bin/nutmegnotch-emulator" "$@" --listen "$net.3$n:9000"
	settings "agent-$n" agent "d$(((n - 1) % 3 + 1))" "$net.2$n" >"$dir/agent-$n.toml"
	cat >>"$dir/agent-$n.toml" <<EOF
[agent]
service = "$service"
backend_address = "$net.3$n:9000"
backend_kind = "$kind"
EOF
	run "agent-$n" "$bin/nutmegnotch" agent --settings "$dir/agent-$n.toml"
}

request() { "$bin/nutmegnotch-emulator" request --key trails-key "$@"; }
operate() { "$bin/nutmegnotch" "$@" --server "http://$net.11:8081" --token $token; }

echo "== starting"
rows=()
for n in 1 2 3; do rows+=("$(row "entry-$n" entry "$net.1$n:8082" "d$n" "")"); done
for n in 1 2 3; do rows+=("$(row "agent-$n" agent "$net.2$n:8082" "d$n" runners)"); done
for n in 4 5; do rows+=("$(row "agent-$n" agent "$net.2$n:8082" "d$((n - 3))" bookings)"); done
(IFS=, && printf '[%s]' "${rows[*]}") >"$dir/hosts.json"
run log "$bin/nutmegnotch-emulator" log --listen "$net.1:7000"
run hosts "$bin/nutmegnotch-emulator" hosts --listen "$net.2:7000" --file "$dir/hosts.json"
for n in 1 2 3; do entry $n; done
for n in 1 2 3; do agent $n runners engine engine --models m1 --tokens-per-second 100; done
for n in 4 5; do agent $n bookings desk desk; done

await "entry-1 answers operators" operate get
echo "== publishing two services and a contract"
operate publish demo/objects/runners.toml --object service/runners
operate publish demo/objects/bookings.toml --object service/bookings
operate publish demo/objects/trails.toml --object contract/trails
await "the contract is served" request --entry "http://$net.11:8080" --path /bookings/none --method GET

echo "== one streamed answer"
request --entry "http://$net.12:8080" --prompt "Draft a load manifest for five mules" --max-tokens 8

echo "== one booking, sent twice through different entries, run once"
request --entry "http://$net.11:8080" --path /bookings --idempotency-key demo-1 --body '{"mule":"m7"}'
request --entry "http://$net.13:8080" --path /bookings --idempotency-key demo-1 --body '{"mule":"m7"}'
echo "runs at the desks with this key: $(for n in 4 5; do request --entry "http://$net.3$n:9000" --path /runs --method GET; done | grep -o '"idempotency_key":"demo-1"' | wc -l)"

echo "== one truthful refusal: the failure domain of every runner is taken out"
for d in d1 d2 d3; do operate drain $d; done
request --entry "http://$net.11:8080" --prompt "Too late" --max-tokens 8 || true
for d in d1 d2 d3; do operate restore $d; done

echo "== agent-1 is killed under load; the others serve"
"$bin/nutmegnotch-emulator" load --entry "http://$net.11:8080" --entry "http://$net.12:8080" --entry "http://$net.13:8080" \
	--organisation trails=trails-key --model m1 --rate 20 --count 100 --max-tokens 20 --desk-path /bookings >"$dir/load.json" &
load=$!
sleep 1
kill -9 "$(cat "$dir/agent-1.pid")"
wait $load || fail "load tool"
cat "$dir/load.json"

echo "== audit trail"
operate audit | tail -n 3
echo "== stopping"
