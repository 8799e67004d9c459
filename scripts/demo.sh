#!/usr/bin/env bash
# Starts every program on loopback, sends requests through the whole path and stops everything. Exits non-zero if a
# check fails.
set -uo pipefail
cd "$(dirname "$0")/.."

bin=$PWD/bin
dir=$(mktemp -d)
base=${DEMO_PORT:-21000} # first of about 60 ports
api=http://127.0.0.1:$((base + 30))
export CUMINHOOK_API=$api
declare -A pid
failures=0

say() { printf '\n== %s\n' "$*"; }
check() { # check DESCRIPTION CONDITION...
	local what=$1
	shift
	if "$@"; then echo "ok    $what"; else echo "WRONG $what"; failures=$((failures + 1)); fi
}
start() { # start NAME COMMAND...: runs the command in the background; its output goes to $dir/NAME.log
	local name=$1
	shift
	"$@" >"$dir/$name.log" 2>&1 &
	pid[$name]=$!
}
stop() { # stop NAME: planned stop; the exit code must be zero
	kill -TERM "${pid[$1]}" 2>/dev/null
	wait "${pid[$1]}"
	local rc=$?
	unset "pid[$1]"
	return $rc
}
cleanup() {
	for name in "${!pid[@]}"; do kill -KILL "${pid[$name]}" 2>/dev/null; done
	wait 2>/dev/null
	if [ "$failures" -eq 0 ]; then rm -rf "$dir"; else echo "logs: $dir"; fi
}
trap cleanup EXIT
until_ok() { # until_ok SECONDS COMMAND...: repeats the command until it succeeds; fails after SECONDS
	local end=$((SECONDS + $1))
	shift
	until "$@"; do
		[ "$SECONDS" -lt "$end" ] || return 1
		sleep 0.2
	done
}
gateway() { echo "http://127.0.0.1:$((base + 10 + $1))"; }
status() { # status GATEWAY KEY PATH [BODY] [HEADER]: HTTP status; the body goes to $dir/body
	curl -s -o "$dir/body" -w '%{http_code}' --max-time 10 "$(gateway "$1")$3" ${2:+-H "Authorization: Bearer $2"} \
		${4:+-H 'Content-Type: application/json' -d "$4"} ${5:+-H "$5"}
}
is() { [ "$1" = "$2" ]; }
has() { grep -q -- "$2" "$1"; }
lacks() { ! grep -qF -- "$2" "$1"; }

zones=(palermo catania messina siracusa)
node() { # node HOST ZONE MESH_PORT METRICS_PORT: prints the settings that all programs share
	cat <<-YAML
		host: $1
		zone: $2
		mesh: 127.0.0.1:$3
		metrics: 127.0.0.1:$4
		seeds: [127.0.0.1:$((base + 1)), 127.0.0.1:$((base + 2)), 127.0.0.1:$((base + 3))]
		kv: http://127.0.0.1:$base
		hosts: http://127.0.0.1:$base
	YAML
}

say "start the stand-ins of the platform: key-value service, 6 engines, 2 plain services"
{
	echo "hosts:"
	for i in 1 2 3; do
		echo "  - {id: entry-$i, role: entry, zone: ${zones[$i]}, addr: 127.0.0.1:$((base + i))}"
	done
	for i in 1 2 3 4 5 6; do
		echo "  - {id: engine-$i, role: engine, zone: ${zones[$((i % 4))]}, addr: 127.0.0.1:$((base + 40 + i))}"
	done
	for i in 1 2; do
		echo "  - {id: dispatch-$i, role: service, service: dispatch, zone: ${zones[$i]}, addr: 127.0.0.1:$((base + 50 + i))}"
	done
} >"$dir/hosts.yaml"
start kv "$bin/cuminhook-standin" kv --listen 127.0.0.1:$base --hosts "$dir/hosts.yaml"
for i in 1 2 3 4 5 6; do
	fences=$([ $((i % 2)) -eq 0 ] && echo true || echo false)
	start engine-$i "$bin/cuminhook-standin" engine --listen 127.0.0.1:$((base + 40 + i)) \
		--capacity 80000000000 --load-rate 400000000000 --fences=$fences
done
for i in 1 2; do start dispatch-$i "$bin/cuminhook-standin" service --listen 127.0.0.1:$((base + 50 + i)); done

say "start 3 gateways, 2 controllers and the administration API"
for i in 1 2 3; do
	{
		node entry-$i "${zones[$i]}" $((base + i)) $((base + 20 + i))
		echo "listen: 127.0.0.1:$((base + 10 + i))"
		echo "stop_delay: 1s"
		echo "first_deployment: true"
	} >"$dir/gateway-$i.yaml"
	start gateway-$i "$bin/cuminhook-gateway" --config "$dir/gateway-$i.yaml"
