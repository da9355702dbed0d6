"""Servers in trouble send bytes without end in a body."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
from deployment import *  # noqa: E402,F403

TIMEOUT_S = 2.0    # of both routes
LIMIT_MS = 6000    # clients wait longer than that
GRACE_S = 0.5      # RULES.md, CONFIG: "0.5 s after it"
COUNT_LEAST = 8    # "Eight or more of them, and over a quarter"
SHARE_MOST = 0.25
PIECE = b"8\r\nno news\n\r\n"
PIECES = 1000      # a write; drain() waits while the caller is behind
PER_SECOND = 20    # requests, each machine
SENDING_S = 15


class Endless(Backend):
    """Sends a body of short lines until the caller closes."""

    async def handle(self, first, headers, body, writer):
        self.started(first, headers)
        request_id = headers["x-request-id"]
        writer.write(message(
            "HTTP/1.1 200 OK",
            self.base(headers) + [("X-Server-Seal", self.seal(request_id)),
                                  ("Transfer-Encoding", "chunked")]))
        begin = time.monotonic()
        try:
            while not writer.transport.is_closing():
                writer.write(PIECE * PIECES)
                await writer.drain()
        except ConnectionError:
            pass
        self.record(f"closed by the caller {request_id} after "
                    f"{time.monotonic() - begin:.3f} s")
        return False


async def case(record, deployments):
    d = Deployment(record)
    deployments.append(d)
    await d.start_store()
    d.store.put("config", "main", configuration(
        7, [route("read", "idempotent", "plates", timeout="2000ms"),
            route("confirm", "non_idempotent", "plates", timeout="2000ms"),
            service("plates")]))
    for n in range(10):
        zone = "lowell-a" if n % 2 == 0 else "lowell-b"
        kind = Endless if trouble() and n in (0, 5) else Backend
        await d.add_backend(kind(record, f"i-{n}", "plates", zone, 0.2))
    entries = [await d.add_entry("edge-1", "lowell-a"),
               await d.add_entry("edge-2", "lowell-b")]
    for entry in entries:
        require(await entry.await_ready(), f"{entry.name} is not ready")
    await asyncio.sleep(5)

    times = []  # until the final answer; None where there was none
    served = []

    async def one(entry, number):
        method, path = (("GET", "/read/proof") if number % 2 else
                        ("POST", "/confirm/order"))
        begin = time.monotonic()
        answer = await ask(record, entry.endpoint("front"), method, path,
                           new_id(), LIMIT_MS,
                           body=b"order" if method == "POST" else b"",
                           more=[("Cookie", f"X-Affinity-Key={number % 64}")])
        times.append(None if answer is None else time.monotonic() - begin)
        served.append(answer is not None and answer.status == 200)

    tasks = []
    for number in range(PER_SECOND * SENDING_S):
        tasks += [asyncio.create_task(one(e, number)) for e in entries]
        await asyncio.sleep(1 / PER_SECOND)
    await asyncio.gather(*tasks)
    longer = [t for t in times if t is None or t > TIMEOUT_S]
    late = [t for t in longer if t is None or t > TIMEOUT_S + GRACE_S]
    never = sum(t is None for t in times)
    text = (f"requests {len(times)}, served {sum(served)}; longer than the "
            f"timeout {len(longer)}, of these without an answer 0.5 s after it "
            f"{len(late)}, never answered {never}")
    record(text)
    print(text)
    return not (len(late) >= COUNT_LEAST and
                len(late) > SHARE_MOST * len(longer))


run_case(case, FOLDER)
