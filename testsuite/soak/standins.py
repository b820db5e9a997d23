"""Stand-ins for the soak test: servers that announce themselves, a fault-injecting proxy and a record of runs."""

import asyncio
import json
import socket
import struct
import time

import wire
from http_io import call, format_message, read_message
from odd_messages import odd_messages, odd_responses, send_odd

SLOTS = 3
# With these, sockets hold less than a long upload, so that its sender is still writing when a server answers early.
# Those of the loopback hold megabytes.
SEGMENT_BYTES = 1460
SOCKET_BUFFER = 64 << 10


class Record:
    """Records which requests servers ran and how they were answered, and collects violations of guarantees."""

    def __init__(self):
        self.runs = {}
        self.reported_not_run = {}
        self.violations = []
        self.outcomes = {}

    def record_run(self, request_id, idempotent):
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        if not idempotent and self.runs[request_id] > 1:
            self.violations.append(f"request {request_id} ran {self.runs[request_id]} times")
        if request_id in self.reported_not_run:
            self.violations.append(f"request {request_id} ran after its caller was told that it did not run")

    def record_not_run(self, request_id, status):
        self.reported_not_run[request_id] = status
        if self.runs.get(request_id, 0) > 0:
            self.violations.append(f"request {request_id} was answered {status} although it had run")

    def count(self, outcome):
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        if outcome.isdigit() and not 100 <= int(outcome) <= 599:
            self.violations.append(f"a caller was answered with status {outcome}")


def expected_body(request_id):
    """Returns the body of the response to a request; derived from the id, so that callers can check it."""
    return (request_id * 20).encode()


