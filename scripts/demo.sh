#!/usr/bin/env bash
# Starts a deployment on loopback: three availability zones with PER_ZONE daemons
# each, and eight stand-in workers in each of two racks per zone. Publishes the
# example configuration and submits JOBS jobs through all entry instances. Kills
# one daemon after a quarter of the answers and stops another after half of them.
# Prints each job's answer, the completion times and a summary line; exits with 0
# only if every job got its complete answer and the workers' journals agree with
# the answers.
#
# With UP=1 it submits no jobs: it prints how to reach the deployment and keeps it
# running until it is interrupted.
#
# With TRACES=FOLDER each daemon records the inputs of its zone's scheduling
# decisions to a file in FOLDER, for "teaselpaddle replay".
#
# With PER_ZONE=1 no daemon is killed or stopped, because its zone would be left
# without one.
set -euo pipefail
cd "$(dirname "$0")/.."

PER_ZONE=${PER_ZONE:-3}
JOBS=${JOBS:-240}
ZONES=(amman-1 amman-2 amman-3)
LETTERS=(a b c d e f g h i)

fail() {
  echo "demo: $*" >&2
  exit 1
}

[[ $PER_ZONE =~ ^[1-9]$ ]] || fail "PER_ZONE must be between 1 and 9"
for program in teaselpaddled teaselpaddle standin-worker standin-load; do
  [[ -x bin/$program ]] || fail "bin/$program does not exist; run make build"
done

dir=$(mktemp -d "${TMPDIR:-/tmp}/teaselpaddle-demo.XXXXXX")
declare -A pid_of=()

# stop_all ends every process that this script started: SIGTERM first, and SIGKILL
# for those that still run after two seconds. It keeps the files after a failure.
stop_all() {
  local status=$?
  trap - EXIT INT TERM
  local p
  for p in "${pid_of[@]}"; do kill -TERM "$p" 2>/dev/null || true; done
  for _ in $(seq 20); do
    local alive=0
    for p in "${pid_of[@]}"; do kill -0 "$p" 2>/dev/null && alive=1; done
    ((alive)) || break
    sleep 0.1
  done
  for p in "${pid_of[@]}"; do kill -KILL "$p" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if ((status)); then
    echo "demo: failed; settings, logs and journals are kept in $dir" >&2
  else
    rm -rf "$dir"
  fi
  exit "$status"
}
trap stop_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

