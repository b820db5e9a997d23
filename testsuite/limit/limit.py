"""Checks that all entry hosts together keep the request limits that servers name in their answers.

Usage: limit.py PROGRAM [--seed N] [--entries N] [--seconds S]
Most servers of a service name a limit; callers press at all entry hosts while one of them and a control host restart.
"""

import argparse
import asyncio
import os
import shutil
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak"))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "platform", "testing"))

import wire
from soak import Soak
from standins import Server

# The platform allows one and a half times the limit and five requests in 4 s, from 3 s after the limit was first named.
WINDOW_S = 4.0
FACTOR = 1.5
SLACK = 5
SETTLING_S = 3.0
# Part of a limit that has to be used while callers want more.
MIN_USED_SHARE = 0.7
LIMITED, UNLIMITED = 4, 2
CALLERS = 24


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


class LimitRun(Soak):
    """A run with servers of one service, most of them limited."""

    def make_document(self, version):
        routes = [wire.route("safe", "safe", "/safe/", "desk"), wire.route("once", "unsafe", "/once/", "desk"),
                  wire.route("moved", "safe", "/moved/", "desk")]
        return wire.configuration(version, "a.example", routes, ["desk"])

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

    async def run(self):
        self.cluster.start()
        try:
            await self.add_servers()
            await self.change_config()
            if not await self.await_ready():
                self.record.violations.append("the entry hosts never became ready")
                return
            tasks = [asyncio.create_task(self.caller()) for _ in range(CALLERS)]
            await asyncio.sleep(SETTLING_S)
            started = time.monotonic()
            restarts = asyncio.create_task(self.restart_hosts())
            await asyncio.sleep(self.options.seconds)
            self.check_limits(started)
            await restarts
            self.stopping = True
            await asyncio.gather(*tasks)
        finally:
            self.cluster.stop()
            for server in self.servers:
                server.crash()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("program")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--controls", type=int, default=3)
    parser.add_argument("--entries", type=int, default=6)
    parser.add_argument("--strict", action="store_true")
    options = parser.parse_args()
    work = tempfile.mkdtemp(prefix="lovagehold-limit-")
    run = LimitRun(options, options.seed, work)
    asyncio.run(run.run())
    print(f"seed {options.seed}: responses {dict(sorted(run.record.outcomes.items()))}")
    if run.record.violations:
        print("\n".join(run.record.violations))
        print(f"logs in {work}")
        return 1
    shutil.rmtree(work)
    return 0


if __name__ == "__main__":
    sys.exit(main())
