"""Starts three control hosts and two entry hosts and asks them with lovagectl.

Usage: site.py PROGRAM LOVAGECTL
"""

import asyncio
import os
import shutil
import subprocess
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "soak"))
sys.path.insert(0, os.path.join(HERE, "..", "..", "platform", "testing"))

import wire
from cluster import CONTROL_PORT, METRICS_PORT, Cluster
from http_io import call

LIMIT_S = 60.0


async def put_configuration(cluster):
    body = wire.configuration(7, "a.example", [wire.route("r", "safe", "/x/", "desk")], ["desk"]).encode()
    end = time.monotonic() + LIMIT_S
    while time.monotonic() < end:
        try:
            response = await call(f"{cluster.controls[0].ip}:{CONTROL_PORT}", "PUT", "/config", body)
            if response.status == 200:
                return True
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(0.1)
    return False


def ask(lovagectl, host, command):
    return subprocess.run([lovagectl, "--admin", f"{host.ip}:{METRICS_PORT}", command], capture_output=True,
                          text=True, timeout=LIMIT_S, check=False).stdout


def await_status(lovagectl, host, names):
    """Waits until all hosts named are ready with version 7."""
    end = time.monotonic() + LIMIT_S
    while time.monotonic() < end:
        rows = [line.split() for line in ask(lovagectl, host, "status").splitlines()[1:]]
        ready = {row[0] for row in rows if len(row) > 3 and row[2:4] == ["7", "ready"]}
        if names <= ready:
            return True
        time.sleep(0.2)
    print(ask(lovagectl, host, "status"))
    return False


def check(name, held):
    print(f"{'ok' if held else 'FAILED'}: {name}")
    return held


def run(program, lovagectl, work):
    net = os.environ.get("LOVAGEHOLD_TEST_NET", "127.10")
    cluster = Cluster(program, work, net, 3, 2)
    cluster.start()
    try:
        control, entry = cluster.controls[0], cluster.entries[0]
        entries = {f"{host.ip}:8641" for host in cluster.entries}
        held = check("a configuration is acknowledged", asyncio.run(put_configuration(cluster)))
        held &= check("a control host's status names all hosts",
                      await_status(lovagectl, control, entries | {control.name}))
        held &= check("an entry host's status names itself", await_status(lovagectl, entry, {entry.name}))
        timeline = ask(lovagectl, control, "timeline")
        held &= check("the time line has events of control and entry hosts",
                      "group_founded" in timeline and "routing_in_force" in timeline)
        return held
    finally:
        cluster.stop()


def main():
    work = tempfile.mkdtemp(prefix="lovagehold-site-")
    held = run(os.path.abspath(sys.argv[1]), os.path.abspath(sys.argv[2]), work)
    if held:
        shutil.rmtree(work)
    else:
        print(f"logs in {work}")
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
