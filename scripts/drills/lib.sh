# Functions that the drills share; sourced by them.
#
# BIN names the directory of the programs (default target/release), LOAD_RATE the arrivals a second
# of drills with a load. Only one cluster of a deployment can run at a time on a machine.
# shellcheck shell=bash
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
export BIN=${BIN:-target/release} LEAF_OPTIONS=${LEAF_OPTIONS:---start-warm}
DEPLOYMENT=${DEPLOYMENT:-deployments/gulf.toml}
LOAD_RATE=${LOAD_RATE:-40}
DRILL=$(basename "$0")
DIR=$(mktemp -d)
READY_LOOKS=300

LOAD_PID=

finish() {
  [ -z "$LOAD_PID" ] || kill -KILL "$LOAD_PID" 2>/dev/null || true
  scripts/cluster stop "$DIR"
  if [ -n "${KEEP:-}" ]; then echo "logs: $DIR" >&2; else rm -rf "$DIR"; fi
}
trap finish EXIT

fail() {
  echo "$DRILL: $*" >&2
  exit 1
}

# jq function: microseconds of a length of time such as "40ms".
# shellcheck disable=SC2034
JQ_US='def us: capture("^(?<n>[0-9]+)(?<unit>[a-z]+)$")
  | (.n | tonumber) * {us: 1, ms: 1000, s: 1000000, min: 60000000}[.unit];'

now_ms() { echo $((${EPOCHREALTIME/./} / 1000)); }
address() { scripts/cluster address "$DIR" "$1" "$2"; }
tool() { "$BIN/wigeonramp" "$@"; }

# Names of the hosts whose processes were started and not ended.
hosts() {
  for file in "$DIR"/host-*.pid; do basename "$file" .pid; done | sort -V
}

# The configuration version of each live host, one a line; 0 if it has none or does not respond.
versions() {
  local urls=()
  for host in $(hosts); do urls+=("http://$(address "$host" operator)/v1/status"); done
  curl -s --max-time 2 "${urls[@]}" | jq '.config_version // 0'
}

# The lowest version on all live hosts; 0 if one does not respond.
lowest_version() {
  local seen
  seen=$(versions | sort -n)
  if [ "$(wc -l <<<"$seen")" -eq "$(hosts | wc -l)" ]; then head -n 1 <<<"$seen"; else echo 0; fi
}

# Waits until all live hosts report VERSION or a later one.
await_version() { # VERSION SECONDS
  local until=$(($(now_ms) + $2 * 1000))
  while [ "$(lowest_version)" -lt "$1" ]; do
    [ "$(now_ms)" -lt "$until" ] || return 1
  done
}

# Starts a cluster, declares the deployment and waits until every leaf has a holder.
start_cluster() { # HOSTS
  rm -f "$DIR/plan.json"
  scripts/cluster start "$DIR" "$DEPLOYMENT" "$1"
  WIGEONRAMP_HOST=$(address host-1 operator)
  export WIGEONRAMP_HOST
  tool plan "$DEPLOYMENT" --out "$DIR/plan.json" >"$DIR/plan.txt"
  tool confirm "$DIR/plan.json" >"$DIR/confirm.txt"
  scripts/until-covered "$DIR" host-1
  for ((look = 0; look < READY_LOOKS; look++)); do
    [ "$(held_leaves)" -ge 130 ] && return
    sleep 0.1
  done
  fail "only $(held_leaves) of 130 leaves have a holder"
}

held_leaves() {
  local urls=()
  for host in $(hosts); do urls+=("http://$(address "$host" operator)/v1/status"); done
  curl -s --max-time 2 "${urls[@]}" | jq -s '[.[].leaves[].leaf] | unique | length'
}

platform_counters() { curl -s "http://$(address platform control)/counters"; }
platform_fault() { # JSON
  curl -sf -H 'content-type: application/json' -d "$1" \
    "http://$(address platform control)/faults" >/dev/null
}

# Ends a host at once.
kill_host() { # NAME
  kill -KILL "$(scripts/cluster pid "$DIR" "$1")"
  until [ -s "$DIR/$1.exit" ]; do sleep 0.01; done
  rm "$DIR/$1.pid"
}

# Starts the load in the background; its report goes to load.json. All live hosts are seeds.
start_load() { # LENGTH [OPTIONS...]
  local length=$1 seeds=()
  shift
  for host in $(hosts); do seeds+=(--host "$(address "$host" caller)"); done
  "$BIN/wigeonramp-load" --profile "${PROFILE:-load/gulf.toml}" "${seeds[@]}" \
    --leaves "$(address leaves control)" --rate "$LOAD_RATE" --length "$length" --window 5s \
    --name "$DRILL" --json "$DIR/load.json" "$@" >"$DIR/load.txt" 2>"$DIR/load.log" &
  LOAD_PID=$!
}

# Waits for the load and prints its table.
end_load() {
  wait "$LOAD_PID" || { tail -n 3 "$DIR/load.log" >&2; fail "the load tool failed"; }
  LOAD_PID=
  cat "$DIR/load.txt"
}

machine_load() { cut -d ' ' -f 1 /proc/loadavg; }

# Prints the JSON line with drill, commit, date and load of the machine, then ends the drill.
conclude() { # MET(true|false) JSON
  jq -nc --arg drill "$DRILL" --arg commit "$(git rev-parse --short HEAD)" \
    --arg date "$(date -u +%FT%TZ)" --arg load "$(machine_load)" --argjson met "$1" \
    --argjson result "$2" \
    '{$drill, $commit, $date, machine_load: ($load | tonumber), target_met: $met} + $result'
  [ "$1" = true ]
}
