"""A faulty server spoils some of its answers: behind the last chunk follow bytes that are no answer. Clients on kept
channels send ordinary requests."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import stand

DESKS = 18
READERS = 24
SECONDS = 45
# The dose of the kind garble in the list of troubles of the site file: share = 0.35, x = 0.02.
FAULTY_SERVERS = 0.35
SPOILED_ANSWERS = 0.02
NOISE = b"X: " + b"\x7e" * 70_000 + b"\r\n\r\n"
# RULES.md, LOST: "more than three times".
ALLOWED = 3


class Desk(stand.Server):
    faulty = False
    spoiled = 0

    async def run(self, method, path, headers, reader, writer):
        self.work_s = random.uniform(0.15, 0.45)
        if not self.faulty or random.random() >= SPOILED_ANSWERS:
            return await super().run(method, path, headers, reader, writer)
        request_id = headers["lovagehold-request-id"]
        self.record_run(method, path, headers, 0)
        await asyncio.sleep(self.work_s)
        self.spoiled += 1
        self.system.record.write("spoiled", f"{self.id} spoils its answer to {request_id}")
        writer.write(stand.head("HTTP/1.1 200 OK", {
            **self.common(headers), "Transfer-Encoding": "chunked",
            "Lovagehold-Response-Seal": "seal-" + request_id}) + b"4\r\ndone\r\n0\r\n" + NOISE)
        await writer.drain()
        return False


async def reader_client(record, entry, number, unanswered, counts):
    """A client with a kept channel."""
    reader, writer = await stand.connect(f"{entry.ip}:{stand.FRONT}")
    count = 0
    try:
        while True:
            request_id = f"slot-{number}-{count}"
            count += 1
            writer.write(stand.head("GET /slots/1 HTTP/1.1", {
                "Host": "jepu9.example", "Lovagehold-Request-Id": request_id, "Lovagehold-Deadline-Ms": 2500}))
            try:
                response = await asyncio.wait_for(stand.read_response(reader), 2.5)
            except (OSError, asyncio.IncompleteReadError):
                unanswered.append(request_id)
                record.write("answer", f"{request_id}: kept channel closed without an answer")
                return
            counts[response.status] = counts.get(response.status, 0) + 1
            if response.headers.get("connection") == "close":
                writer.transport.abort()
                reader, writer = await stand.connect(f"{entry.ip}:{stand.FRONT}")
    except (asyncio.TimeoutError, OSError):
        return
    finally:
        writer.transport.abort()


async def case(system, record):
    rules = [stand.rule("r-slots", "safe", "/slots/", "slotdesk", timeout="1200ms", latency="600ms")]
    await stand.put_config(system, stand.desired_state(7, rules, ["slotdesk"]))
    desks = [Desk(system, "slotdesk", number, work_s=0.22) for number in range(1, DESKS + 1)]
    for server in desks:
        await server.start()
    await stand.await_ready(system)
    await stand.await_served(system, "GET", "/slots/1")
    # Entry hosts close channels after each response in their first seconds.
    await asyncio.sleep(4)
    unanswered, counts = [], {}
    tasks = [asyncio.create_task(reader_client(record, system.entries[n % 2], n, unanswered, counts))
             for n in range(READERS)]
    await asyncio.sleep(1)
    if stand.TROUBLE:
        for server in desks[:int(FAULTY_SERVERS * DESKS)]:
            server.faulty = True
    end = asyncio.get_running_loop().time() + SECONDS
    while any(entry.running() for entry in system.entries) and asyncio.get_running_loop().time() < end:
        await asyncio.sleep(0.1)
    await asyncio.sleep(1)
    ended = []
    for entry in system.entries:
        code = entry.child.poll()
        record.write("process", f"{entry.name} " + ("runs" if code is None else f"ended by itself with {code}"))
        if code is not None:
            ended.append(f"{entry.name} with {code}")
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for server in desks:
        server.stop()
    sound = {request_id for server in desks if not server.faulty for _, request_id, _, _ in server.runs}
    lost = [request_id for request_id in unanswered if request_id in sound]
    record.write("count", f"ordinary requests answered: {counts}; {sum(server.spoiled for server in desks)} answers "
                          f"spoiled; {len(lost)} requests run by a sound server and their kept channel closed without "
                          "an answer")
    # Any end of an entry host is a crash; the rule counts requests.
    if len(lost) <= ALLOWED:
        return []
    return [f"LOST: {len(lost)} requests that sound servers ran were never answered: {', '.join(lost)}; ended by "
            f"themselves: {', '.join(ended) or 'none'} (negative: a signal)"]


if __name__ == "__main__":
    sys.exit(stand.main(FOLDER, case))
