"""A caller sends a request with one long header, within the limit of the desired state. Beside it, other clients on
kept channels send ordinary requests."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import stand

LIMIT = 128 << 10
LONG, SHORT = 70_000, 1_000
READERS = 10
# RULES.md, LOST: "more than three times".
ALLOWED = 3


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
    except (asyncio.TimeoutError, OSError):
        return
    finally:
        writer.transport.abort()


async def long_request(record, entry, request_id, length):
    """One client attempt with a cookie of the given length."""
    record.write("sent", f"{request_id}: GET /slots/2 to {entry.name}, a cookie of {length} bytes")
    writer = None
    try:
        reader, writer = await stand.connect(f"{entry.ip}:{stand.FRONT}")
        writer.write(stand.head("GET /slots/2 HTTP/1.1", {
            "Host": "jepu9.example", "Lovagehold-Request-Id": request_id, "Lovagehold-Deadline-Ms": 2500,
            "Cookie": "c" * length, "Connection": "close"}))
        response = await asyncio.wait_for(stand.read_response(reader), 2.5)
        record.write("answer", f"{request_id}: {response.status}")
        return response.status
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        record.write("answer", f"{request_id}: no answer, {type(error).__name__}")
        return None
    finally:
        if writer:
            writer.transport.abort()


async def case(system, record):
    rules = [stand.rule("r-slots", "safe", "/slots/", "slotdesk", timeout="1200ms", latency="600ms")]
    await stand.put_config(system, stand.desired_state(7, rules, ["slotdesk"], {"maxHeaderBytes": LIMIT}))
    desks = [stand.Server(system, "slotdesk", n, work_s=0.22) for n in range(1, 13)]
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
    # The client and its retry, which goes to another address; a safe request is retried after any failure.
    for attempt, entry in enumerate(system.entries):
        status = await long_request(record, entry, f"long-{attempt}", LONG if stand.TROUBLE else SHORT)
        if status == 200:
            break
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
    run = {request_id for server in desks for _, request_id, _, _ in server.runs}
    lost = [request_id for request_id in unanswered if request_id in run]
    record.write("count", f"ordinary requests answered: {counts}; {len(lost)} run by a sound server and their kept "
                          "channel closed without an answer")
    if len(lost) <= ALLOWED:
        return []
    return [f"LOST: {len(lost)} requests that servers ran were never answered: {', '.join(lost)}; ended by "
            f"themselves: {', '.join(ended) or 'none'} (negative: a signal)"]


if __name__ == "__main__":
    sys.exit(stand.main(FOLDER, case))
