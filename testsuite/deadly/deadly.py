"""Checks that a request which crashes its servers is kept from further ones, and that no other request is.

Usage: deadly.py PROGRAM [--seed N] [--entries N] [--seconds S]
One caller repeats a deadly request at all entry hosts beside ordinary callers, and the whole service fails once.
"""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "testing"))

import wire
from case import Case, run_case
from cluster import ENTRY_PORT
from http_io import format_message, read_message
from soak import CALL_ERRORS
from standins import Server

# The platform allows three more retries, from 3 s after the request has crashed its third server.
CRASHES = 3
SETTLING_S = 3.0
MAX_RETRIES = 3
SERVERS = 6
RESTART_S = 2.0
DEADLY_PATH = "/safe/deadly"


class FragileServer(Server):
    """A server that crashes while it runs the deadly request and returns as a new incarnation."""

    async def run_request(self, request):
        await super().run_request(request)
        if DEADLY_PATH in request.start:
            self.soak.deadly_runs.append(time.monotonic())
            await asyncio.sleep(0.03)
            asyncio.create_task(self.soak.restart_server(self))
            await asyncio.sleep(1)


class DeadlyRun(Case):
    """A run with a deadly request."""

    def __init__(self, options, seed, work):
        super().__init__(options, seed, work)
        self.deadly_runs = []
        self.quarantined = 0

    async def add_servers(self):
        for _ in range(SERVERS):
            await self.add_server("desk")

    async def add_server(self, service):
        self.next_server += 1
        self.servers.append(FragileServer(self, service, self.next_server))
        await self.servers[-1].start()

    async def restart_server(self, server):
        if server not in self.servers:
            return
        self.servers.remove(server)
        server.crash()
        await asyncio.sleep(RESTART_S)
        if not self.stopping:
            await self.add_server(server.service)

    async def deadly_caller(self):
        while not self.stopping:
            process = self.random.choice(self.cluster.entries)
            self.next_id += 1
            try:
                reader, writer = await asyncio.open_connection(process.ip, ENTRY_PORT)
                headers = {"Host": "a.example", wire.ID_HEADER: f"d-{self.next_id:x}", wire.DEADLINE_HEADER: "2000"}
                writer.write(format_message(f"GET {DEADLY_PATH} HTTP/1.1", headers))
                response = await asyncio.wait_for(read_message(reader), 4)
                writer.transport.abort()
                self.quarantined += b"quarantined" in response.body
                if response.status in (429, 503, 408, 421) and b"quarantined" in response.body:
                    self.record.violations.append("the deadly request was reported as not run")
            except CALL_ERRORS:
                pass
            await asyncio.sleep(self.random.uniform(0.1, 0.4))

    async def one_request(self, reader, writer):
        keep = await super().one_request(reader, writer)
        if b"quarantined" in self.last_body:
            self.record.violations.append("an ordinary request was quarantined")
        return keep

    async def fail_service(self):
        await asyncio.sleep(self.options.seconds / 2)
        self.log_fault("all servers crash")
        await asyncio.gather(*(self.restart_server(server) for server in list(self.servers)))

    def check_runs(self):
        third = self.deadly_runs[CRASHES - 1] if len(self.deadly_runs) >= CRASHES else None
        late = [t for t in self.deadly_runs if third is not None and t > third + SETTLING_S]
        print(f"deadly request: {len(self.deadly_runs)} runs, {len(late)} of them late; quarantined {self.quarantined}")
        if third is None:
            self.record.violations.append("the deadly request never crashed three servers")
        if len(late) > MAX_RETRIES:
            self.record.violations.append(f"the deadly request ran {len(late)} times after its third crash")

    async def scenario(self):
        deadly = asyncio.create_task(self.deadly_caller())
        outage = asyncio.create_task(self.fail_service())
        await asyncio.sleep(self.options.seconds)
        await outage
        self.check_runs()
        self.stopping = True
        await deadly


if __name__ == "__main__":
    sys.exit(run_case(DeadlyRun, "deadly", __doc__))
