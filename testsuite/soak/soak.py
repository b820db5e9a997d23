"""Randomized soak test: runs real processes with stand-in servers and callers, injects faults and checks guarantees.

Usage: soak.py PROGRAM [--seed N] [--seconds S] [--controls N] [--entries N] [--runs N]
A run that violates a guarantee prints the violations and its seed, keeps its work folder and exits with 1.
"""

import argparse
import asyncio
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "testing"))

import wire
from cluster import DIRECTORY_PORT, ENTRY_PORT, METRICS_PORT, READY_PORT, Cluster
from http_io import call, format_message, read_message
from odd_messages import odd_messages, send_odd
from standins import Record, Server, expected_body

SERVICES = ("desk", "ledger")
SERVERS_EACH = 4
CALLERS = 12
# Requests may still reach a server for 2 s after its leave was acknowledged, as the platform specifies. The
# rest of the limit allows for paused processes and a busy machine. Checked only with --strict.
DRAIN_LIMIT_S = 5.0
RECOVERY_LIMIT_S = 60.0
# Accounts that a request may have by its key; one key moves between two accounts with each version.
STEADY_KEY, MOVING_KEY, UNKNOWN_KEY = "key-steady", "key-moving", "key-unknown"
KEY_ACCOUNTS = {STEADY_KEY: ("north",), MOVING_KEY: ("south", "east"), UNKNOWN_KEY: (), None: (None,)}
CALL_ERRORS = (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError)


