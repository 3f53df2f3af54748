#!/usr/bin/env bash
# Starts a small deployment on loopback, runs the load tool against it, and ends
# every process it started. Prints the load tool's summary line.
set -euo pipefail
cd "$(dirname "$0")/.."
# Another loopback address lets two demos run at the same time.
host=${DEMO_HOST:-127.0.0.1}
dir=$(mktemp -d)
pids=()
cleanup() {
  for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$dir"
}
trap cleanup EXIT

instances=""
for z in 1 2 3; do
  instances+="{\"name\":\"amman-$z-a\",\"availability_zone\":\"amman-$z\",\"client_address\":\"$host:71${z}1\",\"peer_address\":\"$host:72${z}1\"},"
done
entries=($host:7111 $host:7121 $host:7131)
mkdir -p "$dir/journals"
for z in 1 2 3; do
  echo "{\"name\":\"amman-$z-a\",\"instances\":[$instances]}" >"$dir/amman-$z-a.jsonc"
  bin/teaselpaddled --settings "$dir/amman-$z-a.jsonc" 2>"$dir/amman-$z-a.log" &
  pids+=($!)
  for w in 1 2; do
    bin/standin-worker --name "w-$z-$w" --address "$host:73$z$w" --zone "amman-$z" --rack "r-$z" \
      --entries "${entries[@]}" --journal "$dir/journals/w-$z-$w.journal" &
    pids+=($!)
  done
done
for e in "${entries[@]}"; do
  for _ in $(seq 100); do curl -fs "http://$e/readyz" >/dev/null 2>&1 && break; sleep 0.05; done
done
bin/teaselpaddle --server "${entries[0]}" publish --yes examples/authority
bin/standin-load --entries "${entries[@]}" --journals "$dir/journals" --jobs 60 \
  --customers ministry-of-works water-utility workshop-irbid workshop-zarqa
