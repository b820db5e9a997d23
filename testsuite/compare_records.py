#!/usr/bin/env python3
"""Compares what callers saw with what the servers ran.

usage: compare_records.py --min SERVICE=N ... --calls FILE... --runs FILE...
Checks: each successful response belongs to a run of the same request whose body arrived whole with the
same digest; no response carried the content of another request; no key was started twice; no request that
an entry host called not-run was started, under its request id and, if it was sent by one caller only, under
any; at least N requests of each service succeeded.
"""
import argparse, collections, json, sys


def lines(files):
    for name in files:
        with open(name) as file:
            for line in file:
                # A killed server may leave a part of its last line.
                if line.endswith("\n"):
                    yield json.loads(line)


parser = argparse.ArgumentParser()
parser.add_argument("--min", nargs="*", default=[])
parser.add_argument("--calls", nargs="+")
parser.add_argument("--runs", nargs="+")
options = parser.parse_args()

started, started_keys, whole = collections.Counter(), collections.Counter(), set()
request_ids = set()
for run in lines(options.runs):
    if run["event"] == "start":
        started[run["id"]] += 1
        request_ids.add(run["request_id"])
        if run["key"]:
            started_keys[run["key"]] += 1
    elif run["whole"]:
        whole.add((run["id"], run["digest"]))

faults, succeeded, outcomes = [], collections.Counter(), collections.Counter()
calls = list(lines(options.calls))
senders = collections.Counter(call["id"] for call in calls)
for call in calls:
    outcomes[call["outcome"]] += 1
    if call["outcome"] == "mismatch":
        faults.append(f"response of another request or incomplete: {call}")
    if call["outcome"] in ("ok", "stored"):
        succeeded[call["service"]] += 1
        if (call["id"], call["digest"]) not in whole:
            faults.append(f"success without a whole run: {call}")
    if call["outcome"] == "not-run" and not call["request_id"]:
        faults.append(f"not-run without a request id: {call}")
    if call["outcome"] == "not-run" and call["request_id"] in request_ids:
        faults.append(f"told not-run but this request was started: {call}")
    # The same key sent by two callers may be released for one and run for the other.
    if call["outcome"] == "not-run" and senders[call["id"]] == 1 and started[call["id"]]:
        faults.append(f"told not-run but started: {call}")
faults += [f"key started {n} times: {key}" for key, n in started_keys.items() if n > 1]
for minimum in options.min:
    service, count = minimum.split("=")
    if succeeded[service] < int(count):
        faults.append(f"{service}: {succeeded[service]} requests succeeded, expected at least {count}")
print("outcomes:", dict(outcomes), "runs:", sum(started.values()), "keys:", len(started_keys))
for fault in faults[:10]:
    print("FAULT:", fault)
sys.exit(1 if faults else 0)