class Soak:
    """A soak run with one seed."""

    # Limit on the time until a configuration is acknowledged while faults are injected.
    change_limit_s = RECOVERY_LIMIT_S
    # Whether the configurations have accounts.
    has_accounts = True

    def __init__(self, options, seed, work):
        self.options = options
        self.seed = seed
        self.random = random.Random(seed)
        net = os.environ.get("LOVAGEHOLD_TEST_NET", "127.10")
        self.server_host = f"{net}.3.1"
        self.cluster = self.make_cluster(work, net)
        self.record = Record()
        self.servers = []
        self.next_server = 0
        self.version = 0
        self.documents = {}
        # Key of each request.
        self.keys = {}
        self.acknowledged = 0
        self.next_id = 0
        self.faults = []
        self.stopping = False
        self.last_body = b""
        self.wiped_at = 0.0
        self.background = set()

    def make_cluster(self, work, net):
        return Cluster(self.options.program, work, net, self.options.controls, self.options.entries)

    def spawn(self, coroutine):
        """Runs the coroutine in the background; it is cancelled when the run ends."""
        task = asyncio.create_task(coroutine)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    def shuffled(self, items):
        return self.random.sample(items, len(items))

    def control_addresses(self):
        return [process.control_address for process in self.cluster.controls]

    def log_fault(self, text):
        self.faults.append(text)
        print(f"  fault: {text}", flush=True)

    def check_arrival(self, server, request_id):
        late = server.left_at is not None and time.monotonic() - server.left_at > DRAIN_LIMIT_S - 0.5
        if self.options.strict and late:
            self.record.violations.append(f"request {request_id} reached {server.id} too long after its leave")

    def check_account(self, request_id, headers):
        """Checks what a server is told about the account of a request."""
        account = headers.get(wire.ACCOUNT_HEADER.lower())
        if account not in KEY_ACCOUNTS[self.keys.get(request_id)]:
            self.record.violations.append(f"request {request_id} with {self.keys.get(request_id)} ran for {account}")
        if wire.KEY_HEADER.lower() in headers:
            self.record.violations.append(f"request {request_id} reached a server with its key")

    def choose_key(self, number, path):
        """Returns the key of a request. Draws no random number, so that the faults of a seed stay the same."""
        if not self.has_accounts or (path.startswith("/moved/") and number % 3 == 0):
            return None
        return UNKNOWN_KEY if number % 20 == 0 else (STEADY_KEY, MOVING_KEY)[number % 2]

    # Operator

    def make_document(self, version):
        routes = [wire.route("safe", "safe", "/safe/", "desk"), wire.route("once", "unsafe", "/once/", "ledger"),
                  wire.route("moved", "safe", "/moved/", SERVICES[version % 2], open_to_all=True)]
        accounts = [wire.account("north", STEADY_KEY), wire.account(("south", "east")[version % 2], MOVING_KEY)]
        return wire.configuration(version, "a.example", routes, SERVICES, accounts)

    async def change_config(self):
        self.version += self.random.randint(1, 3)
        version = self.version
        self.documents[version] = self.make_document(version)
        end = time.monotonic() + self.change_limit_s
        for _ in range(200):
            if time.monotonic() > end:
                break
            for address in self.shuffled(self.control_addresses()):
                try:
                    body = self.documents[version].encode()
                    response = await call(address, "PUT", "/config", body)
                    if response.status == 200:
                        self.acknowledged = max(self.acknowledged, version)
                        return
                    if response.status < 500:
                        self.record.violations.append(f"configuration {version} was rejected: {response.body}")
                        return
                except CALL_ERRORS:
                    continue
            await asyncio.sleep(0.1)
        self.record.violations.append(f"configuration {version} was never acknowledged")

    async def read_config(self, address):
        known = self.acknowledged
        try:
            response = await call(address, "GET", "/config")
        except CALL_ERRORS:
            return 0
        if response.status != 200:
            return 0
        version = json.loads(response.body)["version"]
        if version < known:
            self.record.violations.append(f"{address} returned version {version} after {known} was acknowledged")
        if response.body.decode() != self.documents.get(version):
            self.record.violations.append(f"{address} returned the wrong content for version {version}")
        return version

    async def config_reader(self):
        while not self.stopping:
            await self.read_config(self.random.choice(self.control_addresses()))
            await asyncio.sleep(0.3)

    # Callers

    async def resolve(self):
        for process in self.shuffled(self.cluster.entries):
            try:
                response = await call(f"{process.ip}:{DIRECTORY_PORT}", "GET", "/resolve?name=a.example&zone=a")
                if response.status == 200:
                    return json.loads(response.body)["addresses"]
            except CALL_ERRORS:
                continue
        return [f"{process.ip}:{ENTRY_PORT}" for process in self.cluster.entries]

    async def caller(self):
        connection = None
        while not self.stopping:
            try:
                if connection is None:
                    address = self.random.choice(await self.resolve())
                    host, port = address.rsplit(":", 1)
                    opening = asyncio.open_connection(host, int(port))
                    connection = await asyncio.wait_for(opening, 1)
                keep = await asyncio.wait_for(self.one_request(*connection), 4)
            except CALL_ERRORS:
                self.record.count("broken")
                keep = False
            if not keep and connection is not None:
                connection[1].transport.abort()
                connection = None
            await asyncio.sleep(self.random.uniform(0.005, 0.05))
        if connection is not None:
            connection[1].transport.abort()

    async def one_request(self, reader, writer):
        self.next_id += 1
        request_id = f"{self.seed:x}-{self.next_id:x}"
        method, path = self.random.choice((("GET", "/safe/x"), ("POST", "/once/x"), ("GET", "/moved/x")))
        headers = {"Host": "a.example", wire.ID_HEADER: request_id, wire.DEADLINE_HEADER: "2000", wire.ACCOUNT_HEADER: "forged"}
        key = self.keys[request_id] = self.choose_key(self.next_id, path)
        if key is not None:
            headers[wire.KEY_HEADER] = key
        body = b"x" * self.random.choice((0, 100, 40000, 40000, 1500000)) if method == "POST" else b""
        await self.send_request(writer, f"{method} {path} HTTP/1.1", headers, body)
        response = await read_message(reader)
        self.last_body = response.body
        self.record.count(str(response.status))
        if response.status in (429, 503, 408, 421) and method == "POST":
            self.record.record_not_run(request_id, response.status)
        if (response.status == 401) != (key == UNKNOWN_KEY) and response.status in (200, 401):
            self.record.violations.append(f"request {request_id} with {key} was answered {response.status}")
        if response.status == 404:
            self.record.violations.append(f"request {request_id} was answered 404 although all versions have its route")
        if response.status == 200:
            body_matches = response.body == expected_body(request_id)
            if not body_matches or response.headers.get(wire.SEAL_HEADER.lower()) != "seal-" + request_id:
                self.record.violations.append(f"request {request_id} received the wrong body or seal")
        return response.headers.get("connection", "").lower() != "close"

    async def send_request(self, writer, start, headers, body):
        """Sends the request with a length or in chunks. Some callers leave in the middle of a long body."""
        if len(body) < 40000 or self.random.random() < 0.5:
            data = format_message(start, headers, body)
        else:
            head = format_message(start, headers).replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
            data = head + f"{len(body):x}\r\n".encode() + body + b"\r\n0\r\n\r\n"
        if len(body) >= 40000 and self.random.random() < 0.05:
            writer.write(data[:self.random.randrange(len(data))])
            await writer.drain()
            raise OSError("the caller leaves")
        writer.write(data)
        await writer.drain()

    async def watch_processes(self):
        """Records processes that end although nobody has told them to."""
        reported = set()
        while not self.stopping:
            for process in self.cluster.all():
                if process.ended_by_itself() and process.child.pid not in reported:
                    reported.add(process.child.pid)
                    self.record.violations.append(f"{process.name} ended by itself: {process.child.returncode}")
            await asyncio.sleep(0.05)

    # Faults

    async def add_server(self, service):
        self.next_server += 1
        server = Server(self, service, self.next_server)
        await server.start()
        self.servers.append(server)

    async def restart_later(self, process, delay):
        await asyncio.sleep(delay)
        if process.running():
            return
        kind = self.random.choice(("usual", "usual", "no log reader", "held address"))
        if kind == "no log reader":
            self.log_fault(f"{process.name} starts without a reader of its log")
            process.start_without_log_reader()
        elif kind == "held address":
            await self.start_beside_holder(process)
        else:
            process.start()

    async def start_beside_holder(self, process):
        """Starts the process while another one still holds one of its addresses for a short time."""
        address = self.random.choice(process.addresses())
        host, port = address.rsplit(":", 1)
        self.log_fault(f"{process.name} starts while {address} is held")
        try:
            holder = await asyncio.start_server(lambda _, writer: writer.transport.abort(), host, int(port))
        except OSError:
            # The holder of an earlier fault still has the address, which serves the purpose.
            process.start()
            return
        process.start()
        await asyncio.sleep(self.random.uniform(0.1, 0.8))
        holder.close()

    async def fault_odd_message(self):
        process = self.random.choice(self.cluster.all())
        address = self.random.choice(process.addresses())
        name, data, endless = self.random.choice(odd_messages(b"PUT /config HTTP/1.1", b"Host: a.example\r\n"))
        self.log_fault(f"{name} at {address} of {process.name}")
        host, port = address.rsplit(":", 1)
        try:
            _, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
            await asyncio.wait_for(send_odd(writer, data, endless), 3)
            writer.transport.abort()
        except CALL_ERRORS:
            pass

    async def fault_kill(self):
        process = self.random.choice(self.cluster.all())
        self.log_fault(f"kill {process.name}")
        process.kill()
        await self.restart_later(process, self.random.uniform(0.1, 1.5))

    async def fault_kill_all(self):
        self.log_fault("kill all")
        for process in self.cluster.all():
            process.kill()
        await asyncio.sleep(0.5)
        for process in self.cluster.all():
            process.start()

    async def fault_pause(self):
        process = self.random.choice(self.cluster.all())
        self.log_fault(f"pause {process.name}")
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.3, 3))
        process.signal(signal.SIGCONT)

    async def fault_terminate(self):
        process = self.random.choice(self.cluster.entries)
        self.log_fault(f"terminate {process.name}")
        process.signal(signal.SIGTERM)
        for _ in range(70):
            await asyncio.sleep(0.1)
            if not process.running():
                break
        process.kill()
        process.start()

    async def fault_wipe(self):
        # Only one control host at a time may lose its disk, and it needs time to catch up afterwards.
        if time.monotonic() - self.wiped_at < 12 or any(not p.running() or p.paused for p in self.cluster.controls):
            return
        self.wiped_at = time.monotonic()
        process = self.random.choice(self.cluster.controls)
        self.log_fault(f"wipe {process.name}")
        process.kill()
        process.wipe()
        await self.restart_later(process, 0.3)

    async def fault_link(self):
        server = self.random.choice(self.servers)
        mode = self.random.choice(("delay", "reset", "silent", "one_way"))
        self.log_fault(f"link {mode} {server.id}")
        server.proxy.set_mode(mode)
        await asyncio.sleep(self.random.uniform(0.5, 3))
        server.proxy.set_mode("pass")

    async def fault_responses(self):
        server = self.random.choice(self.servers)
        fault = self.random.choice(("lose_answers", "truncate", "extra", "odd", "early"))
        self.log_fault(f"{fault} {server.id}")
        server.fault = fault
        await asyncio.sleep(self.random.uniform(1, 4))
        server.fault = None

    async def fault_limit(self):
        server = self.random.choice(self.servers)
        server.limit = self.random.choice((0, 0.5, 5, 50))
        self.log_fault(f"limit {server.limit}/s {server.id}")
        await asyncio.sleep(self.random.uniform(1, 4))
        server.limit = None

    async def fault_replace(self):
        server = self.random.choice(self.servers)
        self.servers.remove(server)
        await self.add_server(server.service)
        if self.random.random() < 0.5:
            self.log_fault(f"crash {server.id}")
            server.crash()
        else:
            self.log_fault(f"drain {server.id}")
            await server.drain()

    async def fault_config(self):
        self.log_fault("configuration change")
        await self.change_config()

    async def inject(self):
        faults = [self.fault_kill, self.fault_pause, self.fault_terminate, self.fault_wipe, self.fault_link,
                  self.fault_responses, self.fault_responses, self.fault_replace, self.fault_limit,
                  self.fault_odd_message, self.fault_odd_message, self.fault_config, self.fault_config]
        running = set()
        end = time.monotonic() + self.options.seconds
        while time.monotonic() < end:
            fault = self.fault_kill_all if self.random.random() < 0.04 else self.random.choice(faults)
            running.add(asyncio.create_task(fault()))
            await asyncio.sleep(self.random.expovariate(1 / 0.9))
        await asyncio.gather(*running)

    # The run

    async def await_ready(self):
        end = time.monotonic() + RECOVERY_LIMIT_S
        waiting = list(self.cluster.entries)
        while waiting and time.monotonic() < end:
            try:
                response = await call(f"{waiting[0].ip}:{READY_PORT}", "GET", "/ready")
                if response.status == 200:
                    waiting.pop(0)
                    continue
            except CALL_ERRORS:
                pass
            await asyncio.sleep(0.1)
        return not waiting

    async def check_recovery(self):
        for process in self.cluster.all():
            process.signal(signal.SIGCONT)
            if not process.running():
                process.start()
        if not await self.await_ready():
            self.record.violations.append("not all entry hosts became ready again")
            return
        end = time.monotonic() + RECOVERY_LIMIT_S
        version = 0
        while version == 0 and time.monotonic() < end:
            version = await self.read_config(self.random.choice(self.control_addresses()))
            await asyncio.sleep(0.1)
        if version < self.acknowledged:
            self.record.violations.append(f"acknowledged version {self.acknowledged} was lost")

    async def check_shown_keys(self):
        """Checks that no key is in a log or on a page for operators."""
        shown = {}
        for process in self.cluster.all():
            path = os.path.join(self.cluster.work, process.name + ".log")
            if os.path.exists(path):
                with open(path, "rb") as log:
                    shown[path] = log.read()
            for page in ("/metrics", "/status", "/events"):
                try:
                    response = await call(f"{process.ip}:{METRICS_PORT}", "GET", page)
                    shown[process.name + page] = response.body
                except CALL_ERRORS:
                    continue
        for place, text in shown.items():
            for key in (STEADY_KEY, MOVING_KEY, UNKNOWN_KEY):
                if key.encode() in text:
                    self.record.violations.append(f"{place} shows {key}")

    async def run(self):
        self.cluster.start()
        try:
            for service in SERVICES:
                for _ in range(SERVERS_EACH):
                    await self.add_server(service)
            await self.change_config()
            if not await self.await_ready():
                self.record.violations.append("the entry hosts never became ready")
                return
            tasks = [asyncio.create_task(self.caller()) for _ in range(CALLERS)]
            tasks.append(asyncio.create_task(self.config_reader()))
            tasks.append(asyncio.create_task(self.watch_processes()))
            await self.inject()
            await self.check_recovery()
            await self.check_shown_keys()
            self.stopping = True
            await asyncio.gather(*tasks)
            if self.record.outcomes.get("200", 0) == 0:
                self.record.violations.append("no request was served")
        finally:
            for task in list(self.background):
                task.cancel()
            self.cluster.stop()
            for server in self.servers:
                server.crash()

    def summary(self):
        """Returns what the run did, for its closing line."""
        return f"{len(self.faults)} faults, responses {dict(sorted(self.record.outcomes.items()))}"