def end_with_reset(writer):
    """Makes the connection end with a TCP reset, whoever closes it."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def reset(writer):
    """Closes the connection with a TCP reset."""
    if not writer.transport.is_closing():
        end_with_reset(writer)
        writer.transport.abort()


class FaultProxy:
    """Forwards connections to a server and injects faults. Modes: pass, delay, reset, silent, one_way."""

    def __init__(self, target):
        self.target = target
        self.mode = "pass"
        self.server = None
        self.writers = set()

    async def start(self, host):
        self.server = await asyncio.start_server(self.accept, host, 0)
        listener = self.server.sockets[0]
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER)
        return f"{host}:{self.server.sockets[0].getsockname()[1]}"

    def close(self):
        self.server.close()
        self.reset_connections()

    def reset_connections(self):
        """An orderly end would make a part of an answer without a length a whole one."""
        for writer in list(self.writers):
            reset(writer)

    def set_mode(self, mode):
        self.mode = mode
        if mode == "reset":
            self.reset_connections()

    async def accept(self, reader, writer):
        self.writers.add(writer)
        try:
            host, port = self.target.rsplit(":", 1)
            upstream_reader, upstream = await asyncio.open_connection(host, int(port))
            upstream.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER)
            self.writers.add(upstream)
            await asyncio.gather(self.pump(reader, upstream, True), self.pump(upstream_reader, writer, False))
            self.writers.discard(upstream)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()
            self.writers.discard(writer)

    async def pump(self, reader, writer, to_server):
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(0.15)
                while self.mode == "silent" or (self.mode == "one_way" and not to_server):
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            reset(writer)
        except OSError:
            pass
        finally:
            writer.transport.abort()


class Server:
    """A server of a service: serves requests, reports its load and announces itself to the control hosts."""

    def __init__(self, soak, service, number):
        self.soak = soak
        self.service = service
        self.id = f"i-{service}-{number}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.draining = False
        self.left_at = None
        self.fault = None
        self.limit = None
        self.tasks = set()

    async def start(self):
        self.listener = await asyncio.start_server(self.accept, self.soak.server_host, 0)
        port = self.listener.sockets[0].getsockname()[1]
        self.proxy = FaultProxy(f"{self.soak.server_host}:{port}")
        self.address = await self.proxy.start(self.soak.server_host)
        self.announce_task = asyncio.create_task(self.announce())

    def crash(self):
        self.announce_task.cancel()
        self.listener.close()
        self.proxy.close()
        for task in list(self.tasks):
            task.cancel()

    async def announce(self):
        while True:
            if self.soak.random.random() < 0.1:
                self.soak.spawn(self.report_late())
            else:
                await self.report("ready")
            await asyncio.sleep(0.5)

    def heartbeat(self, state):
        self.sequence += 1
        return wire.heartbeat(self.service, self.address, self.born, self.sequence, state, SLOTS)

    async def report_late(self):
        """Reports that the server is ready; the call arrives seconds late, and twice."""
        body = self.heartbeat("ready")
        await asyncio.sleep(self.soak.random.uniform(0.5, 4))
        await self.send_report(body)
        await self.send_report(body)

    async def report(self, state):
        return await self.send_report(self.heartbeat(state))

    async def send_report(self, body):
        for address in self.soak.shuffled(self.soak.control_addresses()):
            try:
                response = await call(address, "PUT", f"/instances/{self.id}", body)
                if response.status == 200:
                    return True
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                continue
        return False

    async def deregister(self):
        body = json.dumps({"born": self.born}).encode()
        for address in self.soak.shuffled(self.soak.control_addresses()):
            try:
                if (await call(address, "DELETE", f"/instances/{self.id}", body)).status == 200:
                    return True
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                continue
        return False

    async def drain(self):
        """Leaves gracefully: reports that it is draining or gone, keeps serving for 5 s and stops."""
        self.draining = True
        self.announce_task.cancel()
        self.soak.spawn(self.report_late())
        deregisters = self.soak.random.random() < 0.5
        while not await (self.deregister() if deregisters else self.report("draining")):
            await asyncio.sleep(0.2)
        self.left_at = time.monotonic()
        await asyncio.sleep(5)
        self.crash()

    async def accept(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                request = await read_message(reader, has_body=not self.answers_early())
                if not await self.answer(request, writer):
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            self.tasks.discard(task)
            writer.transport.abort()

    def answers_early(self):
        """Whether the server answers the next request before it has read its body."""
        return self.fault == "early" and self.soak.random.random() < 0.3

    def extra_headers(self):
        """Returns further headers of all answers."""
        return {} if self.limit is None else {wire.LIMIT_HEADER: f"{self.limit:.3f}"}

    async def send_part(self, writer, headers, body):
        """Sends a part of an answer without a length and resets the connection."""
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        # Also if the server crashes before: an orderly end would make the part a whole answer.
        end_with_reset(writer)
        writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode() + body[:-3])
        await writer.drain()
        # A reset discards what has not been read yet.
        await asyncio.sleep(0.2)
        reset(writer)

    async def run_request(self, request):
        await asyncio.sleep(self.soak.random.uniform(0.002, 0.03))

    async def answer(self, request, writer):
        method, path, _ = request.start.split()
        load = f"{self.running},0,{SLOTS},100"
        headers = {wire.INSTANCE_HEADER: self.id, wire.LOAD_HEADER: load, **self.extra_headers()}
        if path == "/healthz":
            writer.write(format_message("HTTP/1.1 200 OK", headers))
            return True
        request_id = request.headers[wire.ID_HEADER.lower()]
        headers[wire.ID_HEADER] = request_id
        if request.headers.get(wire.EXPECT_HEADER.lower(), self.id) != self.id:
            writer.write(format_message("HTTP/1.1 421 Misdirected", headers))
            return True
        self.soak.check_arrival(self, request_id)
        self.soak.check_account(request_id, request.headers)
        if self.running >= SLOTS:
            headers[wire.NOT_EXECUTED_HEADER] = "1"
            writer.write(format_message("HTTP/1.1 503 Full", headers))
            return True
        self.running += 1
        try:
            self.soak.record.record_run(request_id, method == "GET")
            await self.run_request(request)
        finally:
            self.running -= 1
        if self.fault == "lose_answers" and self.soak.random.random() < 0.3:
            return False
        if self.fault == "odd" and self.soak.random.random() < 0.3:
            lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items()).encode()
            messages = odd_messages(b"HTTP/1.1 200 OK", lines) + odd_responses(lines)
            _, data, endless = self.soak.random.choice(messages)
            await send_odd(writer, data, endless)
            return False
        headers[wire.SEAL_HEADER] = "seal-" + request_id
        if self.fault in ("truncate", "early") and self.soak.random.random() < 0.3:
            await self.send_part(writer, headers, expected_body(request_id))
            return False
        response = format_message("HTTP/1.1 200 OK", headers, expected_body(request_id))
        if self.fault == "truncate" and self.soak.random.random() < 0.3:
            writer.write(response[:-3])
            await writer.drain()
            return False
        writer.write(response)
        if self.fault == "extra" and self.soak.random.random() < 0.3:
            writer.write(response)
        await writer.drain()
        return True