in_use() { (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# choose_ports sets base to the first of $1 consecutive ports on which nothing
# listens, below the system's ephemeral range.
choose_ports() {
  local n=$1 p free
  for _ in $(seq 50); do
    base=$((20000 + RANDOM % 10000))
    free=1
    for ((p = base; p < base + n; p++)); do
      if in_use "$p"; then
        free=0
        break
      fi
    done
    ((free)) && return
  done
  fail "found no $n consecutive free ports between 20000 and 30000"
}

daemons=$((${#ZONES[@]} * PER_ZONE))
choose_ports $((2 * daemons + 16 * ${#ZONES[@]}))
port=$base

instances=""
entries=()
names=()
for z in "${ZONES[@]}"; do
  for ((i = 0; i < PER_ZONE; i++)); do
    name=$z-${LETTERS[i]}
    disk=false
    ((i == 0)) && disk=true
    instances+="{\"name\": \"$name\", \"availability_zone\": \"$z\", \"disk\": $disk,"
    instances+=" \"client_address\": \"127.0.0.1:$port\", \"peer_address\": \"127.0.0.1:$((port + 1))\"},"
    entries+=("127.0.0.1:$port")
    names+=("$name")
    port=$((port + 2))
  done
done

# wait_for repeats the command in $3 and on until it succeeds, for about $2 tenths
# of a second; then the script fails with the description $1.
wait_for() {
  local what=$1 tenths=$2
  shift 2
  for ((t = 0; t < tenths; t++)); do
    "$@" && return
    sleep 0.1
  done
  fail "$what: not reached in $((tenths / 10)) s"
}

mkdir -p "$dir/journals" "$dir/checkpoints"
for ((n = 0; n < daemons; n++)); do
  name=${names[n]}
  folder=""
  if ((n % PER_ZONE == 0)); then
    mkdir -p "$dir/data/$name"
    folder="\"data_folder\": \"$dir/data/$name\","
  fi
  trace=""
  if [[ -n ${TRACES:-} ]]; then
    mkdir -p "$TRACES"
    trace="\"trace_file\": \"$(realpath "$TRACES")/$name.trace\","
  fi
  echo "{\"name\": \"$name\", $folder $trace \"instances\": [$instances]}" >"$dir/$name.jsonc"
  bin/teaselpaddled --settings "$dir/$name.jsonc" 2>"$dir/$name.log" &
  pid_of[$name]=$!
done
for z in "${ZONES[@]}"; do
  for rack in 1 2; do
    for w in 1 2 3 4 5 6 7 8; do
      name=$z-r$rack-w$w
      bin/standin-worker --name "$name" --address "127.0.0.1:$port" --zone "$z" --rack "$z-r$rack" \
        --entries "${entries[@]}" --journal "$dir/journals/$name.journal" \
        --checkpoints "$dir/checkpoints" 2>"$dir/$name.log" &
      pid_of[$name]=$!
      port=$((port + 1))
    done
  done
done

ready() { curl -fsS -o /dev/null --max-time 1 "http://$1/readyz" 2>/dev/null; }
knows_workers() {
  local body
  body=$(curl -fsS --max-time 1 "http://$1/v1/workers" 2>/dev/null) || return 1
  (($(grep -o '"incarnation"' <<<"$body" | wc -l) >= 48))
}
for ((n = 0; n < daemons; n++)); do
  kill -0 "${pid_of[${names[n]}]}" 2>/dev/null || fail "${names[n]} ended: $(tail -n 1 "$dir/${names[n]}.log")"
  wait_for "readiness of ${names[n]}" 100 ready "${entries[n]}"
done
for ((n = 0; n < daemons; n++)); do
  wait_for "workers known to ${names[n]}" 50 knows_workers "${entries[n]}"
done
bin/teaselpaddle --server "${entries[0]}" publish --yes examples/authority

if [[ -n ${UP:-} ]]; then
  echo "export TEASELPADDLE_SERVER=$(IFS=,; echo "${entries[*]}")"
  echo "The deployment runs until this script is interrupted."
  wait
fi

: >"$dir/answers"
bin/standin-load --verbose --entries "${entries[@]}" --journals "$dir/journals" --jobs "$JOBS" --timeout 35s \
  --customers ministry-of-works water-utility workshop-irbid workshop-zarqa >"$dir/answers" &
load=$!
pid_of[load]=$load
tail -n +1 -f --pid="$load" "$dir/answers" &
pid_of[tail]=$!

# answered succeeds if at least $1 jobs have their answer or the load has ended.
answered() { (($(grep -c '^job ' "$dir/answers") >= $1)) || ! kill -0 "$load" 2>/dev/null; }
if ((PER_ZONE > 1)); then
  wait_for "first quarter of the answers" 350 answered $((JOBS / 4))
  victim=amman-1-${LETTERS[PER_ZONE - 1]}
  kill -KILL "${pid_of[$victim]}"
  wait "${pid_of[$victim]}" 2>/dev/null || true # keeps the shell from reporting the kill
  echo "demo: killed $victim"
  wait_for "half of the answers" 350 answered $((JOBS / 2))
  kill -TERM "${pid_of[amman-2-b]}"
  echo "demo: stopped amman-2-b"
fi
status=0
wait "$load" || status=$?
unset 'pid_of[load]'
wait "${pid_of[tail]}" 2>/dev/null || true
unset 'pid_of[tail]'
exit "$status"
