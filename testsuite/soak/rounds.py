"""Soak of the losses that the control group tolerates: real processes, rounds of lost disks, replaced hosts, freezes,
restarts and power failures of as many control hosts as may be lost, with changes of the configuration all the while.

Usage: rounds.py PROGRAM [--seed N] [--seconds S] [--rounds N] [--controls N] [--entries N] [--losses N] [--plan PLAN]
The seed draws what is not given. After each round, and the time that lost hosts have to catch up, every control host
must return the newest configuration, and a change must be acknowledged and be in force at all entry hosts. A plan gives
the first rounds, for example "freeze 3 seeds; wipe 1 any + power 0 any". A step has a kind, a number of hosts and the
choice of the hosts: any, leader, seeds, others (which are no seeds) or oldest (which have run the longest).
"""

import argparse
import asyncio
import math
import os
import random
import re
import signal
import subprocess
import sys
import time

# Adds the folder of wire to the path, so it comes first.
from soak import CALL_ERRORS, run_seeds
from storm import CONFIG_APPLY_S, Storm

from cluster import ENTRY_PORT, METRICS_PORT, Cluster
from http_io import call

# The platform's bounds: from a change to its acknowledgement, and within which a host in contact returns the configuration.
ACK_TIMEOUT_S = 4.0
CONTACT_WINDOW_S = 3.0
# From SIGTERM to SIGKILL.
GRACE_PERIOD_S = 6.0
# Limit for servers with faults to answer a request on a new route; a 404 is never accepted.
PROBE_LIMIT_S = 15.0
PROBES = 3
# A sync that takes longer than the election timeout of the control hosts is shown.
SLOW_SYNC_S = 0.45
KINDS = {"wipe": 5, "replace": 3, "power": 3, "blackout": 1, "freeze": 3, "kill": 2, "terminate": 1, "reseed": 2,
         "entries": 2}
CHOICES = ("any", "any", "leader", "leader", "seeds", "others", "oldest")
SHOWN_METRICS = ("leads", "in_contact", "term", "commit_index", "group_members", "routing_version")


def catch_up_s(losses):
    """Returns how long a host still counts as lost after it is back: 4 s if one may be lost, 6 s if two."""
    return 2.0 + 2.0 * losses


def draw_round(rng, losses):
    """Returns the steps of a round, each with kind, number of hosts and choice of hosts."""
    kinds = rng.choices(list(KINDS), KINDS.values(), k=rng.choice((1, 1, 2, 3)))
    return [(kind, rng.randint(int(kind not in ("power", "blackout")), losses), rng.choice(CHOICES)) for kind in kinds]


def parse_plan(text):
    steps = [[step.split() for step in part.split("+")] for part in text.split(";") if part.strip()]
    return [[(kind, int(count), choice) for kind, count, choice in part] for part in steps]


