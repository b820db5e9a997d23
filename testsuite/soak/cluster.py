"""Starts, signals and stops the lovagehold processes of the soak test."""

import json
import os
import shutil
import signal
import subprocess
import time

import wire

CONTROL_PORT, CLUSTER_PORT, ENTRY_PORT, READY_PORT, DIRECTORY_PORT = 8649, 7620, 8641, 8640, 8644
METRICS_PORT = 9464


class Process:
    """The process of one host, with its settings file, data folder and log."""

    def __init__(self, cluster, name, ip, control, failure_domain="a"):
        self.cluster = cluster
        self.name = name
        self.ip = ip
        self.control = control
        self.failure_domain = failure_domain
        self.child = None
        self.paused = False
        self.started_at = 0.0
        # Whether this test has ended the process, or told it to end.
        self.stopped = True
        self.data = os.path.join(cluster.work, name + "-data")
        # Where the process writes its log instead of its file, if set.
        self.output = None

    def start(self, first=False):
        # Overlapping faults may both restart the same process; the first child would then never be stopped.
        if self.running():
            return
        path = self.write_settings(first)
        log = self.output or open(os.path.join(self.cluster.work, self.name + ".log"), "ab")
        environment = dict(os.environ, **{wire.SETTINGS_VARIABLE: path})
        self.child = subprocess.Popen([self.cluster.program, "--site", "--metrics-port", str(METRICS_PORT)], env=environment, stdout=log,
                                      stderr=log)
        log.close()
        self.output = None
        self.paused = False
        self.started_at = time.monotonic()
        self.stopped = False

    def write_settings(self, first=False):
        """Writes the settings file with the present seeds and returns its path."""
        listen = {"control": f"{self.ip}:{CONTROL_PORT}"} if self.control else {
            "front": f"{self.ip}:{ENTRY_PORT}", "readiness": f"{self.ip}:{READY_PORT}",
            "directory": f"{self.ip}:{DIRECTORY_PORT}"}
        settings = wire.settings(self.name, self.ip, self.failure_domain, first, self.data if self.control else None, listen,
                                 [CLUSTER_PORT, CLUSTER_PORT + 15], self.cluster.seeds, self.cluster.losses)
        path = os.path.join(self.cluster.work, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        return path

    def start_without_log_reader(self, first=False):
        """Starts the process with a log whose reader has ended."""
        read_end, write_end = os.pipe()
        self.output = os.fdopen(write_end, "wb")
        self.start(first)
        os.close(read_end)

    @property
    def control_address(self):
        return f"{self.ip}:{CONTROL_PORT}"

    def running(self):
        return self.child is not None and self.child.poll() is None

    def ended_by_itself(self):
        return not self.stopped and not self.running()

    def addresses(self):
        """Returns the addresses on which the process reads HTTP, and the one for other hosts."""
        ports = (CONTROL_PORT,) if self.control else (ENTRY_PORT, READY_PORT, DIRECTORY_PORT)
        return [f"{self.ip}:{port}" for port in (*ports, METRICS_PORT, CLUSTER_PORT)]

    def signal(self, number):
        if self.running():
            self.stopped = self.stopped or number in (signal.SIGTERM, signal.SIGKILL)
            self.child.send_signal(number)
            self.paused = number == signal.SIGSTOP or (self.paused and number != signal.SIGCONT)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.child is not None:
            self.child.wait()

    def wipe(self):
        shutil.rmtree(self.data, ignore_errors=True)


class Cluster:
    """All control and entry hosts of a run."""

    def __init__(self, program, work, net, controls, entries, losses=None, domains=1):
        self.program = program
        self.work = work
        self.net = net
        # Control hosts that may be lost at the same time.
        self.losses = losses or max(1, (controls - 1) // 2)
        self.domains = "abcdefgh"[:domains]
        self.next_control = 0
        self.controls = [self.new_control(self.domains[i % domains]) for i in range(controls)]
        self.seeds = [process.control_address for process in self.controls[:3]]
        self.entries = [Process(self, f"entry-{i + 1}", f"{net}.2.{i + 1}", False, self.domains[i % domains])
                        for i in range(entries)]

    def new_control(self, failure_domain):
        """Returns a control host at an address that none has had."""
        self.next_control += 1
        name, ip = f"control-{self.next_control}", f"{self.net}.1.{self.next_control}"
        return Process(self, name, ip, True, failure_domain)

    def replace(self, process):
        """Takes a control host away for good. Returns an empty one in its place, which has not been started."""
        process.kill()
        process.wipe()
        successor = self.new_control(process.failure_domain)
        self.controls[self.controls.index(process)] = successor
        return successor

    def all(self):
        return self.controls + self.entries

    def start(self):
        for process in self.all():
            process.start(first=True)

    def stop(self):
        for process in self.all():
            process.kill()
