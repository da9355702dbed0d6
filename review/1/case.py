"""Clients use the header bytes that the operator's new limits allow."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
from deployment import *  # noqa: E402,F403

MAX_HEADER_BYTES = 131072
LONG_COOKIE_BYTES = 70000
RESTART_S = 0.5  # the platform starts an ended process again after this
CALM_S = 5.0     # stability_window and a second
LOST_MOST = 3    # RULES.md, LOST: "more than three times"


def make_configuration(version, max_header_bytes):
    out = configuration(version, [route("read", "idempotent", "plates"),
                                  route("confirm", "non_idempotent", "plates"),
                                  service("plates")])
    out["resources"][-1]["spec"]["max_header_bytes"] = max_header_bytes
    return out


class Case:
    def __init__(self, record):
        self.record = record
        self.lost = []
        self.own_ends = 0
        self.stopping = False

    async def keep_running(self, entry):
        """The platform starts an ended process again."""
        while not self.stopping:
            code = await entry.process.wait()
            if self.stopping:
                return
            self.own_ends += 1
            self.record(f"process of {entry.name} ended by itself: {code}")
            await asyncio.sleep(RESTART_S)
            await entry.start()

    async def kept_connection(self, entry, end):
        """One client's connection, which carries one request after another."""
        connection = None
        while time.monotonic() < end:
            request_id = new_id()
            try:
                if connection is None:
                    connection = await Connection(
                        self.record, entry.endpoint("front")).open()
                await connection.send("POST", "/confirm/order", request_id,
                                      body=b"order " + request_id.encode())
            except (OSError, asyncio.TimeoutError):
                connection = None
                await asyncio.sleep(0.3)
                continue
            answer = await connection.receive(request_id)
            if answer is None:
                self.lost.append(request_id)
            if answer is None or answer.headers.get("connection") == "close":
                connection.close()
                connection = None
            await asyncio.sleep(0.05)
        if connection is not None:
            connection.close()


async def case(record, deployments):
    d = Deployment(record)
    deployments.append(d)
    await d.start_store()
    d.store.put("config", "main", make_configuration(7, 16384))
    for n in range(6):
        zone = "lowell-a" if n % 2 == 0 else "lowell-b"
        await d.add_backend(Backend(record, f"i-{n}", "plates", zone, 0.4))
    entries = [await d.add_entry("edge-1", "lowell-a"),
               await d.add_entry("edge-2", "lowell-b")]
    for entry in entries:
        require(await entry.await_ready(), f"{entry.name} is not ready")
    await asyncio.sleep(CALM_S)

    run = Case(record)
    keepers = [asyncio.create_task(run.keep_running(e)) for e in entries]
    end = time.monotonic() + 30
    clients = [asyncio.create_task(run.kept_connection(e, end))
               for e in entries for _ in range(6)]
    await asyncio.sleep(3)
    if trouble():
        d.store.put("config", "main", make_configuration(9, MAX_HEADER_BYTES))
        record(f"operator: version 9, max_header_bytes {MAX_HEADER_BYTES}")
    await asyncio.sleep(CALM_S)
    size = LONG_COOKIE_BYTES if trouble() else 10000
    for _ in range(3):
        for entry in entries:
            await ask(record, entry.endpoint("front"), "GET", "/read/proof",
                      new_id(),
                      more=[("Cookie", "X-Affinity-Key=17; basket=" + "b" * size)])
        await asyncio.sleep(CALM_S)
    await asyncio.gather(*clients)
    run.stopping = True
    for it in keepers:
        it.cancel()
    ran = {i for b in d.backends for _, i in b.runs}
    passed_on = [i for i in run.lost if i in ran]
    print(f"processes that ended by themselves: {run.own_ends}; requests of "
          f"kept connections that were passed on and never answered: "
          f"{len(passed_on)}")
    record(f"ended by themselves {run.own_ends}, passed on and never answered "
           f"{len(passed_on)}")
    return len(passed_on) <= LOST_MOST


run_case(case, FOLDER)
