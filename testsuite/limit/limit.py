"""Checks that all entry hosts together keep the request limits that servers name in their answers.

Usage: limit.py PROGRAM [--seed N] [--entries N] [--seconds S]
Most servers of a service name a limit; callers press at all entry hosts while one of them and a control host restart.
"""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "testing"))

import wire
from case import Case, run_case
from standins import Server

# The platform allows one and a half times the limit and five requests in 4 s, from 3 s after the limit was first named.
WINDOW_S = 4.0
FACTOR = 1.5
SLACK = 5
SETTLING_S = 3.0
# Part of a limit that has to be used while callers want more.
MIN_USED_SHARE = 0.7
LIMITED, UNLIMITED = 4, 2


class LimitedServer(Server):
    """A server that names a request limit and records when requests arrive."""

    def __init__(self, soak, number, limit):
        super().__init__(soak, "desk", number)
        self.limit = limit
        self.named_at = None
        self.arrivals = []

    def extra_headers(self):
        self.named_at = self.named_at or time.monotonic()
        return super().extra_headers()

    async def run_request(self, request):
        self.arrivals.append(time.monotonic())
        await super().run_request(request)

    def most_in_window(self):
        """Returns the largest number of arrivals in a window after the settling time."""
        times = [t for t in self.arrivals if t >= self.named_at + SETTLING_S]
        return max((sum(1 for t in times if start <= t < start + WINDOW_S) for start in times), default=0)


class LimitRun(Case):
    """A run with servers of one service, most of them limited."""

    callers = 24

    async def add_servers(self):
        for number in range(LIMITED + UNLIMITED):
            limit = self.random.choice((1.3, 2.2, 3.0)) if number < LIMITED else None
            self.servers.append(LimitedServer(self, number, limit))
            await self.servers[-1].start()

    async def restart_hosts(self):
        await asyncio.sleep(self.options.seconds / 3)
        for process in (self.random.choice(self.cluster.entries), self.random.choice(self.cluster.controls)):
            self.log_fault(f"kill {process.name}")
            process.kill()
            await self.restart_later(process, 0.5)
            await asyncio.sleep(self.options.seconds / 6)

    def check_limits(self, since):
        for server in self.servers:
            if server.limit is None:
                continue
            allowed = FACTOR * server.limit * WINDOW_S + SLACK
            most = server.most_in_window()
            seconds = time.monotonic() - since
            rate = sum(1 for t in server.arrivals if t >= since) / seconds
            print(f"{server.id}: limit {server.limit}/s, {rate:.2f}/s, most in {WINDOW_S:.0f} s {most}, "
                  f"allowed {allowed:.1f}")
            if most > allowed:
                self.record.violations.append(f"{server.id} got {most} requests in {WINDOW_S:.0f} s")
            if rate < MIN_USED_SHARE * server.limit:
                self.record.violations.append(f"{server.id} got only {rate:.2f} requests a second")

    async def scenario(self):
        await asyncio.sleep(SETTLING_S)
        started = time.monotonic()
        restarts = asyncio.create_task(self.restart_hosts())
        await asyncio.sleep(self.options.seconds)
        self.check_limits(started)
        await restarts


if __name__ == "__main__":
    sys.exit(run_case(LimitRun, "limit", __doc__))
