"""A server that has just started is told to stop. Its first report arrives seconds late, after its DELETE."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import stand

DRAIN_PERIOD_S = 2.0
# PROTOCOL.md: "A liveness report may arrive seconds late."
LATE_S = 3.0
# From the server's start until it is told to stop.
LIFE_S = 0.5
# PROTOCOL.md: it serves for drainPeriod "and a little longer (at times many seconds)".
SERVES_S = 8.0
CLIENTS = 16


class Link:
    """The network between the server and one node: delivers what is sent after a delay."""

    def __init__(self, target, delay):
        self.target, self.delay = target, delay

    async def start(self, ip):
        self.listener = await asyncio.start_server(self.accept, ip, 0)
        return f"{ip}:{self.listener.sockets[0].getsockname()[1]}"

    async def accept(self, reader, writer):
        try:
            start, headers = await stand.read_head(reader)
            body = await stand.read_body(reader, headers)
            await asyncio.sleep(self.delay)
            node_reader, node = await stand.connect(self.target)
            node.write(stand.head(start, headers) + body)
            response = await asyncio.wait_for(stand.read_response(node_reader), 2)
            self.record.write("late", f"{start} delivered to {self.target} after {self.delay} s: {response.status}")
            writer.write(stand.head(response.reason, response.headers) + response.body)
            await writer.drain()
            node.transport.abort()
        except stand.CALL_ERRORS:
            pass
        finally:
            writer.transport.abort()


async def client(system, record, number, stopping, counts):
    count = 0
    while not stopping.is_set():
        request_id = f"stem-{number}-{count}"
        count += 1
        status = await stand.request(system, system.entries[number % 2], "POST", "/stems/1", request_id, 3000, b"order")
        counts[status] = counts.get(status, 0) + 1
        if status != 200:
            record.write("answer", f"{request_id}: {status}")
        await asyncio.sleep(0.05)


async def case(system, record):
    rules = [stand.rule("r-stems", "unsafe", "/stems/", "stembook", timeout="1500ms", latency="800ms")]
    await stand.put_config(system, stand.desired_state(7, rules, ["stembook"]))
    steady = [stand.Server(system, "stembook", number, work_s=0.29) for number in range(1, 6)]
    for server in steady:
        await server.start()
    await stand.await_ready(system)
    await stand.await_served(system, "POST", "/stems/1")
    # Longer than contactWindow: all machines are in touch.
    await asyncio.sleep(4)
    stopping, counts = asyncio.Event(), {}
    clients = [asyncio.create_task(client(system, record, number, stopping, counts)) for number in range(CLIENTS)]
    leaver = stand.Server(system, "stembook", 6, work_s=0.29)
    await leaver.listen()
    record.write("server", f"{leaver.id} starts at {leaver.address}")
    node = system.control_addresses()[0]
    link = Link(node, LATE_S if stand.TROUBLE else 0.0)
    link.record = record
    address = await link.start(system.server_ip())

    async def first_report():
        try:
            response = await stand.call(address, "PUT", f"/instances/{leaver.id}", leaver.report_body("ready"))
            record.write("server", f"{leaver.id}: first report (ready) {response.status}")
        except stand.CALL_ERRORS:
            record.write("server", f"{leaver.id}: first report has no answer within a second")

    report = asyncio.create_task(first_report())
    await asyncio.sleep(LIFE_S)
    while not await leaver.leave():
        await asyncio.sleep(0.1)
    acknowledged = time.monotonic()
    await report
    await asyncio.sleep(acknowledged + SERVES_S - time.monotonic())
    broken_off = leaver.running
    record.write("server", f"{leaver.id} exits; {broken_off} requests are running there")
    leaver.stop()
    await asyncio.sleep(2)
    stopping.set()
    await asyncio.gather(*clients)
    for server in steady:
        server.stop()
    link.listener.close()
    record.write("count", f"answers: {counts}")
    late = [(at - acknowledged, request_id) for at, request_id, _, _ in leaver.runs
            if at - acknowledged > DRAIN_PERIOD_S]
    if not late:
        return []
    return [f"DRAIN: {len(late)} requests reached {leaver.id} later than {DRAIN_PERIOD_S} s after the ack of its "
            f"DELETE, the first {late[0][0]:.2f} s and the last {late[-1][0]:.2f} s after it; "
            f"{broken_off} of them were broken off by its exit"]


if __name__ == "__main__":
    sys.exit(stand.main(FOLDER, case))
