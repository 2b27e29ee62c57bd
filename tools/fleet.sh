# Functions to start stand-ins and entry instances on loopback; sourced by the demo, the process tests and the long run.
# Needs $out (a folder, emptied) and $entries (how many instances).

bin=$PWD/build
pids=()

cleanup() {
    local pid
    for pid in "${pids[@]}"; do
        kill -CONT "$pid" 2>/dev/null || true
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
}

start() { # start NAME PROGRAM ARGUMENTS...: pid in $pid_NAME
    local name=$1
    shift
    "$@" >>"$out/$name.log" 2>&1 &
    pids+=($!)
    eval "pid_$name=$!"
}

hash() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }

wait_for() { # wait_for COMMAND...: until it succeeds, at most 20 s
    local _
    for _ in $(seq 200); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.1
    done
    echo "gave up waiting for: $*" >&2
    return 1
}

start_platform() {
    start store "$bin/crocusmount-standin" store --listen 127.0.0.1:7100
    start instances "$bin/crocusmount-standin" instances --listen 127.0.0.1:7101 --lag-ms 1000
    start registry "$bin/crocusmount-standin" service --listen 127.0.0.1:7102
}

backends="" # objects for the configuration
ledgers="\"127.0.0.1:7102\""
next_port=7200
next_dc=1

start_engine() { # start_engine ID MODEL BEGIN END KIND SLOTS STEP_US TIER
    start "engine_$1" "$bin/crocusmount-standin" engine --listen "127.0.0.1:$next_port" --id "$1" --model "$2" \
        --begin "$3" --end "$4" --slots "$6" --step-us "$7"
    backends="$backends{\"id\":\"$1\",\"address\":\"127.0.0.1:$next_port\",\"dataCentre\":\"dc$next_dc\",
      \"accelerator\":\"$5\",\"labels\":{\"tier\":\"$8\",\"accelerator\":\"$5\"}},"
    ledgers="$ledgers,\"127.0.0.1:$next_port\""
    eval "port_$1=$next_port"
    next_port=$((next_port + 1))
    next_dc=$((next_dc % 3 + 1))
}

start_engines() {
    # Only together do the ranges make a model of 24 layers.
    local line
    while read -r line; do
        # shellcheck disable=SC2086
        start_engine $line
    done <<'ENGINES'
a1 profile-24 0 12 large 8 2000 drafting
a2 profile-24 0 12 large 8 2000 drafting
a3 profile-24 12 24 large 8 2000 drafting
a4 profile-24 12 24 large 8 2000 drafting
b1 profile-24 0 8 medium 6 2500 drafting
b2 profile-24 8 16 medium 6 2500 drafting
b3 profile-24 16 24 medium 6 2500 drafting
c1 profile-24 12 18 small 4 3000 drafting
c2 profile-24 18 24 small 4 3000 drafting
l1 lookup-4 0 4 large 8 500 lookup
l2 lookup-4 0 4 large 8 500 lookup
ENGINES
}

settings_for() { # settings_for I: the path of its settings
    local i=$1 j seeds=""
    for j in $(seq "$entries"); do
        seeds="$seeds{\"instance\":\"entry$j\",\"dataCentre\":\"dc$(((j - 1) % 3 + 1))\",\"callers\":\"127.0.0.$j:7000\",\"peers\":\"127.0.0.$j:7001\"},"
    done
    cat >"$out/entry$i.json" <<JSON
{"instance":"entry$i","dataCentre":"dc$(((i - 1) % 3 + 1))","listen":"127.0.0.$i:7000","peerListen":"127.0.0.$i:7001",
 "store":["127.0.0.1:7100"],"instanceList":"127.0.0.1:7101","seeds":[${seeds%,}],
 ${extra_settings:-}"operatorTokenSha256":["$(hash operator)"],"log":{"format":"json"},
 "membership":{"gossipIntervalMs":300,"ackTimeoutMs":100,"suspicionTimeoutMs":1000,"entryLifetimeMs":1000}}
JSON
    echo "$out/entry$i.json"
}

start_entry() { # start_entry I ARGUMENTS...
    local i=$1
    shift
    start "entry$i" "$bin/crocusmountd" --config "$(settings_for "$i")" "$@"
}

write_configuration() {
    cat >"$out/configuration.json" <<JSON
{"workspaces":[
  {"id":"city","weight":4,"labels":{"kind":"utility"},"tokenSha256":["$(hash city)"]},
  {"id":"clinic","labels":{"kind":"utility"},"tokenSha256":["$(hash clinic)"]},
  {"id":"library","labels":{"kind":"utility"},"tokenSha256":["$(hash library)"]}],
 "pipelines":[
  {"id":"profile","model":"profile-24","layers":24,"selector":{"tier":"drafting"},"maxTokens":256},
  {"id":"lookup","kind":"Lookup","model":"lookup-4","layers":4,"selector":{"tier":"lookup"},"deadlineMs":2000},
  {"id":"registry","kind":"Service","model":"registry","selector":{"tier":"service"},"deadlineMs":5000}],
 "backends":[$backends
  {"id":"registry1","address":"127.0.0.1:7102","dataCentre":"dc1","accelerator":"none","service":"registry",
   "labels":{"tier":"service"}}]}
JSON
}

revision() { curl -fs -H 'Authorization: Bearer operator' "http://$CROCUSMOUNT_ENTRY/admin/v1/configuration" | jq .revision; }

all_reachable() {
    local wanted
    wanted=$(jq '.backends|length' "$out/configuration.json")
    [ "$("$bin/crocusmount" status --output json | jq '[.backends[]|select(.reachable)]|length')" = "$wanted" ]
}

configure() {
    export CROCUSMOUNT_ENTRY=127.0.0.1:7000 CROCUSMOUNT_TOKEN=operator
    write_configuration
    wait_for curl -fs "http://$CROCUSMOUNT_ENTRY/healthz"
    "$bin/crocusmount" apply "$out/configuration.json" --base 0
    "$bin/crocusmount" status --wait "$(revision)" >/dev/null
    wait_for all_reachable
}

fault() { # fault PORT JSON: sets a stand-in's fault
    curl -fs -X POST "http://127.0.0.1:$1/fault" -d "$2" >/dev/null || true
}

entry_addresses() {
    local i list=""
    for i in $(seq "$entries"); do list="$list\"127.0.0.$i:7000\","; done
    echo "${list%,}"
}
