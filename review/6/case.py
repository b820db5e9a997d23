import os
import signal
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib2"))
from deployment import TROUBLE, CannotRun, Deployment, config, run

# Longest pause of the leader; the others elect no new one in this time.
PAUSE_S = 0.33
# A killed process is started again after a short delay.
RESTART_S = 0.1


def version(number):
    return config(number, [{"host": "yard.example", "name": "r-1", "prefix": f"/p{number}/", "kind": "safe",
                            "service": "desk"}], ["desk"])


def wait_for_port(host, port, end):
    while time.monotonic() < end:
        try:
            socket.create_connection((host.ip, port), timeout=0.1).close()
            return True
        except OSError:
            time.sleep(0.002)
    return False


def case(record):
    deployment = Deployment(record)
    try:
        deployment.start()
        leader = deployment.leader()
        if leader is None:
            raise CannotRun("no leader")
        other, target = [host for host in deployment.controls if host is not leader]
        record(f"leader {leader.name}, the operator's changes go to {target.name}")
        if deployment.put_config(leader, version(10)) != 200:
            raise CannotRun("the first desired state is not acknowledged")
        time.sleep(3.5)
        acknowledged = []

        def put(host, number, timeout=1.0):
            status = deployment.put_config(host, version(number), timeout)
            if status == 200:
                acknowledged.append((time.monotonic(), number))
            return status

        if TROUBLE:
            paused = time.monotonic()
            leader.signal(signal.SIGSTOP)
            record(f"{leader.name} stands still")
        first = threading.Thread(target=put, args=(target, 11))
        first.start()
        time.sleep(0.03)
        if TROUBLE:
            target.kill()
            record(f"{target.name} is killed")
            time.sleep(RESTART_S)
            target.start()
            if not wait_for_port(target, deployment.control_port, paused + PAUSE_S):
                record("it is not back in time")
        second = threading.Thread(target=put, args=(target, 12))
        second.start()
        if TROUBLE:
            time.sleep(max(0, paused + PAUSE_S - time.monotonic()))
            leader.signal(signal.SIGCONT)
            record(f"{leader.name} runs again after {time.monotonic() - paused:.3f} s")
        first.join()
        second.join()
        # The operator sends what got no clear answer again, unchanged, to other hosts first.
        for number in (11, 12):
            hosts = [other, leader, target]
            for attempt in range(12):
                if any(n == number for _, n in acknowledged):
                    break
                put(hosts[attempt % 3], number)
                time.sleep(0.2)
        newest = max(n for _, n in acknowledged)
        record(f"acknowledged: {sorted(n for _, n in acknowledged)}")
        time.sleep(2.2)
        held = True
        reads = []
        end = time.monotonic() + 3.5
        while time.monotonic() < end:
            for host in deployment.controls:
                read = deployment.read_config(host)
                reads.append(read)
                held = held and (read is None or read >= newest)
            time.sleep(0.5)
        if not any(read is not None for read in reads):
            record("the desired state did not come")
            held = False
        return held
    finally:
        deployment.stop()


sys.exit(run(FOLDER, case))
