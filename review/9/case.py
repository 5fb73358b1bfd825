"""One of the connections to a call server goes silent for about half a second, with a refusal on its way. The refusal, late,
is taken for the end of the next attempt, and a third one goes out while that is out."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from rig import *  # noqa: E402,F403

# What a set-up waits in the line of s-a.
LINE_S = 0.2
# So often a connection goes silent, one after the other.
ROUNDS = 4


async def case(record, trouble):
    a, b = CallServer(record, "s-a", 0), CallServer(record, "s-b", 1)
    await a.start()
    await b.start()
    way = Proxy(record, a)
    await way.start()
    names = Names(record, [a.listed(addr=way.addr), b.listed()])
    await names.start()
    node = Node(record, names)
    at = {}
    try:
        await node.start()
        caller = await Caller(record).connect(node.port)

        async def go_on(path, after_s):
            await asyncio.sleep(after_s)
            if not path.passes.is_set():
                way.go_on(path)

        async def on_new(link, attempt):
            if at.get("wanted") == attempt["call"] and "path" not in at and "refused" not in at:
                # This set-up meets a full processor. Its connection goes silent just then.
                at["refused"] = now()
                if trouble:
                    at["path"] = way.of_link(link)
                    way.silence(at["path"])
                    a.tasks.add(asyncio.create_task(go_on(at["path"], 2.0)))
                a.refuse(link, attempt, 34, "ovl")
                return
            if attempt["call"] == at.get("wanted") and "path" in at:
                # It has come again. The connection goes on while it lies in the line.
                a.tasks.add(asyncio.create_task(go_on(at["path"], 0.375 * LINE_S)))
            await asyncio.sleep(LINE_S)
            if attempt["ended"] is None:
                a.answer(link, attempt)

        async def more():
            # Calls go on coming: their answers are heard on the other connections.
            nonlocal call
            await asyncio.sleep(0.04)
            for _ in range(4):
                call += 1
                caller.set_up(call, wait_ms=3000, dest=0)

        def on_held(path, data):
            if path is at.get("path") and b'"c":16' in data and at["wanted"].encode() in data:
                record(caller.name, "the release of the first attempt is held back on the silent connection")
                a.tasks.add(asyncio.create_task(more()))

        a.on_new, way.on_held = on_new, on_held
        call = 0
        for _ in range(ROUNDS):
            # Calls in good order, until two connections are there.
            until = now() + 4000.0
            while now() < until:
                call += 1
                caller.set_up(call, wait_ms=3000, dest=0)
                await asyncio.sleep(0.1)
                if len([x for x in a.links if x.open]) >= 2 and now() > until - 2500.0:
                    break
            await asyncio.sleep(0.4)
            call += 1
            at.clear()
            at["wanted"] = f"{call:016x}"
            caller.set_up(call, wait_ms=3000, dest=0)
            await asyncio.sleep(0.135)
            # The next one is answered, on another connection.
            call += 1
            caller.set_up(call, wait_ms=3000, dest=0)
            await asyncio.sleep(2.5)
        await asyncio.sleep(1.0)
        breaks = []
        for n in range(1, call + 1):
            for first, second in overlapping([a, b], f"{n:016x}"):
                # What was given up, or read too late, is left out: only attempts that their server went through with.
                if "given up" in f"{first['how']} {second['how']}":
                    continue
                names_ = [x["link"].server.name for x in (first, second)]
                ended = f"{first['ended'] - record.t0:.0f}" if first["ended"] else "never"
                breaks.append(f"call {n:016x}: an attempt reached {names_[0]} at {first['at'] - record.t0:.0f} and ended at "
                              f"{ended} ({first['how']}); the next one reached {names_[1]} at "
                              f"{second['at'] - record.t0:.0f} ({second['how']})")
        return breaks
    finally:
        await node.end()
        await way.end()
        await a.end()
        await b.end()


play(case, os.path.dirname(os.path.abspath(__file__)))
