"""Does to real processes what must not end them, and checks that they go on and stay small.

Usage: endings.py PROGRAM [--check NAME]
"""

import argparse
import asyncio
import os
import resource
import shutil
import socket
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "soak"))
sys.path.insert(0, os.path.join(HERE, "..", "..", "platform", "testing"))

import wire
from cluster import CLUSTER_PORT, CONTROL_PORT, ENTRY_PORT, METRICS_PORT, READY_PORT, Cluster
from http_io import call, format_message, read_message
from odd_messages import MAX_TAKEN_BYTES, odd_messages, send_odd
from soak import CALL_ERRORS

TIMEOUT_S = 30.0
NET = os.environ.get("LOVAGEHOLD_TEST_NET", "127.10")
# What a process may take beyond its memory before the check; the platform allows an entry host 182 MB.
MAX_GROWTH_KB = 64 << 10
# Processor time that a process may use in IDLE_S while it can't accept connections.
MAX_IDLE_CPU_S = 0.5
IDLE_S = 2.0


class OddServer:
    """A server that announces itself and answers some of its requests, or its health checks, with odd messages."""

    def __init__(self, cluster, number):
        self.cluster = cluster
        self.id = f"i-{number}"
        self.played = None
        self.plays = 0
        self.taken = 0
        self.sequence = 0

    async def start(self):
        self.listener = await asyncio.start_server(self.accept, f"{NET}.3.1", 0)
        self.address = f"{NET}.3.1:{self.listener.sockets[0].getsockname()[1]}"
        self.task = asyncio.create_task(self.announce())

    def stop(self):
        self.task.cancel()
        self.listener.close()

    async def announce(self):
        while True:
            self.sequence += 1
            body = wire.heartbeat("desk", self.address, 1000, self.sequence, "ready", 3)
            for control in self.cluster.controls:
                try:
                    response = await call(f"{control.ip}:{CONTROL_PORT}", "PUT", f"/instances/{self.id}", body)
                    if response.status == 200:
                        break
                except CALL_ERRORS:
                    continue
            await asyncio.sleep(0.3)

    async def accept(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                path = request.start.split()[1]
                fields = {wire.INSTANCE_HEADER: self.id, wire.LOAD_HEADER: "0,0,3,100"}
                if path != "/healthz":
                    fields[wire.ID_HEADER] = request.headers[wire.ID_HEADER.lower()]
                if self.played is not None and path == self.played[0]:
                    await self.play(writer, fields)
                    return
                fields[wire.SEAL_HEADER] = "seal"
                writer.write(format_message("HTTP/1.1 200 OK", fields, b"ok"))
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    async def play(self, writer, fields):
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items()).encode()
        _, data, endless = odd_messages(b"HTTP/1.1 200 OK", lines)[self.played[1]]
        self.plays += 1
        self.taken = max(self.taken, await send_odd(writer, data, endless))


async def accepts(address):
    host, port = address.rsplit(":", 1)
    _, writer = await asyncio.open_connection(host, int(port))
    writer.transport.abort()
    return True


async def send_to(address, data, endless):
    """Sends the message on a new connection and waits for a short time for its end. Returns the bytes taken."""
    host, port = address.rsplit(":", 1)
    taken = 0
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        taken = await asyncio.wait_for(send_odd(writer, data, endless), TIMEOUT_S)
        # A process that ends closes the connection a little before it is gone.
        while await asyncio.wait_for(reader.read(65536), 0.1):
            pass
        await asyncio.sleep(0.02)
    except (OSError, asyncio.TimeoutError):
        await asyncio.sleep(0.02)
    writer.transport.abort()
    return taken


def peak_kb(process):
    with open(f"/proc/{process.child.pid}/status", encoding="ascii") as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmHWM:"))


