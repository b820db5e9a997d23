"""Frame of the end-to-end cases that run one scenario on real processes with the stand-ins of the soak test."""

import argparse
import asyncio

import wire
from soak import Soak, run_seed


class Case(Soak):
    """Runs a scenario beside ordinary callers; all routes lead to one service."""

    callers = 12
    has_accounts = False

    def make_document(self, version):
        routes = [wire.route("safe", "safe", "/safe/", "desk"), wire.route("once", "unsafe", "/once/", "desk"),
                  wire.route("moved", "safe", "/moved/", "desk")]
        return wire.configuration(version, "a.example", routes, ["desk"])

    async def add_servers(self):
        """Starts the servers of the service."""

    async def scenario(self):
        """Does what the case is about and records violations."""

    async def run(self):
        self.cluster.start()
        try:
            await self.add_servers()
            await self.change_config()
            if not await self.await_ready():
                self.record.violations.append("the entry hosts never became ready")
                return
            tasks = [asyncio.create_task(self.caller()) for _ in range(self.callers)]
            await self.scenario()
            self.stopping = True
            await asyncio.gather(*tasks)
        finally:
            self.cluster.stop()
            for server in self.servers:
                server.crash()


def run_case(case_class, name, description):
    """Runs the case with the options of the command line. Returns the exit code."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("program")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--controls", type=int, default=3)
    parser.add_argument("--entries", type=int, default=6)
    parser.add_argument("--strict", action="store_true")
    options = parser.parse_args()
    return run_seed(case_class, options, options.seed, name)
