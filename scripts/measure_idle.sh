#!/usr/bin/env bash
# Control cost of an idle entry at today's size, and the time until a change
# is in force on all 12 hosts without an operator's push.
# Usage: scripts/measure_idle.sh
set -euo pipefail
cd "$(dirname "$0")/.."
bin=build/release
work=$(mktemp -d)
export GUAVALINE_KEY=idle-key-0123456789 GUAVALINE_STORE=127.0.43.2:7000
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; wait; rm -rf "$work"' EXIT
"$bin/guavaline" generate examples/tussock.yaml --out "$work/c.yaml" >/dev/null
mkdir "$work/s"
"$bin/guavaline" settings "$work/c.yaml" --out "$work/s" >/dev/null
"$bin/testing/guavaline-standin" store --listen "$GUAVALINE_STORE" & pids+=($!)
"$bin/testing/guavaline-standin" targets --configuration "$work/c.yaml" & pids+=($!)
entries=()
for it in "$work"/s/*.yaml; do
  "$bin/guavalined" --settings "$it" 2>/dev/null & pids+=($!); entries+=($!)
done
sleep 1
"$bin/guavaline" apply "$work/c.yaml" >/dev/null
sleep 5
python3 - "$GUAVALINE_STORE" "$GUAVALINE_KEY" "${entries[@]}" <<'P'
import json, sys, time, urllib.request
store, key, pids = sys.argv[1], sys.argv[2], sys.argv[3:]
CONF = f"http://{store}/objects?key=guavaline%2Fconfiguration"
def call(url, method="GET", body=None):
    request = urllib.request.Request(url, method=method, data=body,
                                     headers={"Authorization": "Bearer " + key})
    return json.load(urllib.request.urlopen(request, timeout=5))
def ticks():
    total = []
    for pid in pids:
        fields = open(f"/proc/{pid}/stat").read().split()
        total.append(int(fields[13]) + int(fields[14]))
    return total
def rss(pid):
    line = [x for x in open(f"/proc/{pid}/status") if x.startswith("VmRSS")][0]
    return int(line.split()[1]) / 1024
before, calls, start = ticks(), call(f"http://{store}/admin")["calls"], time.time()
time.sleep(15)
spent = time.time() - start
after = ticks()
cpu = [(b - a) / spent for a, b in zip(before, after)]
print(f"resident memory per entry: {max(map(rss, pids)):.1f} MB (greatest of 12)")
print(f"control processor per entry: {sum(cpu) / len(cpu):.2f} % of a core")
print(f"store calls: {(call(f'http://{store}/admin')['calls'] - calls) / spent:.2f} a second, 12 entries")
object = call(CONF)["objects"][0]
value = json.loads(object["value"])
entries = [(e["address"], e["port"]) for e in value["entries"]]
def change(out):
    object = call(CONF)["objects"][0]
    value = json.loads(object["value"])
    value["change_id"] += "x"
    start = time.time()
    version = call(f"{CONF}&if_version={object['version']}", "PUT",
                   json.dumps(value).encode())["version"]
    if out:
        call(f"http://{store}/admin?out=true", "POST", b"")
    left = set(entries)
    while left:
        for it in list(left):
            if call(f"http://{it[0]}:{it[1]}/v1/status")["version"] >= version:
                left.discard(it)
    return time.time() - start
for out in (False, False, False, True):
    name = "store lost just after acceptance" if out else "store up"
    print(f"in force on 12 hosts, {name}: {change(out):.2f} s")
P
