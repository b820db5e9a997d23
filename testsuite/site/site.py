"""Starts three control hosts and two entry hosts and queries them with lovagectl.

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
from cluster import CLUSTER_PORT, CONTROL_PORT, METRICS_PORT, Cluster
from http_io import call

TIMEOUT_S = 60.0


async def put_configuration(cluster):
    body = wire.configuration(7, "a.example", [wire.route("r", "safe", "/x/", "desk")], ["desk"]).encode()
    end = time.monotonic() + TIMEOUT_S
    while time.monotonic() < end:
        try:
            response = await call(f"{cluster.controls[0].ip}:{CONTROL_PORT}", "PUT", "/config", body)
            if response.status == 200:
                return True
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(0.1)
    return False


def odd_entries():
    """Entries that another writer might leave under the id of a server."""
    def entry(address="127.0.0.1:80", born=b"1", slots=b"3", extra=b""):
        body = wire.heartbeat("desk", address, "BORN", 1, "ready", "SLOTS")
        return body.replace(b'"BORN"', born).replace(b'"SLOTS"', slots)[:-1] + extra + b"}"

    deep = b"[" * 20000 + b"]" * 20000
    return [entry(address="127.0.0.1:65537"), entry(address="127.0.0.1:0"), entry(born=b"1e300"),
            entry(slots=b"4294967299"), entry(extra=b', "odd": ' + deep), deep, b"[" * 3000000, b"\xff{"]


async def odd_entries_are_refused(cluster):
    """Sends each odd entry to each control host. Returns whether all were refused and the hosts go on."""
    for control in cluster.controls:
        address = f"{control.ip}:{CONTROL_PORT}"
        for body in odd_entries():
            if (await call(address, "PUT", "/instances/odd", body, TIMEOUT_S)).status != 400:
                return False
        response = await call(address, "GET", "/config", timeout=TIMEOUT_S)
        if response.status not in (200, 503):
            return False
    return True


def run_lovagectl(lovagectl, host, command):
    return subprocess.run([lovagectl, "--admin", f"{host.ip}:{METRICS_PORT}", command], capture_output=True,
                          text=True, timeout=TIMEOUT_S, check=False).stdout


def await_status(lovagectl, host, names):
    """Waits until all named hosts are ready with configuration version 7."""
    end = time.monotonic() + TIMEOUT_S
    while time.monotonic() < end:
        rows = [line.split() for line in run_lovagectl(lovagectl, host, "status").splitlines()[1:]]
        ready = {row[0] for row in rows if len(row) > 3 and row[2:4] == ["7", "ready"]}
        if names <= ready:
            return True
        time.sleep(0.2)
    print(run_lovagectl(lovagectl, host, "status"))
    return False


def await_text(lovagectl, host, texts):
    """Waits until the status that the host gives contains all texts."""
    end = time.monotonic() + TIMEOUT_S
    while time.monotonic() < end:
        status = run_lovagectl(lovagectl, host, "status")
        if all(text in status for text in texts):
            return True
        time.sleep(0.2)
    print(status)
    return False


def check(name, passed):
    print(f"{'ok' if passed else 'FAILED'}: {name}")
    return passed


def run(program, lovagectl, work):
    net = os.environ.get("LOVAGEHOLD_TEST_NET", "127.10")
    cluster = Cluster(program, work, net, 3, 2)
    cluster.start()
    try:
        control, entry = cluster.controls[0], cluster.entries[0]
        entries = {f"{host.ip}:8641" for host in cluster.entries}
        passed = check("a configuration is acknowledged", asyncio.run(put_configuration(cluster)))
        passed &= check("the status of a control host lists all hosts",
                        await_status(lovagectl, control, entries | {control.name}))
        passed &= check("the status of an entry host lists itself", await_status(lovagectl, entry, {entry.name}))
        passed &= check("odd entries of another writer are refused by all control hosts",
                        asyncio.run(odd_entries_are_refused(cluster)))
        passed &= check("all hosts go on after them",
                        await_status(lovagectl, control, entries | {control.name}))
        timeline = run_lovagectl(lovagectl, control, "timeline")
        passed &= check("the timeline has events of control and entry hosts",
                        "group_founded" in timeline and "routing_in_force" in timeline)
        passed &= check("the status shows a whole group",
                        await_text(lovagectl, control, ["group:    1 of 1 losses left\n", "learners: none\n",
                                                        "outside:  none\n"]))
        lost = cluster.controls[2]
        lost.kill()
        passed &= check("the status shows a lost host and that no further one may be lost",
                        await_text(lovagectl, control, ["group:    0 of 1 losses left: 1 of 3 voters doesn't answer",
                                                        f"{lost.ip}:{CLUSTER_PORT} (no answer)"]))
        cluster.controls[1].kill()
        passed &= check("the status shows a group without a leader, and the host outside it",
                        await_text(lovagectl, control, ["group:    no leader answers",
                                                        f"outside:  {control.ip}:{CLUSTER_PORT} ("]))
        lost.start()
        passed &= check("the status shows the group again",
                        await_text(lovagectl, control, ["group:    0 of 1 losses left", "outside:  none\n"]))
        print(run_lovagectl(lovagectl, control, "status"), end="")
        return passed
    finally:
        cluster.stop()


def main():
    work = tempfile.mkdtemp(prefix="lovagehold-site-")
    passed = run(os.path.abspath(sys.argv[1]), os.path.abspath(sys.argv[2]), work)
    if passed:
        shutil.rmtree(work)
    else:
        print(f"logs in {work}")
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
