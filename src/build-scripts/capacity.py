"""Measures how costs grow with the size of the system, fits lines and rewrites the tables of docs/CAPACITY.md.

Usage: capacity.py BUILD_FOLDER PAGE
"""

import dataclasses
import json
import os
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request

NETWORK = os.environ.get("LOVAGEHOLD_TEST_NET", "127.10")
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
SETTLE_SECONDS = 4
WINDOW_SECONDS = 6
HOST_COUNTS = (3, 8, 16, 29)
CALL_RATES = (250, 500, 1000, 2000)

# The system size that the design must support.
SERVERS = 18_000
SERVICES = 1_800
CALLS_PER_SECOND = 1_800_000
CHANGES_PER_DAY = 53_000
FAILED_PER_DAY = 40
RESTARTED_PER_DAY = 1_100
REGIONS = 4
FAILURE_DOMAINS = 11
CONTROL_HOSTS = 41
SECONDS_PER_DAY = 86_400

# The deployment designed for that size.
ENTRY_HOSTS = 440
REGION_CONTROL_MEMBERS = 3
CLAIM_GROUPS = 8
CLAIM_MEMORY_BYTES = 8 << 30
ENTRY_CORES = 2
ENTRY_UTILISATION = 0.5
HEARTBEATS_PER_SECOND = 1 / 0.150
RENEWALS_PER_SECOND = 1.0

# IP and TCP headers of a message and of its acknowledgement, and the WebSocket header.
MESSAGE_OVERHEAD_BYTES = 40 + 40 + 8
# Renewal sent by a server: HTTP request, HTTP response and the headers of four TCP segments.
HTTP_RENEWAL_BYTES = 330 + 110 + 4 * 40


@dataclasses.dataclass
class Line:
    """A fitted line y = base + slope * x."""

    base: float
    slope: float
    fit: float
    unit: str
    points: list


