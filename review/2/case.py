import asyncio
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import rig

SEED = 36002
RATE = 190.0           # set-ups a second: about 50 reach the busiest border controller, up to 190 on one day
ONE_WAY_S = 0.024      # between the regions, one way
BUILD_UP_S = 20.0
WATCH_S = 12.0
RELEASED_WITHIN_S = 1.05
SIGKILL_S = 5.7        # longest deadline, at most 5 s, and 0.7 s
HOLDS = {"photo-fetch": 9.0, "verdict-set": 13.0, "batch-list": 6.0}
WAIT_MS = 3000
CONNECTIONS = 8


async def case(record, cleanups, folder):
    rng = random.Random(SEED)
    names = await rig.start_names(record)
    holds = lambda cls: rng.expovariate(1.0 / HOLDS[cls])
    servers = [await rig.CallServer(record, "cs-%d" % i, i, takes_s=0.05, holds_s=holds, quiet=True).start()
               for i in range(2)]
    ways = [await rig.Way(s, ONE_WAY_S).start() for s in servers]
    old = rig.Controller(record, names, ways)
    cleanups.append(old.stop)
    await old.start(os.path.join(folder, "old.log"))

    calls, conns, count = {}, [None] * CONNECTIONS, [0]

    def heard(conn, kind, call, cause, description):
        c = calls.get(call)
        if c is None:
            return
        if kind == rig.ANSWER:
            c["stands"] = time.time()
        elif kind == rig.RELEASE and c["stands"] is None:
            c["refused"] = cause
        elif kind == rig.RELEASE:
            c["released"] = c["released"] or time.time()
            conn.send(rig.message(rig.HEARD, call))

    async def one():
        i = rng.randrange(CONNECTIONS)
        if conns[i] is None or conns[i].closed_at is not None:
            count[0] += 1
            conns[i] = await rig.Caller(old.address, record, heard, "caller connection %d" % count[0]).open()
        call = rng.getrandbits(64) | 1
        cls = rng.choices(list(HOLDS), (0.61, 0.17, 0.22))[0]
        calls[call] = {"sent": time.time(), "stands": None, "released": None, "refused": None}
        conns[i].send(rig.set_up(call, cls, WAIT_MS, rng.randrange(2), number="%016x" % rng.getrandbits(60)))

    async def load(seconds):
        began, n = time.time(), 0
        while time.time() - began < seconds:
            await asyncio.sleep(0.003)
            while n < (time.time() - began) * RATE:
                n += 1
                await one()

    await load(BUILD_UP_S)
    stopped = time.time()
    if rig.TROUBLE:
        new = rig.Controller(record, names, ways, tmp=old.tmp, listen=old.listen)
        cleanups.append(new.stop)
        starting = asyncio.create_task(new.start(os.path.join(folder, "new.log")))
        while not starting.done():
            await load(0.05)
        starting.result()
        await load(1.0)
        stopped = time.time()
        record("SIGTERM to the old process; calls stand at the call servers: %s" % [len(s.standing) for s in servers])
        # The program itself, as the shell replaced itself by it.
        old.signal(signal.SIGTERM)
        ending = asyncio.create_task(old.process.wait())
        ending.add_done_callback(lambda _: record("the old process ended"))
    await load(WATCH_S)
    await asyncio.sleep(2.0)
    ends = {}
    for s in servers:
        ends.update({call: (at, s.name) for at, call in s.released})
    due = [(call, at, where) for call, (at, where) in ends.items()
           if call in calls and calls[call]["stands"] and stopped - 2.0 <= at <= stopped + SIGKILL_S]
    record("set-ups %d; ends that the call servers told from 2 s before SIGTERM to %.1f s after: %d"
           % (len(calls), SIGKILL_S, len(due)))
    untold = [(c, at, where) for c, at, where in due if calls[c]["released"] is None]
    late = [(c, at, where) for c, at, where in due
            if calls[c]["released"] and calls[c]["released"] - at > RELEASED_WITHIN_S]
    for c, at, where in untold + late:
        told = calls[c]["released"]
        record("call %016x: %s told its end %.1f ms after SIGTERM, its caller heard %s" % (
            c, where, (at - stopped) * 1000, told and "%.1f ms later" % ((told - at) * 1000) or "nothing"))
    ms = lambda at: "-" if at is None else "%.1f" % ((at - record.began) * 1000)
    record("each set-up: call, sent, answer, its end told by the call server, released to the caller")
    for c, call in calls.items():
        answer = "stands " + ms(call["stands"]) if call["stands"] else "cause %s" % call["refused"]
        record("%016x sent %s: %s, end told %s, released %s" % (
            c, ms(call["sent"]), answer, ms(ends[c][0]) if c in ends else "-", ms(call["released"])))
    if untold or late:
        return ["of %d calls that were over, %d were not released to their caller, %d later than 1 s"
                % (len(due), len(untold), len(late))]
    return []


rig.main(case, os.path.dirname(os.path.abspath(__file__)))
