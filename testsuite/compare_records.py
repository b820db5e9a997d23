#!/usr/bin/env python3
"""Compares the results that callers saw with the runs that the servers recorded.

usage: compare_records.py --min SERVICE=N ... --calls FILE... --runs FILE...
Checks that
- each successful response belongs to a run of the same request that received the complete body, with the same
  digest;
- no response carried the content of another request;
- no key was started twice;
- no request that an entry host reported as not-run was started under its request id, nor, if only one caller
  sent it, under any other;
- at least N requests of each service succeeded.
"""
import argparse, collections, json, sys


def read_records(files):
    for name in files:
        with open(name) as file:
            for line in file:
                # A server that was killed may have left an incomplete last line.
                if line.endswith("\n"):
                    yield json.loads(line)


parser = argparse.ArgumentParser()
parser.add_argument("--min", nargs="*", default=[])
parser.add_argument("--calls", nargs="+")
parser.add_argument("--runs", nargs="+")
options = parser.parse_args()

started, started_keys, whole = collections.Counter(), collections.Counter(), set()
request_ids = set()
for run in read_records(options.runs):
    if run["event"] == "start":
        started[run["id"]] += 1
        request_ids.add(run["request_id"])
        if run["key"]:
            started_keys[run["key"]] += 1
    elif run["whole"]:
        whole.add((run["id"], run["digest"]))

faults, succeeded, outcomes = [], collections.Counter(), collections.Counter()
calls = list(read_records(options.calls))
senders = collections.Counter(call["id"] for call in calls)
for call in calls:
    outcomes[call["outcome"]] += 1
    if call["outcome"] == "mismatch":
        faults.append(f"response belongs to another request or is incomplete: {call}")
    if call["outcome"] in ("ok", "stored"):
        succeeded[call["service"]] += 1
        if (call["id"], call["digest"]) not in whole:
            faults.append(f"success without a run that received the complete body: {call}")
    if call["outcome"] == "not-run" and not call["request_id"]:
        faults.append(f"not-run without a request id: {call}")
    if call["outcome"] == "not-run" and call["request_id"] in request_ids:
        faults.append(f"reported as not-run but started under its request id: {call}")
    # If two callers send the same key, one may be told not-run while the request of the other runs.
    if call["outcome"] == "not-run" and senders[call["id"]] == 1 and started[call["id"]]:
        faults.append(f"reported as not-run but started: {call}")
faults += [f"key started {n} times: {key}" for key, n in started_keys.items() if n > 1]
for minimum in options.min:
    service, count = minimum.split("=")
    if succeeded[service] < int(count):
        faults.append(f"{service}: {succeeded[service]} requests succeeded, expected at least {count}")
print("outcomes:", dict(outcomes), "runs:", sum(started.values()), "keys:", len(started_keys))
for fault in faults[:10]:
    print("FAULT:", fault)
sys.exit(1 if faults else 0)
