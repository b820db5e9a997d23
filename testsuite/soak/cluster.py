"""Starts, signals and stops the lovagehold processes of the soak test."""

import json
import os
import shutil
import signal
import subprocess

import wire

CONTROL_PORT, CLUSTER_PORT, ENTRY_PORT, READY_PORT, DIRECTORY_PORT = 8649, 7620, 8641, 8640, 8644
METRICS_PORT = 9464


class Process:
    """The process of one host, with its settings file, data folder and log."""

    def __init__(self, cluster, name, ip, control):
        self.cluster = cluster
        self.name = name
        self.ip = ip
        self.control = control
        self.child = None
        self.paused = False
        # Whether this test has ended the process, or told it to end.
        self.stopped = True
        self.data = os.path.join(cluster.work, name + "-data")
        # Where the process writes its log instead of its file, if set.
        self.output = None

    def start(self, first=False):
        # Overlapping faults may both restart the same process; the first child would then never be stopped.
        if self.running():
            return
        listen = {"control": f"{self.ip}:{CONTROL_PORT}"} if self.control else {
            "front": f"{self.ip}:{ENTRY_PORT}", "readiness": f"{self.ip}:{READY_PORT}",
            "directory": f"{self.ip}:{DIRECTORY_PORT}"}
        settings = wire.settings(self.name, self.ip, "a", first, self.data if self.control else None, listen,
                                 [CLUSTER_PORT, CLUSTER_PORT + 15], self.cluster.seeds, self.cluster.losses)
        path = os.path.join(self.cluster.work, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        log = self.output or open(os.path.join(self.cluster.work, self.name + ".log"), "ab")
        environment = dict(os.environ, **{wire.SETTINGS_VARIABLE: path})
        self.child = subprocess.Popen([self.cluster.program, "--site", "--metrics-port", str(METRICS_PORT)], env=environment, stdout=log,
                                      stderr=log)
        log.close()
        self.output = None
        self.paused = False
        self.stopped = False

    def start_without_log_reader(self, first=False):
        """Starts the process with a log whose reader has ended."""
        read_end, write_end = os.pipe()
        self.output = os.fdopen(write_end, "wb")
        self.start(first)
        os.close(read_end)

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

    def __init__(self, program, work, net, controls, entries):
        self.program = program
        self.work = work
        # Control hosts that may be lost at the same time.
        self.losses = max(1, (controls - 1) // 2)
        ips = [f"{net}.1.{i + 1}" for i in range(controls)]
        self.seeds = [f"{ip}:{CONTROL_PORT}" for ip in ips[:3]]
        self.controls = [Process(self, f"control-{i + 1}", ip, True) for i, ip in enumerate(ips)]
        self.entries = [Process(self, f"entry-{i + 1}", f"{net}.2.{i + 1}", False) for i in range(entries)]

    def all(self):
        return self.controls + self.entries

    def start(self):
        for process in self.all():
            process.start(first=True)

    def stop(self):
        for process in self.all():
            process.kill()