def run_seed(soak_class, options, seed, name):
    """Runs the class with a seed in a folder of its own and prints the outcome. Returns the exit code."""
    work = tempfile.mkdtemp(prefix=f"lovagehold-{name}-")
    print(f"seed {seed}", flush=True)
    soak = soak_class(options, seed, work)
    asyncio.run(soak.run())
    print(f"seed {seed}: {soak.summary()}, {len(soak.record.violations)} violations", flush=True)
    if soak.record.violations:
        print("\n".join(soak.record.violations[:20]))
        print(f"logs in {work}")
        return 1
    shutil.rmtree(work)
    return 0


def run_seeds(soak_class, options, name):
    """Runs options.runs seeds from options.seed, or from a random one, up to the first with a violation."""
    first = options.seed if options.seed is not None else random.SystemRandom().randrange(1 << 30)
    return int(any(run_seed(soak_class, options, seed, name) for seed in range(first, first + options.runs)))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("program")
    parser.add_argument("--seed", type=int)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--controls", type=int, default=3)
    parser.add_argument("--entries", type=int, default=4)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--strict", action="store_true",
                        help="also check that no request reaches a server too long after its leave")
    options = parser.parse_args()
    return run_seeds(Soak, options, "soak")


if __name__ == "__main__":
    sys.exit(main())
