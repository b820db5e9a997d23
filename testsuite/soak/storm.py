"""Soak of configuration changes: real processes, changes in quick succession by two operators to a configuration of many
routes, while servers name limits, crash and are replaced, and as many control hosts as may be lost stop answering.

Usage: storm.py PROGRAM [--seed N] [--seconds S] [--controls N] [--entries N] [--gap S] [--routes N] [--runs N]
Each version adds a route of its own and drops the oldest one, so that an answer shows which versions an entry host had.
"""

import argparse
import asyncio
import signal
import sys
import time

# Adds the folder of wire to the path, so it comes first.
from soak import CALL_ERRORS, SERVICES, Soak, run_seeds

import wire
from cluster import ENTRY_PORT, METRICS_PORT
from http_io import call, format_message, read_message

# The platform's bounds: from the acknowledgement of a version to its use at every entry host, and from the first use of a
# version by an entry host until that host must not use an older one any more.
CONFIG_APPLY_S = 2.0
ROLLBACK_SLACK_S = 0.25
PROBES = 8
LIVE_ROUTES = 5


class Storm(Soak):
    """A run without faults of entry hosts and of the leader, so that the bound on late configurations holds throughout."""

    has_accounts = False

    def __init__(self, options, seed, work):
        super().__init__(options, seed, work)
        self.live = {}
        self.acks = []
        # The newest version that each entry host has shown, with the start of its process and the time.
        self.shown = {}
        self.checked = 0
        self.silences = 0

    def make_document(self, version):
        previous = self.live.get(max(self.live, default=0), ())
        self.live[version] = (*previous, version)[-LIVE_ROUTES:]
        routes = [wire.route("safe", "safe", "/safe/", "desk"), wire.route("once", "unsafe", "/once/", "ledger"),
                  wire.route("moved", "safe", "/moved/", SERVICES[version % 2])]
        routes += [wire.route(f"own-{v}", "safe", f"/own-{v}/", "desk") for v in self.live[version]]
        routes += [wire.route(f"r{i}", "safe", f"/r{i}/", SERVICES[i == version % self.options.routes])
                   for i in range(self.options.routes)]
        return wire.configuration(version, "a.example", routes, SERVICES)

    async def change_config(self):
        before = self.acknowledged
        await super().change_config()
        if self.acknowledged > before:
            self.acks.append((time.monotonic(), self.acknowledged))

    def due_version(self, sent_at):
        """Returns the version that all entry hosts must have reached for a request that was sent at that time."""
        return max((version for at, version in self.acks if at <= sent_at - CONFIG_APPLY_S), default=0)

    def shown_version(self, process, sent_at):
        """Returns the version below which the process must not go back."""
        started_at, version, shown_at = self.shown.get(process, (0.0, 0, 0.0))
        return version if started_at == process.started_at and shown_at <= sent_at - ROLLBACK_SLACK_S else 0

    def record_shown(self, process, version):
        started_at, known, _ = self.shown.get(process, (0.0, 0, 0.0))
        if started_at != process.started_at or version > known:
            self.shown[process] = (process.started_at, version, time.monotonic())

    async def probe(self):
        while not self.stopping:
            await asyncio.sleep(self.random.uniform(0.01, 0.1))
            if not self.acks:
                continue
            own = self.random.choice(list(self.live)[-60:])
            process = self.random.choice(self.cluster.entries)
            sent_at, started_at = time.monotonic(), process.started_at
            oldest = max(self.due_version(sent_at), self.shown_version(process, sent_at))
            try:
                status = await self.ask(f"{process.ip}:{ENTRY_PORT}", own)
            except CALL_ERRORS:
                continue
            if process.started_at != started_at:
                continue
            self.checked += 1
            versions = [live for version, live in self.live.items() if version >= oldest]
            if status == 404 and all(own in live for live in versions):
                self.record.violations.append(
                    f"{process.name} answers 404 for the route of version {own}, version {oldest} is due")
            if status == 200 and not any(own in live for live in versions):
                self.record.violations.append(
                    f"{process.name} serves the route of version {own}, which was dropped before version {oldest}")
            if status == 200:
                self.record_shown(process, own)

    async def ask(self, address, own):
        self.next_id += 1
        headers = {"Host": "a.example", wire.ID_HEADER: f"{self.seed:x}-own-{self.next_id:x}",
                   wire.DEADLINE_HEADER: "1500", "Connection": "close"}
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
        try:
            writer.write(format_message(f"GET /own-{own}/ HTTP/1.1", headers))
            return (await asyncio.wait_for(read_message(reader), 3)).status
        finally:
            writer.transport.abort()

    async def operator(self):
        while not self.stopping:
            await self.change_config()
            await asyncio.sleep(self.random.uniform(0, 2 * self.options.gap))

    async def leads(self, process):
        try:
            page = await call(f"{process.ip}:{METRICS_PORT}", "GET", "/metrics")
        except CALL_ERRORS:
            return False
        return b"\nlovagehold_leads 1\n" in page.body

    async def silence_control_hosts(self):
        """Pauses as many control hosts as may be lost, without the leader, again and again."""
        while not self.stopping:
            await asyncio.sleep(self.random.uniform(0.5, 2))
            leading = [process for process in self.cluster.controls if await self.leads(process)]
            if len(leading) != 1:
                continue
            others = [process for process in self.shuffled(self.cluster.controls) if process not in leading]
            silent = others[:self.cluster.losses]
            self.log_fault("pause " + " ".join(process.name for process in silent))
            for process in silent:
                process.signal(signal.SIGSTOP)
            await asyncio.sleep(self.random.uniform(2, 4))
            for process in silent:
                process.signal(signal.SIGCONT)
            self.silences += 1

    async def inject(self):
        operators = [asyncio.create_task(self.operator()) for _ in range(2)]
        probes = [asyncio.create_task(self.probe()) for _ in range(PROBES)]
        silencer = asyncio.create_task(self.silence_control_hosts())
        end = time.monotonic() + self.options.seconds
        while time.monotonic() < end:
            self.spawn(self.random.choice((self.fault_limit, self.fault_replace, self.fault_responses))())
            await asyncio.sleep(self.random.uniform(0.2, 1))
        self.stopping = True
        await asyncio.gather(*operators, *probes, silencer)
        if self.checked == 0:
            self.record.violations.append("no answer showed which version was in force")

    def summary(self):
        return (f"{len(self.acks)} versions, {self.checked} checks, {self.silences} silences of control hosts, "
                f"{super().summary()}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("program")
    parser.add_argument("--seed", type=int)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--controls", type=int, default=5)
    parser.add_argument("--entries", type=int, default=6)
    parser.add_argument("--gap", type=float, default=0.1, help="mean pause of an operator between two changes")
    parser.add_argument("--routes", type=int, default=1400)
    parser.add_argument("--runs", type=int, default=1)
    options = parser.parse_args()
    options.strict = False
    return run_seeds(Storm, options, "storm")


if __name__ == "__main__":
    sys.exit(main())
