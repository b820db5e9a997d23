"""Stand-ins of the second review: servers that register themselves and callers, after the users' PROTOCOL.md."""
import asyncio
import hashlib
import json
import random
import socket
import struct
import time


class Ended(Exception):
    """The channel ended before a whole message."""


async def read_head(reader):
    """Returns the start line and the fields (lower-case names), or None at the end of the channel."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise Ended("in a head") from error
        return None
    lines = data.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields, until_end=False, on_piece=None):
    body = bytearray()

    async def take(size):
        left = size
        while left > 0:
            piece = await reader.read(min(left, 65536))
            if not piece:
                raise Ended("in a body")
            body.extend(piece)
            left -= len(piece)
            if on_piece is not None:
                await on_piece(len(body))

    if "chunked" in fields.get("transfer-encoding", "").lower():
        while True:
            line = await reader.readline()
            if not line.endswith(b"\n"):
                raise Ended("in a chunk")
            size = int(line.split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b""):
                    pass
                return bytes(body)
            await take(size)
            await reader.readexactly(2)
    if "content-length" in fields:
        await take(int(fields["content-length"]))
    elif until_end:
        while piece := await reader.read(65536):
            body.extend(piece)
    return bytes(body)


def digest(body):
    return hashlib.sha256(body).hexdigest()[:16]


class Server:
    """A server of a service. Subclasses override work() to answer otherwise."""

    def __init__(self, deployment, service, number, slots=3, work_s=0.05, controls=None):
        self.deployment, self.service, self.slots, self.work_s = deployment, service, slots, work_s
        self.id = f"i-{service}-{number}"
        self.number = number
        self.zone = ["zone-a", "zone-b", "zone-c"][number % 3]
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.waiting = 0
        self.runs = []
        self.seen = []
        self.controls = controls or deployment.controls
        self.free = asyncio.Semaphore(slots)
        self.tasks = set()
        self.writers = set()
        self.registered = False

    async def start(self, ip=None, port=0):
        self.ip = ip or f"{self.deployment.net}.{20 + self.number}"
        self.listener = await asyncio.start_server(self.accept, self.ip, port, limit=1 << 20)
        self.address = f"{self.ip}:{self.listener.sockets[0].getsockname()[1]}"
        self.beats = asyncio.create_task(self.beat())

    async def call(self, host, method, body):
        data = json.dumps(body).encode()
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host.ip, self.deployment.control_port), 1)
        try:
            writer.write((f"{method} /instances/{self.id} HTTP/1.1\r\nHost: {host.ip}\r\nContent-Type: "
                          f"application/json\r\nContent-Length: {len(data)}\r\nConnection: close\r\n\r\n").encode()
                         + data)
            head = await asyncio.wait_for(read_head(reader), 1)
            return int(head[0].split()[1]) if head else 0
        finally:
            writer.close()

    def beat_body(self, state):
        self.sequence += 1
        return {"address": self.address, "born": self.born,
                "info": {"service": self.service, "version": "v1", "zone": self.zone, "maxInflight": self.slots},
                "status": {"state": state, "sequence": self.sequence, "warmupLeft": "0ms"}}

    async def tell(self, method, body, controls=None):
        hosts = list(controls or self.controls)
        random.shuffle(hosts)
        for host in hosts:
            try:
                status = await self.call(host, method, body)
            except (OSError, asyncio.TimeoutError, Ended, IndexError):
                continue
            if 200 <= status < 300:
                return host
        return None

    async def beat(self):
        while True:
            self.registered = await self.tell("PUT", self.beat_body("ready")) is not None or self.registered
            await asyncio.sleep(1.5)

    def load(self):
        return f"{self.running},{self.waiting},{self.slots},100"

    async def accept(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while await self.serve(reader, writer):
                pass
        except (Ended, OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        head = await read_head(reader)
        if head is None:
            return False
        line, fields = head
        method, target, _ = line.split(" ")
        if target == "/healthz":
            writer.write((f"HTTP/1.1 200 OK\r\nLovagehold-Instance-Id: {self.id}\r\nLovagehold-Server-Load: "
                          f"{self.load()}\r\nContent-Length: 0\r\n\r\n").encode())
            await writer.drain()
            return True
        request = {"id": fields.get("lovagehold-request-id", ""), "method": method, "target": target,
                   "fields": fields, "at": time.monotonic()}
        self.seen.append(request)
        if fields.get("lovagehold-expect-instance", self.id) != self.id:
            await read_body(reader, fields)
            writer.write(b"HTTP/1.1 421 Misdirected Request\r\nLovagehold-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
            return True
        return await self.work(request, fields, reader, writer)

    def run(self, request, body):
        request["body"] = digest(body)
        request["bytes"] = len(body)
        self.runs.append(request)

    def answer(self, request, status="200 OK", body=None, extra=""):
        content = body if body is not None else f"answer {request['id']}\n".encode()
        return (f"HTTP/1.1 {status}\r\nLovagehold-Request-Id: {request['id']}\r\nLovagehold-Response-Seal: "
                f"{digest(content)}\r\nLovagehold-Server-Load: {self.load()}\r\n{extra}Content-Length: "
                f"{len(content)}\r\n\r\n").encode() + content

    async def work(self, request, fields, reader, writer):
        body = await read_body(reader, fields)
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            try:
                self.run(request, body)
                await asyncio.sleep(self.work_s)
            finally:
                self.running -= 1
        writer.write(self.answer(request))
        await writer.drain()
        return True

    async def stop(self):
        self.beats.cancel()
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()


class Channel:
    """A caller's channel to an entry host."""

    def __init__(self, ip, port):
        self.ip, self.port = ip, port
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(self.ip, self.port, limit=1 << 20), 1)
        return self

    def close(self):
        if self.writer is not None:
            self.writer.transport.abort()

    def head(self, method, host, target, request_id, deadline_ms, fields=()):
        lines = [f"{method} {target} HTTP/1.1", f"Host: {host}", f"Lovagehold-Request-Id: {request_id}",
                 f"Lovagehold-Deadline-Ms: {deadline_ms}", *fields]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def read_answer(self, method="GET"):
        while True:
            head = await read_head(self.reader)
            if head is None:
                raise Ended("before an answer")
            status = int(head[0].split()[1])
            if status // 100 != 1:
                break
        body = b"" if method == "HEAD" else await read_body(self.reader, head[1], until_end=True)
        return status, head[1], body

    async def ask(self, method, host, target, request_id, deadline_ms, body=b"", fields=(), timeout=None):
        extra = list(fields) + ([f"Content-Length: {len(body)}"] if body or method != "GET" else [])
        self.writer.write(self.head(method, host, target, request_id, deadline_ms, extra) + body)
        await self.writer.drain()
        return await asyncio.wait_for(self.read_answer(method), timeout or deadline_ms / 1000 + 1)


def new_id():
    return f"{random.getrandbits(64):016x}"


def reset(writer):
    """Closes a channel with a TCP reset."""
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
