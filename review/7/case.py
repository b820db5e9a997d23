import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib2"))
from deployment import TROUBLE, CannotRun, Deployment, config, run
from peers import Channel, Ended, Server, new_id, read_body, read_head

FRONTS = 3
READERS = 10
# garble: x of the answers of a share (0.5) of a service's servers are spoilt.
SPOILT = 0.02
BOX_SERVERS = 6
FAULTY_SERVERS = 3
LENGTH_S = 40
RESTART_S = 0.5
LENGTH = 9223372036854775807


class FaultyServer(Server):
    """Truncates one in fifty of its answers, those to status checks included: their head gives 2^63 - 1 as the length
    (the largest signed number of 64 bits), then come a few bytes of the body, then the channel ends."""

    faulty = False
    spoilt = 0

    async def serve(self, reader, writer):
        if not self.faulty or random.random() >= SPOILT:
            return await super().serve(reader, writer)
        head = await read_head(reader)
        if head is None:
            return False
        await read_body(reader, head[1])
        self.spoilt += 1
        writer.write((f"HTTP/1.1 200 OK\r\nLovagehold-Instance-Id: {self.id}\r\nLovagehold-Request-Id: "
                      f"{head[1].get('lovagehold-request-id', '')}\r\nLovagehold-Server-Load: {self.load()}\r\n"
                      f"Content-Length: {LENGTH}\r\n\r\nbytes").encode())
        await writer.drain()
        return False


async def play(record, deployment):
    await asyncio.to_thread(deployment.start)
    routes = [{"host": "yard.example", "name": "r-1", "prefix": "/survey/", "kind": "unsafe", "service": "box",
               "timeout": "2500ms", "target": "800ms"},
              {"host": "yard.example", "name": "r-2", "prefix": "/slots/", "kind": "safe", "service": "desk",
               "timeout": "2500ms", "target": "600ms"}]
    while await asyncio.to_thread(deployment.put_config, deployment.controls[0],
                                  config(5, routes, ["box", "desk"])) != 200:
        await asyncio.sleep(0.2)
    boxes = [FaultyServer(deployment, "box", number, slots=8) for number in range(BOX_SERVERS)]
    desks = [Server(deployment, "desk", BOX_SERVERS + number, slots=20, work_s=0.22) for number in range(4)]
    for server in boxes + desks:
        await server.start()
    end = time.monotonic() + 5
    while not all(server.registered for server in boxes + desks):
        if time.monotonic() > end:
            raise CannotRun("the servers are not registered")
        await asyncio.sleep(0.1)
    await asyncio.sleep(5)
    outcomes = {}
    cut = {front.name: 0 for front in deployment.fronts}
    ends = {front.name: [] for front in deployment.fronts}
    touch = {front.name: True for front in deployment.fronts}
    stop = asyncio.Event()

    def count(what):
        outcomes[what] = outcomes.get(what, 0) + 1

    async def ask_again(front, target, method):
        channel = None
        served = 0
        while not stop.is_set():
            request_id = new_id()
            try:
                if channel is None:
                    channel = await Channel(front.ip, deployment.front_port).open()
                    served = 0
                status, fields, _ = await channel.ask(method, "yard.example", target, request_id, 3000)
                count(f"{target[1:4]} {status}")
                served += 1
                if fields.get("connection") == "close":
                    channel.close()
                    channel = None
            except (Ended, OSError, asyncio.TimeoutError) as error:
                count(f"{target[1:4]} {type(error).__name__}")
                reached = any(request["id"] == request_id for server in desks for request in server.seen[-400:])
                # Counts only until the first end of a process, since a start by the platform ends being in touch.
                if channel is not None and served > 0 and reached and touch[front.name]:
                    cut[front.name] += 1
                if channel is not None:
                    channel.close()
                    channel = None
                await asyncio.sleep(0.2)
            await asyncio.sleep(random.uniform(0, 0.1))

    record(f"{FRONTS} entry hosts; at each, {READERS} callers read from sound servers of one service on kept channels, "
           "and two callers post to another service; "
           + (f"{FAULTY_SERVERS} of {BOX_SERVERS} servers of that one truncate {SPOILT} of their answers, from 3 s on" if TROUBLE
              else "all servers are sound"))
    tasks = [asyncio.create_task(ask_again(front, f"/slots/{number}", "GET"))
             for front in deployment.fronts for number in range(READERS)]
    tasks += [asyncio.create_task(ask_again(front, "/survey/1", "POST")) for front in deployment.fronts for _ in "ab"]
    await asyncio.sleep(3)
    for server in boxes[:FAULTY_SERVERS]:
        server.faulty = TROUBLE
    begin = time.monotonic()
    down = {}
    while time.monotonic() - begin < LENGTH_S and min(len(times) for times in ends.values()) < 3:
        await asyncio.sleep(0.02)
        for front in deployment.fronts:
            now = time.monotonic()
            if front.name not in down and front.process.poll() is not None:
                ends[front.name].append(round(now - begin, 1))
                record(f"{front.name} has ended by itself with code {front.process.poll()}; nothing was done to it")
                down[front.name] = now
            elif front.name in down and now - down[front.name] >= RESTART_S:
                touch[front.name] = False
                del down[front.name]
                front.start()
    stop.set()
    await asyncio.gather(*tasks)
    record(f"truncated answers: {sum(server.spoilt for server in boxes)}")
    record(f"outcomes: {dict(sorted(outcomes.items()))}")
    record(f"processes ended by themselves, s after the first possible fault: {ends}")
    record(f"requests on kept channels that had been passed on to sound servers and got no answer, at the first end "
           f"of each: {cut}")
    for server in boxes + desks:
        await server.stop()
    lost = any(number > 3 for number in cut.values())
    fault = sum(len(times) >= 3 for times in ends.values()) >= 2
    record(f"LOST: {'broken' if lost else 'held'}; three ends on a tenth of the machines, two at least (Fault): "
           f"{'yes' if fault else 'no'}")
    return not lost


def case(record):
    deployment = Deployment(record, controls=3, fronts=FRONTS)
    try:
        return asyncio.run(play(record, deployment))
    finally:
        deployment.stop()


sys.exit(run(FOLDER, case))
