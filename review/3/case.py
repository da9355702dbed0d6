"""All machines but one are lost; the last one answers look-ups."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))
from deployment import *  # noqa: E402,F403

# The machines of the site, by zone.
MACHINES = {"lowell-a": 2, "lowell-b": 1, "portland-a": 3, "portland-b": 1,
            "hartford-a": 3, "hartford-b": 2}
ZONES = {zone: zone.partition("-")[0] for zone in MACHINES}
FORGET_S = 4.0 + 3.0  # RULES.md, DRAIN: `stability_window` + 3 s
ANSWERS_MOST = 3      # "More than three answers"
WATCHED_S = 40.0      # from the loss on
CLIENTS_PER_SECOND = 5
RETRIES = 1           # of the site's clients


async def resolve(record, entry):
    """Asks one directory as a client of the zone lowell-a."""
    connection = Connection(record, entry.endpoint("directory"))
    try:
        await connection.open()
        connection.writer.write(message(
            f"GET /resolve?name={HOST}&region=lowell&zone=lowell-a HTTP/1.1",
            [("Host", "directory")]))
        answer = await connection.receive(f"look-up at {entry.name}", 1)
    except (OSError, asyncio.TimeoutError):
        return None
    finally:
        connection.close()
    if answer is None or answer.status != 200:
        return None
    return [a.partition(":")[0]
            for a in json.loads(answer.body)["edge_addresses"]]


async def case(record, deployments):
    d = Deployment(record, ZONES)
    deployments.append(d)
    await d.start_store()
    d.store.put("config", "main", configuration(
        7, [route("read", "idempotent", "plates"),
            route("confirm", "non_idempotent", "plates"), service("plates")]))
    for n, zone in enumerate(ZONES):
        await d.add_backend(Backend(record, f"i-{n}", "plates", zone, 0.1))
    entries = [await d.add_entry(f"edge-{zone}-{n + 1}", zone)
               for zone, count in MACHINES.items() for n in range(count)]
    for entry in entries:
        require(await entry.await_ready(), f"{entry.name} is not ready")
    await asyncio.sleep(6)

    last, lost = entries[0], entries[1:]
    dead = {e.address for e in lost} if trouble() else set()
    answers = []   # (when, addresses) of the last machine's directory
    requests = []  # (when, served)

    async def client():
        """A new client: one look-up, one request, one retry."""
        named = None
        for entry in entries[:3]:  # nearest first
            named = await resolve(record, entry)
            if named:
                if entry is last:
                    answers.append((time.monotonic(), list(named)))
                break
        begin = time.monotonic()
        request_id = "none"
        for _ in range(1 + RETRIES):
            if not named:
                break
            address = random.choice(named)
            named.remove(address)  # it isn't tried again if it fails
            request_id = new_id()
            answer = await ask(record, (address, d.ports["front"]), "POST",
                               "/confirm/order", request_id, body=b"order")
            if answer is not None:
                requests.append((begin, answer.status == 200))
                return
        record(f"client gives up, last attempt {request_id}")
        requests.append((begin, False))

    async def clients():
        tasks = []
        while True:
            tasks.append(asyncio.create_task(client()))
            await asyncio.sleep(1 / CLIENTS_PER_SECOND)

    traffic = asyncio.create_task(clients())
    await asyncio.sleep(5)
    if trouble():
        for entry in lost:
            entry.signal(signal.SIGKILL)
    loss = time.monotonic()
    await asyncio.sleep(WATCHED_S)
    traffic.cancel()
    await asyncio.sleep(3)

    require(await last.ready(), "the last machine doesn't run")
    judged = [named for when, named in answers if when > loss + FORGET_S]
    require(len(judged) > ANSWERS_MOST, "too few look-ups were answered")
    wrong = [n for n in judged if dead & set(n) and last.address in n]
    late = [ok for when, ok in requests if when > loss + FORGET_S]
    text = (f"answers of the directory later than {FORGET_S:.0f} s after the "
            f"loss: {len(judged)}, naming a lost machine beside the running "
            f"one {len(wrong)}; clients then {len(late)}, never served "
            f"{late.count(False)}")
    record(text)
    print(text)
    return len(wrong) <= ANSWERS_MOST


run_case(case, FOLDER)