done
for i in 1 2; do
	{
		node entry-$i "${zones[$i]}" $((base + 3 + i)) $((base + 23 + i))
		echo "weights: {loads_per_second: 20, full_speed_loads: 3, adapter_loads_at_speed: 25}"
	} >"$dir/controller-$i.yaml"
	start controller-$i "$bin/cuminhook-controller" --config "$dir/controller-$i.yaml"
done
{
	node entry-3 messina $((base + 6)) $((base + 26))
	echo "listen: 127.0.0.1:$((base + 30))"
} >"$dir/admin.yaml"
start admin "$bin/cuminhook-admin" --config "$dir/admin.yaml"

say "apply the first ticket"
check "administration API answers" until_ok 10 curl -sf -o /dev/null "$api/v1/members"
check "ticket 1 is accepted and in force on every host" \
	"$bin/cuminhookctl" apply examples/trinacria/tickets/0001-initial.yaml --wait
"$bin/cuminhookctl" members

say "model requests"
key=etna-example-key
chat='{"model":"trinacria-model-01","max_tokens":20,"messages":[{"role":"user","content":"Draft a warning for the harbour."}]}'
model_ok() { is "$(status 1 $key /v1/chat/completions "$chat")" 200; }
check "a whole answer" until_ok 30 model_ok
stream="${chat%\}},\"stream\":true}"
check "a streamed answer" is "$(status 2 $key /v1/chat/completions "$stream")" 200
check "the stream has its end marker" has "$dir/body" '\[DONE\]'
adapter_ok() { is "$(status 3 $key /v1/chat/completions "${chat/trinacria-model-01/trinacria-adapter-001}")" 200; }
check "an answer of an adapter" until_ok 15 adapter_ok

say "a dispatch that must run once"
alert='{"siren":"harbour-4"}'
alert_ok() { is "$(status 1 $key /alerts/sirens "$alert" 'Idempotency-Key: alert-17')" 200; }
check "first call" until_ok 15 alert_ok
check "the same call at another gateway is answered" is "$(status 2 $key /alerts/sirens "$alert" 'Idempotency-Key: alert-17')" 200
runs=$(cat <(curl -s "http://127.0.0.1:$((base + 51))/debug/runs") <(curl -s "http://127.0.0.1:$((base + 52))/debug/runs"))
echo "runs at the services: $runs"
check "it ran once" is "$(grep -o 'alert-17":[0-9]*' <<<"$runs" | awk -F: '{n+=$2} END {print n+0}')" 1
check "an open route needs no key" is "$(status 1 "" /status)" 200

say "refusals"
check "a wrong key is refused" is "$(status 1 wrong-key /v1/chat/completions "$chat")" 401
cat "$dir/body"
echo
check "no key is refused" is "$(status 1 "" /v1/chat/completions "$chat")" 401
check "an unknown model is refused" is "$(status 1 $key /v1/chat/completions "${chat/model-01/model-99}")" 404

say "give a key, open a stream with it, withdraw it"
"$bin/cuminhookctl" keys create etna-2 --organisation etna --number 2 --wait -o json >"$dir/key.json"
check "the key is created" is $? 0
new=$(sed -n 's/.*"key": *"\([^"]*\)".*/\1/p' "$dir/key.json")
check "it works at every gateway" is "$(for i in 1 2 3; do status $i "$new" /v1/models; done)" 200200200
curl -sN --max-time 20 "$(gateway 1)/v1/chat/completions" -H "Authorization: Bearer $new" -d "${stream/\"max_tokens\":20/\"max_tokens\":500}" \
	>"$dir/long" 2>&1 &
long=$!
sleep 1
check "the stream is open" has "$dir/long" data:
"$bin/cuminhookctl" keys withdraw etna-2 --number 3 --wait
check "the key is withdrawn" is $? 0
check "it stopped at every gateway" is "$(for i in 1 2 3; do status $i "$new" /v1/models; done)" 401401401
wait $long
check "its stream was ended as broken" has "$dir/long" stream_broken
check "its stream has no end marker" lacks "$dir/long" '[DONE]'

say "read back"
"$bin/cuminhookctl" tickets 3
"$bin/cuminhookctl" get organisations

say "planned stop"
curl -sN --max-time 20 "$(gateway 2)/v1/chat/completions" -H "Authorization: Bearer $key" -d "${stream/\"max_tokens\":20/\"max_tokens\":100}" >"$dir/last" 2>&1 &
last=$!
sleep 0.5
check "gateway 2 stops" stop gateway-2
wait $last
check "its open stream was finished" has "$dir/last" '\[DONE\]'
for name in gateway-1 gateway-3 controller-1 controller-2 admin; do check "$name stops" stop $name; done
for name in "${!pid[@]}"; do check "$name stops" stop "$name"; done
check "no log holds a key" lacks <(cat "$dir"/*.log) "$key"

echo
if [ "$failures" -eq 0 ]; then echo "demo: all as it should be"; else
	echo "demo: $failures checks failed"
	exit 1
fi