def fit_line(points, unit):
    """Fits a line by least squares and computes the coefficient of determination."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    base = mean_y - slope * mean_x
    total = sum((y - mean_y) ** 2 for _, y in points)
    rest = sum((y - base - slope * x) ** 2 for x, y in points)
    return Line(base, slope, 1 - rest / total if total else 1.0, unit, points)


def run_bench(build):
    """Runs the in-process benchmark. Returns the fitted lines, and the size and cost of each message."""
    program = os.path.join(build, "src/teststand/capacity_bench")
    output = subprocess.run([program], check=True, capture_output=True, text=True).stdout
    points, messages = {}, {}
    for line in output.splitlines():
        fields = dict(part.split("=", 1) for part in line.split())
        if "slope" in fields:
            entry = points.setdefault(fields["slope"], ([], fields["unit"]))
            entry[0].append((float(fields["x"]), float(fields["y"])))
        elif "message" in fields:
            messages[fields["message"]] = (int(fields["bytes"]), float(fields["codec_us"]))
    return {name: fit_line(*entry) for name, entry in points.items()}, messages


class Cluster:
    """lovagehold processes on loopback. close() stops them."""

    def __init__(self, build, hosts):
        self.build = build
        self.folder = tempfile.mkdtemp()
        self.processes = []
        for number in range(1, hosts + 1):
            roles = "entry, control" if number <= 3 else "entry"
            path = os.path.join(self.folder, f"host-{number}.yaml")
            with open(path, "w", encoding="utf-8") as file:
                file.write(self.settings(number, roles))
            self.start("src/lovagehold/lovagehold", "--settings", path)

    def settings(self, number, roles):
        address = f"{NETWORK}.1.{number}"
        peers = "".join(f'  - {{id: host-{n}, address: "{NETWORK}.1.{n}:7081"}}\n' for n in (1, 2, 3))
        return (
            f"host: host-{number}\nfailure_domain: domain-{number % 3}\nroles: [{roles}]\n"
            f'listen: {{callers: "{address}:7080", cluster: "{address}:7081", admin: "{address}:7082"}}\n'
            f"data_folder: {self.folder}/data-{number}\ncontrol:\n{peers}"
        )

    def start(self, program, *arguments):
        self.processes.append(
            subprocess.Popen(
                [os.path.join(self.build, program), *arguments],
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
            )
        )

    def status(self, number):
        with urllib.request.urlopen(f"http://{NETWORK}.1.{number}:7082/status", timeout=5) as answer:
            return json.load(answer)

    def await_ready(self, hosts):
        deadline = time.monotonic() + 60
        while time.monotonic() < deadline:
            try:
                if len(self.status(1)["hosts"]) == hosts and self.status(hosts)["ready"]:
                    return
            except OSError:
                pass
            time.sleep(0.2)
        raise RuntimeError(f"{hosts} hosts did not become ready")

    def apply(self, folder):
        command = [os.path.join(self.build, "src/lovagectl/lovagectl"), "--admin", f"{NETWORK}.1.1:7082"]
        subprocess.run([*command, "apply", folder], check=True, stdout=subprocess.DEVNULL)

    def close(self):
        for process in self.processes:
            process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.wait()
        shutil.rmtree(self.folder)


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def resident_bytes(pid):
    with open(f"/proc/{pid}/status", encoding="utf-8") as file:
        return int(re.search(r"VmRSS:\s+(\d+)", file.read()).group(1)) * 1024


def measure_idle(build):
    """Measures processor time and memory of idle hosts for several numbers of hosts."""
    leader, entry, memory = [], [], 0
    for hosts in HOST_COUNTS:
        cluster = Cluster(build, hosts)
        try:
            cluster.await_ready(hosts)
            time.sleep(SETTLE_SECONDS)
            pids = [process.pid for process in cluster.processes]
            before = [cpu_seconds(pid) for pid in pids]
            time.sleep(WINDOW_SECONDS)
            shares = [(cpu_seconds(pid) - start) / WINDOW_SECONDS * 100 for pid, start in zip(pids, before)]
            leader.append((hosts, max(shares[:3])))
            if hosts > 3:
                entry.append((hosts, sum(shares[3:]) / (hosts - 3)))
            memory = max(memory, resident_bytes(pids[-1]))
        finally:
            cluster.close()
    return fit_line(leader, "% of a core"), fit_line(entry, "% of a core"), memory


def measure_calls(build):
    """Measures the processor time of the owner of a service for several rates of calls."""
    cluster = Cluster(build, 3)
    points = []
    try:
        cluster.await_ready(3)
        cluster.apply("testsuite/demo/config")
        for number in range(1, 11):
            cluster.start(
                "src/teststand/standin_server", "--service", "slot-desk", "--id", f"slot-desk-{number}",
                "--address", f"{NETWORK}.2.{number}:8001", "--entry", f"{NETWORK}.1.1:7080",
                "--service-us", "500",
            )
        time.sleep(SETTLE_SECONDS)
        pids = [process.pid for process in cluster.processes[:3]]
        for rate in CALL_RATES:
            before = [cpu_seconds(pid) for pid in pids]
            subprocess.run(
                [
                    os.path.join(build, "src/teststand/load_driver"), "--entry", f"{NETWORK}.1.1:7080",
                    "--service", "slot-desk", "--target", "/slots/1",
                    "--rate", str(rate), "--count", str(rate * WINDOW_SECONDS),
                ],
                check=True, stdout=subprocess.DEVNULL,
            )
            spent = max(cpu_seconds(pid) - start for pid, start in zip(pids, before))
            points.append((rate, spent / WINDOW_SECONDS * 1e6))
    finally:
        cluster.close()
    return fit_line(points, "us a second")


def format_slopes(lines):
    rows = ["| slope | points (size: value) | base | per unit | fit R² | unit |", "|---|---|---|---|---|---|"]
    for name, line in sorted(lines.items()):
        points = ", ".join(f"{x:,.0f}: {y:,.2f}" for x, y in line.points)
        rows.append(f"| {name} | {points} | {line.base:,.2f} | {line.slope:,.4f} | {line.fit:.3f} | {line.unit} |")
    return "\n".join(rows)


def format_messages(messages):
    rows = ["| message | bytes (CBOR) | encode + decode, us |", "|---|---|---|"]
    rows += [f"| {name} | {size} | {micros:.2f} |" for name, (size, micros) in sorted(messages.items())]
    return "\n".join(rows)


@dataclasses.dataclass
class Model:
    """Projects the costs to the design size from the fitted lines and the message costs."""

    lines: dict
    messages: dict
    idle_memory: int

    def message_cost(self, name):
        """Bytes and processor microseconds of one message, for sender and receiver together."""
        size, codec = self.messages[name]
        return size + MESSAGE_OVERHEAD_BYTES, codec + self.lines["transport_messages"].slope

    def region_hosts(self):
        return ENTRY_HOSTS / REGIONS

    def entry(self):
        """Bytes per second, processor share and memory that control needs on an entry host."""
        changes = CHANGES_PER_DAY / SECONDS_PER_DAY
        directory = 2 * (FAILED_PER_DAY + RESTARTED_PER_DAY) / SECONDS_PER_DAY / REGIONS
        renewals = SERVERS / ENTRY_HOSTS * RENEWALS_PER_SECOND
        heartbeat_bytes, heartbeat_cpu = self.message_cost("heartbeat")
        reply_bytes, reply_cpu = self.message_cost("heartbeat_reply")
        relay_bytes, relay_cpu = self.message_cost("server_renewal")
        change_bytes, change_cpu = self.message_cost("entry_change")
        join_bytes, join_cpu = self.message_cost("entry_server_join")
        parts = {
            "heartbeats": HEARTBEATS_PER_SECOND * (heartbeat_bytes + reply_bytes),
            "renewals from servers": renewals * HTTP_RENEWAL_BYTES,
            "renewals passed on and taken": 2 * renewals * relay_bytes,
            "configuration": changes * change_bytes,
            "directory": directory * join_bytes,
        }
        http_cpu = self.lines["calls"].slope
        view_changes = 2 * (FAILED_PER_DAY + RESTARTED_PER_DAY) * ENTRY_HOSTS / (SERVERS + ENTRY_HOSTS)
        view_cpu = self.lines["homes_of_450_services"]
        micros = (
            HEARTBEATS_PER_SECOND * (heartbeat_cpu + reply_cpu) / 2
            + renewals * (http_cpu + relay_cpu)
            + changes * (change_cpu + self.lines["apply_change"].base + max(self.lines["apply_change"].slope, 0) * SERVICES)
            + directory * (join_cpu + self.lines["apply_server"].base)
            + view_changes / SECONDS_PER_DAY * (view_cpu.base + view_cpu.slope * self.region_hosts())
        )
        memory = (
            self.idle_memory
            + self.lines["memory_server"].slope * SERVERS / REGIONS
            + self.lines["memory_host"].slope * self.region_hosts()
            + self.lines["memory_change"].slope * SERVICES
        )
        return parts, micros / 1e4, memory

    def renewal_interval(self):
        """Seconds between the renewals of a server that fit 9 KB/s if they were sent directly to the owner."""
        parts, _, _ = self.entry()
        rest = 9000 - sum(value for name, value in parts.items() if not name.startswith("renewals"))
        return SERVERS / ENTRY_HOSTS * HTTP_RENEWAL_BYTES / rest

    def region_leader(self):
        """Heartbeats per second, processor share and bytes per second of the directory leader of a region."""
        sessions = self.region_hosts()
        heartbeat_bytes, heartbeat_cpu = self.message_cost("heartbeat")
        reply_bytes, reply_cpu = self.message_cost("heartbeat_reply")
        rate = sessions * HEARTBEATS_PER_SECOND
        return rate, rate * (heartbeat_cpu + reply_cpu) / 2 / 1e4, rate * (heartbeat_bytes + reply_bytes)

    def root_leader(self):
        """Entries sent per second, processor share and bytes per second of the root leader."""
        changes = CHANGES_PER_DAY / SECONDS_PER_DAY
        change_bytes, change_cpu = self.message_cost("entry_change")
        fan_out = CONTROL_HOSTS - 1
        apply = self.lines["apply_change"].base + max(self.lines["apply_change"].slope, 0) * SERVICES
        return changes * fan_out, changes * (fan_out * change_cpu + apply) / 1e4, changes * fan_out * change_bytes

    def claims(self):
        """Claims that fit the memory of the groups, and the rate per second if each is kept an hour or a day."""
        bytes_per_claim = self.lines["memory_claim"].slope
        held = CLAIM_GROUPS * CLAIM_MEMORY_BYTES / bytes_per_claim
        return held, held / 3600, held / SECONDS_PER_DAY

    def entry_hosts_needed(self):
        """Cores for the calls, and entry hosts to provide them with one failure domain lost."""
        cores = CALLS_PER_SECOND * self.lines["calls"].slope / 1e6
        return cores, cores / ENTRY_CORES / ENTRY_UTILISATION * FAILURE_DOMAINS / (FAILURE_DOMAINS - 1)


def verdict(value, limit):
    margin = (limit - value) / limit * 100
    return f"met, margin {margin:.0f}%" if value <= limit else f"NOT MET, over by {-margin:.0f}%"


def format_roles(model):
    parts, cpu, memory = model.entry()
    rate, leader_cpu, leader_bytes = model.region_leader()
    root_rate, root_cpu, root_bytes = model.root_leader()
    held, hourly, daily = model.claims()
    cores, needed = model.entry_hosts_needed()
    rows = [
        "| role | state held | messages a second | processor | memory | bytes a second | mechanism |",
        "|---|---|---|---|---|---|---|",
        f"| entry host, calls ({ENTRY_HOSTS}) | queues and slots of its {SERVICES / ENTRY_HOSTS:.1f} services | "
        f"{CALLS_PER_SECOND / ENTRY_HOSTS:,.0f} calls | {CALLS_PER_SECOND / ENTRY_HOSTS * model.lines['calls'].slope / 1e4:.0f}% of a core | "
        f"64 KiB a direction and stream | callers' bodies | one owner a service, dispatcher |",
        f"| entry host, control | directory of its region, configuration | {HEARTBEATS_PER_SECOND * 2 + SERVERS / ENTRY_HOSTS * 3:.0f} | "
        f"{cpu:.2f}% of a core | {memory / 1e6:.1f} MB | {sum(parts.values()) / 1e3:.1f} KB/s | session, subscription, renewals |",
        f"| region's directory leader ({REGIONS} groups of {REGION_CONTROL_MEMBERS}) | sessions of {model.region_hosts():.0f} hosts, "
        f"{SERVERS // REGIONS:,} servers | {rate:,.0f} heartbeats | {leader_cpu:.1f}% of a core | "
        f"{(model.idle_memory + model.lines['memory_server'].slope * SERVERS / REGIONS) / 1e6:.1f} MB | {leader_bytes / 1e3:,.0f} KB/s | session table, replicated log |",
        f"| root leader (1 group of 5) | configuration | {root_rate:.1f} entries sent | {root_cpu:.3f}% of a core | "
        f"{(model.idle_memory + model.lines['memory_change'].slope * SERVICES) / 1e6:.1f} MB | {root_bytes / 1e3:.1f} KB/s | log, fan-out over the {CONTROL_HOSTS - 1} other control hosts |",
        f"| claim groups ({CLAIM_GROUPS} of 3) | {held / 1e6:,.0f} million claims in {CLAIM_MEMORY_BYTES >> 30} GiB each | "
        f"{hourly:,.0f} claims kept an hour, or {daily:,.0f} kept a day | see replication.md | {CLAIM_MEMORY_BYTES >> 30} GiB | - | sharded claims |",
        "",
        f"Entry hosts for the calls alone: {cores:,.0f} cores, {needed:,.0f} hosts of {ENTRY_CORES} cores at "
        f"{ENTRY_UTILISATION:.0%} with one failure domain lost.",
        "",
        "Bytes a second for control on an entry host: "
        + ", ".join(f"{name} {value / 1e3:.2f} KB/s" for name, value in parts.items())
        + f". With renewals straight to the owner, one every {model.renewal_interval():.1f} s fits 9 KB/s.",
    ]
    return "\n".join(rows)


def format_limits(model, added_p99):
    parts, cpu, memory = model.entry()
    control_hosts = 5 + REGIONS * REGION_CONTROL_MEMBERS + CLAIM_GROUPS * 3
    rows = [
        "| limit | computed | verdict |",
        "|---|---|---|",
        f"| 1.9% of a core a node for control | {cpu:.2f}% | {verdict(cpu, 1.9)} |",
        f"| 64 MB a node for control | {memory / 1e6:.1f} MB | {verdict(memory, 64e6)} |",
        f"| 9 KB/s a node for control | {sum(parts.values()) / 1e3:.1f} KB/s | {verdict(sum(parts.values()), 9000)} |",
        f"| at most {CONTROL_HOSTS} hosts set aside | {control_hosts} | {verdict(control_hosts, CONTROL_HOSTS)} |",
    ]
    if added_p99 is not None:
        rows.append(f"| 0.58 ms added for 99 in 100 | {added_p99:.2f} ms (processing, one hop) | {verdict(added_p99, 0.58)} |")
    return "\n".join(rows)


def replace_block(text, name, content):
    pattern = re.compile(rf"(<!-- {name}:begin -->\n).*?(<!-- {name}:end -->)", re.S)
    if not pattern.search(text):
        raise RuntimeError(f"the page has no block '{name}'")
    return pattern.sub(lambda match: match.group(1) + content + "\n" + match.group(2), text)


def main():
    build, page = sys.argv[1], sys.argv[2]
    print("capacity: in-process slopes", flush=True)
    lines, messages = run_bench(build)
    print("capacity: hosts at rest", flush=True)
    lines["leader_at_rest"], lines["entry_at_rest"], idle_memory = measure_idle(build)
    print("capacity: calls through an entry host", flush=True)
    lines["calls"] = measure_calls(build)
    model = Model(lines, messages, idle_memory)
    added = os.environ.get("LOVAGEHOLD_ADDED_P99_MS")
    with open(page, encoding="utf-8") as file:
        text = file.read()
    text = replace_block(text, "slopes", format_slopes(lines))
    text = replace_block(text, "messages", format_messages(messages))
    text = replace_block(text, "roles", format_roles(model))
    text = replace_block(text, "limits", format_limits(model, float(added) if added else None))
    with open(page, "w", encoding="utf-8") as file:
        file.write(text)
    print(f"capacity: {page} rewritten", flush=True)


if __name__ == "__main__":
    main()