class Rounds(Storm):
    """A run in which never more control hosts are lost at the same time than are tolerated."""

    change_limit_s = 20.0

    def __init__(self, options, seed, work):
        # Draws the rounds; the other source of random numbers is used by tasks whose order depends on the time.
        self.plan_random = random.Random(seed)
        super().__init__(options, seed, work)
        self.lost = {}
        self.plan = parse_plan(options.plan)
        self.operating = False
        self.acked = asyncio.Event()
        self.rounds = 0
        self.worst_read_s = 0.0
        self.worst_ack_s = 0.0
        self.slowest_sync_s = 0.0

    def make_cluster(self, work, net):
        rng, options = self.plan_random, self.options
        controls = options.controls or rng.randint(5, 11)
        losses = options.losses or rng.randint(1, min(3, (controls - 1) // 2))
        entries = options.entries or rng.randint(6, 24)
        return Cluster(options.program, work, net, controls, entries, losses, rng.randint(1, 4))

    # The operator

    async def change_config(self):
        await super().change_config()
        self.acked.set()

    async def operator(self):
        while self.operating:
            await self.change_config()
            await asyncio.sleep(self.random.uniform(0, 2 * self.options.gap))

    def due_version(self, sent_at):
        # The bound holds in a calm only; check_in_force() checks it there.
        return 0

    async def await_ack(self):
        self.acked.clear()
        try:
            await asyncio.wait_for(self.acked.wait(), ACK_TIMEOUT_S)
        except asyncio.TimeoutError:
            # Other steps of the round may have taken the group's majority down for a moment.
            pass

    # Which hosts are lost

    async def ordered(self, choice):
        """Returns the control hosts in random order, the chosen ones first."""
        controls = self.shuffled(self.cluster.controls)
        leading = await asyncio.gather(*(self.leads(process) for process in controls)) if choice == "leader" else ()
        first = {"leader": lambda process: not leading[controls.index(process)],
                 "seeds": lambda process: process.control_address not in self.cluster.seeds,
                 "others": lambda process: process.control_address in self.cluster.seeds,
                 "oldest": lambda process: process.started_at}
        return sorted(controls, key=first[choice]) if choice in first else controls

    async def take(self, count, choice, all_fail):
        """Waits until so many more hosts may be lost. Returns them; with all_fail, all others fail beside them."""
        count = min(count, self.cluster.losses)
        while True:
            ordered = await self.ordered(choice)
            self.lost = {process: until for process, until in self.lost.items() if until > time.monotonic()}
            if len(self.lost) + count <= self.cluster.losses:
                break
            await asyncio.sleep(0.05)
        free = [process for process in ordered if process not in self.lost and process in self.cluster.controls]
        self.lost.update((process, math.inf) for process in (free if all_fail else free[:count]))
        return free[:count]

    def give_back(self, processes):
        until = time.monotonic() + catch_up_s(self.cluster.losses)
        self.lost.update((process, until) for process in processes)

    # Steps

    async def step(self, kind, count, choice):
        await asyncio.sleep(self.random.uniform(0, 2))
        if kind in ("reseed", "entries"):
            await (self.reseed() if kind == "reseed" else self.lose_entries(self.cluster.entries, count))
            return
        victims = await self.take(count, choice, kind in ("power", "blackout"))
        if self.random.random() < 0.5:
            await self.await_ack()
        self.log_fault(f"{kind} {' '.join(process.name for process in victims)}")
        self.give_back(await getattr(self, kind)(victims) or victims)

    async def down(self, process):
        await asyncio.sleep(self.random.uniform(0.1, 2.5))
        process.start()

    async def kill(self, victims, wipe=False):
        # A host that still counts as lost may fail again.
        for _ in range(self.random.choice((1, 1, 2, 4))):
            for process in victims:
                process.kill()
                if wipe:
                    process.wipe()
            await asyncio.gather(*map(self.down, victims))

    async def wipe(self, victims):
        await self.kill(victims, wipe=True)

    async def replace(self, victims):
        successors = [self.cluster.replace(process) for process in victims]
        for process, successor in zip(victims, successors):
            self.lost.pop(process, None)
            self.lost[successor] = math.inf
        # The operator's list may show the lost hosts for a while, but never only these.
        running = [process.control_address for process in self.cluster.controls if process not in successors]
        if self.random.random() < 0.7 or not set(running) & set(self.cluster.seeds):
            self.cluster.seeds = self.random.sample(running, min(3, len(running)))
            self.log_fault(f"seeds {' '.join(self.cluster.seeds)}")
        await asyncio.gather(*map(self.down, successors))
        return successors

    async def freeze(self, victims):
        for process in victims:
            process.signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(1, 4))
        for process in victims:
            process.signal(signal.SIGCONT)

    async def terminate(self, victims):
        def stop(process):
            process.signal(signal.SIGTERM)
            try:
                process.child.wait(GRACE_PERIOD_S)
            except subprocess.TimeoutExpired:
                process.kill()

        await asyncio.gather(*(asyncio.to_thread(stop, process) for process in victims))
        await asyncio.gather(*map(self.down, victims))

    async def power(self, victims, others=()):
        """All control hosts fail at the same moment, and the victims lose their disks."""
        failing = self.cluster.controls + list(others)
        for process in failing:
            process.signal(signal.SIGKILL)
        for process in failing:
            process.kill()
        for process in victims:
            process.wipe()
        for process in self.shuffled(failing):
            await asyncio.sleep(self.random.uniform(0, 0.9 / len(failing)))
            process.start()
        return list(self.cluster.controls)

    async def blackout(self, victims):
        return await self.power(victims, self.cluster.entries)

    async def reseed(self):
        """Gives some hosts other seeds, of which up to all were seeds before."""
        running = [process.control_address for process in self.cluster.controls if process.running()]
        self.cluster.seeds = self.random.sample(running, min(3, len(running)))
        self.log_fault(f"seeds {' '.join(self.cluster.seeds)}")
        for process in self.shuffled(self.cluster.all())[:self.random.randint(0, len(self.cluster.all()))]:
            process.write_settings()
            process.signal(signal.SIGHUP)

    async def lose_entries(self, entries, count):
        """Any number of entry hosts may fail, without a limit on the losses."""
        entries = self.random.sample(entries, min(len(entries), count * self.random.randint(1, 5)))
        fault = self.random.choice((self.kill, self.freeze, self.terminate))
        self.log_fault(f"{fault.__name__} {' '.join(process.name for process in entries)}")
        await fault(entries)

    # Calm

    async def check_reads(self):
        async def read(process):
            begin = time.monotonic()
            while time.monotonic() - begin < CONTACT_WINDOW_S:
                if await self.read_config(process.control_address):
                    self.worst_read_s = max(self.worst_read_s, time.monotonic() - begin)
                    return
                await asyncio.sleep(0.05)
            self.record.violations.append(
                f"{process.name} returns no configuration after round {self.rounds + 1} and its time to catch up")

        await asyncio.gather(*map(read, self.cluster.controls))

    async def check_in_force(self, version):
        async def probe(process):
            address = f"{process.ip}:{ENTRY_PORT}"
            end = time.monotonic() + PROBE_LIMIT_S
            status = 0
            while time.monotonic() < end and status not in (200, 404):
                try:
                    status = await self.ask(address, version)
                except CALL_ERRORS:
                    pass
                if status not in (200, 404):
                    # The servers are few: hosts that ask again at once would fill them for all others.
                    await asyncio.sleep(self.random.uniform(0.05, 0.2 + 0.01 * len(self.cluster.entries)))
            self.checked += 1
            if status != 200:
                self.record.violations.append(f"{process.name} answers {status} for the route of version {version}")
            for dropped in set(self.live[max(v for v in self.live if v < version)]) - set(self.live[version]):
                try:
                    if await self.ask(address, dropped) == 200:
                        self.record.violations.append(f"{process.name} serves the route of version {dropped}, which was dropped")
                except CALL_ERRORS:
                    pass

        await asyncio.sleep(CONFIG_APPLY_S)
        await asyncio.gather(*map(probe, self.cluster.entries))

    async def check_calm(self):
        await self.check_reads()
        unreadable = len(self.record.violations)
        begin = time.monotonic()
        await self.change_config()
        ack_s = time.monotonic() - begin
        self.worst_ack_s = max(self.worst_ack_s, ack_s)
        if ack_s > ACK_TIMEOUT_S:
            self.record.violations.append(f"the change in the calm was acknowledged after {ack_s:.1f} s")
            return
        await self.check_in_force(self.acknowledged)
        if not unreadable:
            await self.check_reads()

    async def run_round(self, steps):
        self.log_fault(f"round {self.rounds + 1}: " + " + ".join(" ".join(map(str, step)) for step in steps))
        self.operating = True
        operators = [asyncio.create_task(self.operator()) for _ in range(2)]
        await asyncio.gather(*(self.step(*step) for step in steps))
        await asyncio.sleep(max(max(self.lost.values(), default=0) - time.monotonic(), catch_up_s(1)))
        self.operating = False
        await asyncio.gather(*operators)
        await self.check_calm()
        self.rounds += 1

    async def inject(self):
        end = time.monotonic() + self.options.seconds
        faults = asyncio.create_task(self.server_faults())
        self.spawn(self.time_syncs())
        for _ in range(PROBES):
            self.spawn(self.probe())
        while time.monotonic() < end and self.rounds < self.options.rounds:
            if self.record.violations and not self.options.go_on:
                break
            drawn = draw_round(self.plan_random, self.cluster.losses)
            await self.run_round(self.plan.pop(0) if self.plan else drawn)
        faults.cancel()
        if self.record.violations:
            await self.show_group()
        if self.rounds == 0 and not self.record.violations:
            self.record.violations.append("no round was played")

    async def time_syncs(self):
        """Measures the disk that all hosts share: while it stalls, nothing can be acknowledged."""
        def sync(path):
            with open(path, "wb") as file:
                begin = time.monotonic()
                file.write(b"x")
                os.fsync(file.fileno())
                return time.monotonic() - begin

        while True:
            sync_s = await asyncio.to_thread(sync, os.path.join(self.cluster.work, "sync"))
            self.slowest_sync_s = max(self.slowest_sync_s, sync_s)
            if sync_s > SLOW_SYNC_S:
                self.log_fault(f"the disk took {sync_s:.1f} s for a sync")
            await asyncio.sleep(0.1)

    async def server_faults(self):
        while True:
            self.spawn(self.random.choice((self.fault_limit, self.fault_replace, self.fault_responses))())
            await asyncio.sleep(self.random.uniform(0.5, 3))

    async def show_group(self):
        """Prints the view of each control host, and on how many disks the newest acknowledged version is."""
        holders = []
        for process in self.cluster.controls:
            try:
                page = (await call(f"{process.ip}:{METRICS_PORT}", "GET", "/metrics")).body.decode()
            except CALL_ERRORS:
                page = ""
            values = [f"{name}={value}" for name, value in re.findall(r"^lovagehold_(\w+) (\S+)$", page, re.MULTILINE)
                      if name in SHOWN_METRICS]
            print(f"  {process.name}{' seed' if process.control_address in self.cluster.seeds else ''}: {' '.join(values)}")
            content = b""
            for name in os.listdir(process.data) if os.path.isdir(process.data) else ():
                with open(os.path.join(process.data, name), "rb") as file:
                    content += file.read()
            if f"/own-{self.acknowledged}/".encode() in content:
                holders.append(process.name)
        print(f"  version {self.acknowledged} is the newest acknowledged one and is on the disks of {holders}")

    async def check_recovery(self):
        if not self.record.violations:
            await super().check_recovery()

    def summary(self):
        cluster = self.cluster
        return (f"{self.rounds} rounds, {len(cluster.controls)} control hosts in {len(cluster.domains)} failure domains, "
                f"{cluster.losses} losses, {len(cluster.entries)} entry hosts, {len(self.acks)} versions, "
                f"{self.checked} checks, slowest read {self.worst_read_s:.2f} s, slowest acknowledgement in a calm "
                f"{self.worst_ack_s:.2f} s, slowest sync of the disk {self.slowest_sync_s:.2f} s, "
                f"{super(Storm, self).summary()}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("program")
    parser.add_argument("--seed", type=int)
    parser.add_argument("--seconds", type=float, default=60, help="no round begins after this time")
    parser.add_argument("--rounds", type=int, default=1000)
    parser.add_argument("--controls", type=int)
    parser.add_argument("--entries", type=int)
    parser.add_argument("--losses", type=int, help="control hosts that may be lost at the same time")
    parser.add_argument("--plan", default="")
    parser.add_argument("--go-on", action="store_true", help="play further rounds after a violation")
    parser.add_argument("--gap", type=float, default=0.5, help="mean pause of an operator between two changes")
    parser.add_argument("--routes", type=int, default=100)
    parser.add_argument("--runs", type=int, default=1)
    options = parser.parse_args()
    options.strict = False
    return run_seeds(Rounds, options, "rounds")


if __name__ == "__main__":
    sys.exit(main())