def cpu_s(process):
    with open(f"/proc/{process.child.pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def listeners(cluster):
    """Returns (process, address) for each address that a process listens on."""
    return [(process, address) for process in cluster.all() for address in process.addresses()]


async def wait_until(condition):
    end = time.monotonic() + TIMEOUT_S
    while time.monotonic() < end:
        try:
            if await condition():
                return True
        except CALL_ERRORS:
            pass
        await asyncio.sleep(0.05)
    return False


async def configure(cluster):
    """Returns whether a configuration is acknowledged and all entry hosts are ready."""
    body = wire.configuration(1, "a.example", [wire.route("r", "safe", "/x/", "desk"),
                                               wire.route("o", "unsafe", "/o/", "desk")], ["desk"]).encode()

    async def put():
        return (await call(f"{cluster.controls[0].ip}:{CONTROL_PORT}", "PUT", "/config", body)).status == 200

    async def ready():
        statuses = [(await call(f"{entry.ip}:{READY_PORT}", "GET", "/ready")).status for entry in cluster.entries]
        return statuses == [200] * len(statuses)

    return await wait_until(put) and await wait_until(ready)


async def request(entry, path, timeout=4.0):
    """Returns the status of one request through an entry host; 0 if there was no answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection(entry.ip, ENTRY_PORT)
        try:
            headers = {"Host": "a.example", wire.ID_HEADER: f"{time.monotonic_ns():x}", wire.DEADLINE_HEADER: "3000"}
            writer.write(format_message(f"GET {path} HTTP/1.1", headers))
            return (await read_message(reader)).status
        finally:
            writer.transport.abort()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except CALL_ERRORS:
        return 0


class Checks:
    """Prints the results of the checks and remembers whether one failed."""

    def __init__(self):
        self.passed = True

    def expect(self, text, condition):
        print(f"{'ok' if condition else 'FAILED'}: {text}", flush=True)
        self.passed = self.passed and bool(condition)


class Run:
    """A cluster for one check."""

    def __init__(self, program, controls=3, entries=2):
        self.work = tempfile.mkdtemp(prefix="lovagehold-endings-")
        self.cluster = Cluster(program, self.work, NET, controls, entries)

    def __enter__(self):
        return self.cluster

    def __exit__(self, *_):
        self.cluster.stop()
        shutil.rmtree(self.work, ignore_errors=True)


async def check_callers(checks, program):
    """Odd messages at each address of each process."""
    with Run(program) as cluster:
        cluster.start()
        checks.expect("the cluster starts", await configure(cluster))
        before = {process.name: peak_kb(process) for process in cluster.all()}
        taken = 0
        for process, address in listeners(cluster):
            for name, data, endless in odd_messages(b"PUT /config HTTP/1.1", b"Host: a.example\r\n"):
                taken = max(taken, await send_to(address, data, endless))
                if not process.running():
                    checks.expect(f"{process.name} goes on after {name} at {address}", False)
                    process.start()
                    await wait_until(lambda: accepts(address))
        checks.expect("all processes go on", all(process.running() for process in cluster.all()))
        checks.expect("no address takes a message without end", taken <= MAX_TAKEN_BYTES)
        growth = max(peak_kb(process) - before[process.name] for process in cluster.all() if process.running())
        checks.expect(f"memory grows by {growth} kB, at most {MAX_GROWTH_KB}", growth <= MAX_GROWTH_KB)


async def check_servers(checks, program):
    """Odd messages from servers, in answers and in health checks."""
    with Run(program, entries=1) as cluster:
        cluster.start()
        entry = cluster.entries[0]
        servers = [OddServer(cluster, number) for number in (1, 2)]
        for server in servers:
            await server.start()
        checks.expect("the cluster starts", await configure(cluster))

        async def served():
            return await request(entry, "/x/1") == 200

        checks.expect("requests are served", await wait_until(served))
        before = peak_kb(entry)
        for index, (name, _, _) in enumerate(odd_messages(b"")):
            for path in ("/o/odd", "/healthz"):
                plays = sum(server.plays for server in servers)
                for server in servers:
                    server.played = (path, index)

                async def played():
                    await request(entry, "/o/odd")
                    return sum(server.plays for server in servers) > plays or not entry.running()

                checks.passed &= await wait_until(played)
                for server in servers:
                    server.played = None
                if not entry.running():
                    checks.expect(f"{entry.name} goes on after {name} for {path}", False)
                    entry.start()
                checks.passed &= await wait_until(served)
        checks.expect("the entry host goes on, and all messages were played", checks.passed and entry.running())
        taken = max(server.taken for server in servers)
        checks.expect("the entry host takes no message without end", taken <= MAX_TAKEN_BYTES)
        growth = peak_kb(entry) - before
        checks.expect(f"memory grows by {growth} kB, at most {MAX_GROWTH_KB}", growth <= MAX_GROWTH_KB)
        for server in servers:
            server.stop()


async def check_log_reader(checks, program):
    """The process that reads the log ends."""
    with Run(program) as cluster:
        for process in cluster.all():
            process.start_without_log_reader(first=True)
        checks.expect("the cluster starts without a reader of its log", await configure(cluster))
        # Each refused request is logged.
        for entry in cluster.entries:
            for _ in range(20):
                await request(entry, "/else/x")
        await asyncio.sleep(1)
        checks.expect("all processes go on", all(process.running() for process in cluster.all()))


def hold(address):
    host, port = address.rsplit(":", 1)
    held = socket.socket()
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind((host, int(port)))
    held.listen()
    return held


async def check_held_addresses(checks, program):
    """Another process holds each address at the start: those of the metrics for long, the others for a short time."""
    with Run(program) as cluster:
        addresses = [address for _, address in listeners(cluster)]
        metrics = [hold(address) for address in addresses if address.endswith(f":{METRICS_PORT}")]
        others = [hold(address) for address in addresses if not address.endswith(f":{METRICS_PORT}")]
        cluster.start()
        await asyncio.sleep(0.7)
        for held in others:
            held.close()
        checks.expect("the cluster starts once its addresses are free", await configure(cluster))
        checks.expect("all processes go on", all(process.running() for process in cluster.all()))
        for held in metrics:
            held.close()

        async def scraped():
            pages = [await call(f"{process.ip}:{METRICS_PORT}", "GET", "/metrics") for process in cluster.all()]
            return all(page.status == 200 for page in pages)

        checks.expect("the metrics are served once their address is free", await wait_until(scraped))


async def check_descriptors(checks, program):
    """Idle connections at each address take all descriptors of the processes."""
    with Run(program) as cluster:
        cluster.start()
        checks.expect("the cluster starts", await configure(cluster))
        for process in cluster.all():
            resource.prlimit(process.child.pid, resource.RLIMIT_NOFILE, (64, 64))
        idle = []
        for _, address in listeners(cluster):
            host, port = address.rsplit(":", 1)
            if int(port) != CLUSTER_PORT:
                for _ in range(100):
                    connection = socket.socket()
                    connection.setblocking(False)
                    connection.connect_ex((host, int(port)))
                    idle.append(connection)
        await asyncio.sleep(0.5)
        before = {process.name: cpu_s(process) for process in cluster.all()}
        await asyncio.sleep(IDLE_S)
        used = max(cpu_s(process) - before[process.name] for process in cluster.all())
        checks.expect(f"a process uses {used:.2f} s of processor time in {IDLE_S} s, at most {MAX_IDLE_CPU_S}",
                      used <= MAX_IDLE_CPU_S)

        async def answers():
            for entry in cluster.entries:
                if (await call(f"{entry.ip}:{READY_PORT}", "GET", "/ready", timeout=5.0)).status != 200:
                    return False
                if await request(entry, "/else/x") != 404:
                    return False
            return (await call(f"{cluster.controls[0].ip}:{CONTROL_PORT}", "GET", "/config", timeout=5.0)).status == 200

        checks.expect("new connections are served beside them", await wait_until(answers))
        checks.expect("all processes go on", all(process.running() for process in cluster.all()))
        for connection in idle:
            connection.close()


async def check_bodies(checks, program):
    """Many callers at once send the largest bodies to the control address, and never end them."""
    with Run(program, entries=1) as cluster:
        cluster.start()
        checks.expect("the cluster starts", await configure(cluster))
        control = cluster.controls[0]
        before = peak_kb(control)
        size = 4 << 20
        head = f"PUT /config HTTP/1.1\r\nHost: a\r\nContent-Length: {size}\r\n\r\n".encode()

        async def upload():
            try:
                _, writer = await asyncio.open_connection(control.ip, CONTROL_PORT)
                writer.write(head + b"x" * (size - 1))
                await asyncio.wait_for(writer.drain(), 2.0)
                return writer
            except (OSError, asyncio.TimeoutError):
                return None

        writers = await asyncio.gather(*(upload() for _ in range(60)))
        await asyncio.sleep(0.5)
        growth = peak_kb(control) - before
        checks.expect(f"memory grows by {growth} kB, at most {MAX_GROWTH_KB}", growth <= MAX_GROWTH_KB)

        async def answers():
            return (await call(f"{control.ip}:{CONTROL_PORT}", "GET", "/config", timeout=5.0)).status == 200

        checks.expect("small calls are served beside them", await wait_until(answers))
        for writer in filter(None, writers):
            writer.transport.abort()


CHECKS = {"callers": check_callers, "servers": check_servers, "log-reader": check_log_reader,
          "held-addresses": check_held_addresses, "descriptors": check_descriptors, "bodies": check_bodies}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("program")
    parser.add_argument("--check", choices=sorted(CHECKS))
    options = parser.parse_args()
    checks = Checks()
    for name, check in CHECKS.items():
        if options.check in (None, name):
            print(f"-- {name}", flush=True)
            asyncio.run(check(checks, os.path.abspath(options.program)))
    return 0 if checks.passed else 1


if __name__ == "__main__":
    sys.exit(main())
