"""One of the connections to a call server goes silent for 4 s. The ends of calls that are told on it meanwhile never reach
their callers."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from rig import *  # noqa: E402,F403

SILENT_MS = 4000.0
# The end of a call that no release told is due within 8 s of it (and 50 ms).
UNTOLD_MS = 8000.0 + SLACK_MS


async def case(record, trouble):
    a, b = CallServer(record, "s-a", 0, hold_ms=5000.0), CallServer(record, "s-b", 1, hold_ms=5000.0)
    await a.start()
    await b.start()
    way = Proxy(record, a)
    await way.start()
    names = Names(record, [a.listed(addr=way.addr), b.listed()])
    await names.start()
    node = Node(record, names)
    try:
        await node.start()
        caller = await Caller(record).connect(node.port)
        began, silent_at, call = now(), None, 0
        path = None
        while now() - began < 14000:
            call += 1
            caller.set_up(call, wait_ms=3000, dest=call % 2)
            await asyncio.sleep(0.04)
            if silent_at is None and now() - began > 5000 and len([x for x in a.links if x.open]) >= 2:
                silent_at, path = now(), way.paths[0]
                if trouble:
                    way.silence(path)
            if path is not None and trouble and not path.passes.is_set() and now() - silent_at > SILENT_MS:
                way.go_on(path)
        if silent_at is None:
            raise CannotRun("no second connection came up")
        await asyncio.sleep((5000.0 + UNTOLD_MS + 500.0) / 1000.0)
        breaks = []
        for server in (a, b):
            for ended, at, _ in server.ends:
                finals = caller.finals(int(ended, 16))
                if not finals or finals[0][1] != 9:
                    continue
                released = next((f[0] for f in finals if f[1] == 12), None)
                if (released or now()) - at > UNTOLD_MS:
                    told = f"was told {released - at:.0f} ms later" if released else f"was not told in {now() - at:.0f} ms"
                    breaks.append(f"call {ended} came to its end at {server.name} at {at - record.t0:.0f}, and its caller {told}")
        return breaks
    finally:
        await node.end()
        await way.end()
        await a.end()
        await b.end()


play(case, os.path.dirname(os.path.abspath(__file__)))
