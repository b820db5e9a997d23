import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib2"))
from deployment import TROUBLE, CannotRun, Deployment, config, run
from peers import Channel, Ended, Server, new_id

# The links of the entry hosts of fbsa-gate-grown: 2.2 Mbit/s.
FRONT_MBPS = 2.2
FRONTS = 24
READERS = 5
UPLOAD_BYTES = 24_000
LENGTH_S = 80
# garble early: seven tenths of the servers reject four tenths of the long requests before they are in.
SHARE = 0.7
REJECTED = 0.4
UPLOAD_SERVERS = 20
GAP_S = 0.02


class UploadServer(Server):
    """Takes uploads. While it is faulty, it rejects some of them before the whole body is in, and reads on."""

    rejects = False
    rejected = 0

    async def work(self, request, fields, reader, writer):
        if not self.rejects or random.random() >= REJECTED:
            return await super().work(request, fields, reader, writer)
        await reader.read(8192)
        await asyncio.sleep(random.uniform(0, 0.03))
        self.rejected += 1
        writer.write(self.answer(request, "503 Service Unavailable", b"", "Lovagehold-Not-Executed: 1\r\n"))
        await writer.drain()
        while await reader.read(65536):
            pass
        return False


async def play(record, deployment):
    await asyncio.to_thread(deployment.start)
    routes = [{"host": "yard.example", "name": "r-1", "prefix": "/survey/", "kind": "upload", "service": "box",
               "timeout": "5s", "target": "1500ms"},
              {"host": "yard.example", "name": "r-2", "prefix": "/slots/", "kind": "safe", "service": "desk",
               "timeout": "4s", "target": "600ms"}]
    while await asyncio.to_thread(deployment.put_config, deployment.controls[0],
                                  config(5, routes, ["box", "desk"])) != 200:
        await asyncio.sleep(0.2)
    uploads = [UploadServer(deployment, "box", number, slots=8, work_s=0.05) for number in range(UPLOAD_SERVERS)]
    desks = [Server(deployment, "desk", UPLOAD_SERVERS + number, slots=40, work_s=0.22) for number in range(4)]
    for number, server in enumerate(uploads):
        server.rejects = TROUBLE and number < SHARE * UPLOAD_SERVERS
    for server in uploads + desks:
        await server.start()
    end = time.monotonic() + 5
    while not all(server.registered for server in uploads + desks):
        if time.monotonic() > end:
            raise CannotRun("the servers are not registered")
        await asyncio.sleep(0.1)
    await asyncio.sleep(5)
    outcomes = {}
    cut = {front.name: [] for front in deployment.fronts}
    stop = asyncio.Event()

    def count(what):
        outcomes[what] = outcomes.get(what, 0) + 1

    async def upload(front):
        while not stop.is_set():
            channel = Channel(front.ip, deployment.front_port)
            body = os.urandom(UPLOAD_BYTES)
            try:
                await channel.open()
                head = channel.head("POST", "yard.example", "/survey/x", new_id(), 6000, ["Transfer-Encoding: chunked"])
                channel.writer.write(head + b"%x\r\n" % len(body) + body + b"\r\n0\r\n\r\n")
                await channel.writer.drain()
                status, _, _ = await asyncio.wait_for(channel.read_answer("POST"), 7)
                count(f"upload {status}")
            except (Ended, OSError, asyncio.TimeoutError) as error:
                count(f"upload {type(error).__name__}")
            finally:
                channel.close()
            await asyncio.sleep(GAP_S * random.random())

    async def read(front, number):
        channel = None
        served = 0
        while not stop.is_set():
            request_id = new_id()
            try:
                if channel is None:
                    channel = await Channel(front.ip, deployment.front_port).open()
                    served = 0
                status, fields, _ = await channel.ask("GET", "yard.example", f"/slots/{number}", request_id, 4000)
                count(f"read {status}")
                served += 1
                if fields.get("connection") == "close":
                    channel.close()
                    channel = None
            except (Ended, OSError, asyncio.TimeoutError) as error:
                count(f"read {type(error).__name__}")
                reached = any(request["id"] == request_id for server in desks for request in server.seen[-400:])
                if channel is not None and served > 0 and reached:
                    cut[front.name].append(request_id)
                if channel is not None:
                    channel.close()
                    channel = None
                await asyncio.sleep(0.2)

    record(f"{FRONTS} entry hosts; at each one caller uploads {UPLOAD_BYTES} bytes in chunks, again and again, and "
           f"{READERS} callers read on kept channels; "
           + (f"{sum(s.rejects for s in uploads)} of {UPLOAD_SERVERS} servers reject {REJECTED} of the uploads early"
              if TROUBLE else "no server rejects anything early"))
    tasks = [asyncio.create_task(upload(front)) for front in deployment.fronts]
    tasks += [asyncio.create_task(read(front, number)) for front in deployment.fronts for number in range(READERS)]
    begin = time.monotonic()
    ended = set()
    while max(len(requests) for requests in cut.values()) <= 3 and time.monotonic() - begin < LENGTH_S:
        await asyncio.sleep(0.05)
        for front in deployment.fronts:
            if front.process.poll() is not None and front.name not in ended:
                ended.add(front.name)
                record(f"{front.name} has ended by itself with code {front.process.poll()} after "
                       f"{time.monotonic() - begin:.1f} s; nothing was done to it")
    stop.set()
    await asyncio.gather(*tasks)
    record(f"uploads rejected early: {sum(s.rejected for s in uploads)}; runs: uploads "
           f"{sum(len(s.runs) for s in uploads)}, reads {sum(len(s.runs) for s in desks)}")
    record(f"outcomes: {dict(sorted(outcomes.items()))}")
    for name, requests in cut.items():
        if requests:
            record(f"{name}: {len(requests)} reads on kept channels had been passed on to sound servers and got no "
                   f"answer: {requests}")
    for server in uploads + desks:
        await server.stop()
    return not any(len(requests) > 3 for requests in cut.values())


def case(record):
    deployment = Deployment(record, controls=3, fronts=FRONTS, front_mbps=FRONT_MBPS)
    try:
        return asyncio.run(play(record, deployment))
    finally:
        deployment.stop()


sys.exit(run(FOLDER, case))
