"""The platform writes a time of the settings as PROTOCOL.md does: 2.5s."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
from deployment import *  # noqa: E402,F403

RESTART_S = 0.5   # the platform starts an ended process again after this
RECOVER_S = 15.0  # bounds.recover
JUDGED_S = 10.0
PER_SECOND = 20   # requests, each machine
SERVED_LEAST = 0.25


class Traffic:
    def __init__(self, record, entries):
        self.record = record
        self.entries = entries
        self.results = []  # (when sent, served)

    async def one(self, entry, number):
        sent = time.monotonic()
        method, path = (("GET", "/read/proof") if number % 3 else
                        ("POST", "/confirm/order"))
        answer = await ask(self.record, entry.endpoint("front"), method, path,
                           new_id(), body=b"order" if method == "POST" else b"")
        self.results.append((sent, answer is not None and
                             answer.status == 200))

    async def send(self):
        number = 0
        while True:
            for entry in self.entries:
                asyncio.create_task(self.one(entry, number))
            number += 1
            await asyncio.sleep(1 / PER_SECOND)

    def share(self, start, end):
        judged = [served for sent, served in self.results
                  if start <= sent < end]
        return sum(judged) / len(judged), len(judged)


async def keep_running(entry, record):
    while True:
        code = await entry.process.wait()
        record(f"process of {entry.name} ended: {code}")
        await asyncio.sleep(RESTART_S)
        await entry.start()


async def case(record, deployments):
    d = Deployment(record)
    deployments.append(d)
    await d.start_store()
    d.store.put("config", "main", configuration(
        7, [route("read", "idempotent", "plates"),
            route("confirm", "non_idempotent", "plates"), service("plates")]))
    for n in range(6):
        zone = "lowell-a" if n % 2 == 0 else "lowell-b"
        await d.add_backend(Backend(record, f"i-{n}", "plates", zone, 0.1))
    entries = [await d.add_entry("edge-1", "lowell-a"),
               await d.add_entry("edge-2", "lowell-b")]
    for entry in entries:
        require(await entry.await_ready(), f"{entry.name} is not ready")
    await asyncio.sleep(5)

    traffic = Traffic(record, entries)
    tasks = [asyncio.create_task(traffic.send())]
    tasks += [asyncio.create_task(keep_running(e, record)) for e in entries]
    begin = time.monotonic()
    await asyncio.sleep(4)
    bounds = (BOUNDS.replace("drain=2500ms", "drain=2.5s") if trouble()
              else BOUNDS)
    require(("2.5s" in bounds) == trouble(), "the bounds have another form")
    for entry in entries:
        entry.write_settings(bounds=bounds)
        entry.signal(signal.SIGHUP)
    record("platform: settings written anew")
    await asyncio.sleep(4)
    fault = time.monotonic()
    for entry in entries:
        entry.signal(signal.SIGKILL)
    back = fault + RESTART_S
    judged = back + RECOVER_S
    await asyncio.sleep(judged + JUDGED_S + 4 - time.monotonic())
    for it in tasks:
        it.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    before, n_before = traffic.share(begin, fault - 1)
    after, n_after = traffic.share(judged, judged + JUDGED_S)
    text = (f"served before the fault: {before:.2f} of {n_before}; later than "
            f"recover: {after:.2f} of {n_after}")
    record(text)
    print(text)
    require(before >= SERVED_LEAST, "too little was served before the fault")
    return after >= SERVED_LEAST


run_case(case, FOLDER)
