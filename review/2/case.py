"""Servers answer long uploads before these are in, keep the channel and read on."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import stand

UPLOADS = 60
MIB = 1 << 20
BODY = 3 * MIB
# What a server reads of a body before it answers, and how long it then lets the rest wait.
FIRST = 2 * MIB
PIECE = 16 << 10


class Intake(stand.Server):
    """A server of the intake service. It answers some uploads before it has read all of them."""

    async def run(self, method, path, headers, reader, writer):
        if path == "/healthz" or int(headers.get("content-length", "0")) < MIB or not stand.TROUBLE:
            return await super().run(method, path, headers, reader, writer)
        size = int(headers["content-length"])
        request_id = headers["lovagehold-request-id"]
        got = len(await reader.readexactly(FIRST))
        self.record_run(method, path, headers, got)
        reply = b"r" * REPLY
        writer.write(stand.head("HTTP/1.1 200 OK", {
            **self.common(headers), "Content-Length": len(reply),
            "Lovagehold-Response-Seal": "seal-" + request_id}) + reply[:len(reply) // 2])
        await writer.drain()
        # Reads on, as the rest arrives.
        end = asyncio.get_running_loop().time() + 0.3
        while got < size and asyncio.get_running_loop().time() < end:
            try:
                data = await asyncio.wait_for(reader.read(PIECE), 0.05)
            except asyncio.TimeoutError:
                continue
            if not data:
                return False
            got += len(data)
        writer.write(reply[len(reply) // 2:])
        await writer.drain()
        while got < size:
            data = await reader.read(PIECE)
            if not data:
                return False
            got += len(data)
        return True


REPLY = 200_000


async def upload(system, record, entry, number):
    """One client attempt: the body comes as fast as a surveyor's link lets it, in pieces."""
    request_id = f"survey-{number}"
    try:
        reader, writer = await stand.connect(f"{entry.ip}:{stand.FRONT}")
    except OSError as error:
        record.write("answer", f"{request_id}: no channel, {error}")
        return "no channel"
    try:
        writer.write(stand.head("POST /surveys/1 HTTP/1.1", {
            "Host": "jepu9.example", "Lovagehold-Request-Id": request_id, "Lovagehold-Deadline-Ms": 8000,
            "Content-Length": BODY}))
        answer = asyncio.create_task(stand.read_response(reader))
        sent = 0
        while sent < BODY and not answer.done():
            writer.write(b"s" * PIECE)
            sent += PIECE
            await writer.drain()
            await asyncio.sleep(0.0 if sent < FIRST + 4 * PIECE else 0.02)
        response = await asyncio.wait_for(answer, 8)
        record.write("answer", f"{request_id}: {response.status}, {len(response.body)} bytes, after {sent} bytes")
        return response.status
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        record.write("answer", f"{request_id}: channel closed without a whole answer, {type(error).__name__}")
        return "closed"
    finally:
        writer.transport.abort()


async def case(system, record):
    services = ["slotdesk", "surveybox"]
    rules = [stand.rule("r-slots", "safe", "/slots/", "slotdesk"),
             stand.rule("r-surveys", "upload", "/surveys/", "surveybox", timeout="8s")]
    await stand.put_config(system, stand.desired_state(7, rules, services))
    servers = [stand.Server(system, "slotdesk", n) for n in (1, 2)]
    servers += [Intake(system, "surveybox", n) for n in (1, 2)]
    for server in servers:
        await server.start()
    await stand.await_ready(system)
    for method, path in (("GET", "/slots/1"), ("POST", "/surveys/1")):
        await stand.await_served(system, method, path)
    entry = system.entries[0]
    for number in range(UPLOADS):
        record.write("sent", f"survey-{number}: POST /surveys/1 to {entry.name}, body of {BODY} bytes")
        await upload(system, record, entry, number)
        if not entry.running():
            break
    await asyncio.sleep(0.5)
    code = entry.child.poll()
    for server in servers:
        server.stop()
    if code is None:
        return []
    return [f"{entry.name} ended by itself with {code} (a negative number is a signal)"]


if __name__ == "__main__":
    sys.exit(stand.main(FOLDER, case))
