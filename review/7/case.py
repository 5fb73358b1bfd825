"""One of the connections to a call server goes silent for 1.5 s. A set-up on it is called off, and the call is set up at the
same server on another connection. The late release then cuts the call that stands."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from rig import *  # noqa: E402,F403

SILENT_S = 1.5
# So often, one after the other.
ROUNDS = 4
# The end of a call that no release told is due within 8 s of it (and 50 ms).
UNTOLD_MS = 8000.0 + SLACK_MS


async def case(record, trouble):
    a, b = CallServer(record, "s-a", 0), CallServer(record, "s-b", 1)
    await a.start()
    await b.start()
    way = Proxy(record, a)
    await way.start()
    names = Names(record, [a.listed(addr=way.addr), b.listed()])
    await names.start()
    node = Node(record, names)
    chosen = set()
    try:
        await node.start()
        caller = await Caller(record).connect(node.port)
        began, next_at = now(), now() + 3000.0

        async def go_on(path):
            await asyncio.sleep(SILENT_S)
            way.go_on(path)

        async def on_new(link, attempt):
            nonlocal next_at
            # Now and then a set-up meets a full processor, where two connections are there. Its connection goes silent just
            # then.
            fresh = attempt["call"] not in chosen and len(chosen) < ROUNDS and now() >= next_at
            if fresh and len([x for x in a.links if x.open]) >= 2:
                chosen.add(attempt["call"])
                next_at = now() + 1000.0 * SILENT_S + 2000.0
                if trouble:
                    path = way.of_link(link)
                    way.silence(path)
                    a.tasks.add(asyncio.create_task(go_on(path)))
                a.refuse(link, attempt, 34, "ovl")
            else:
                await a.serve_call(link, attempt)

        a.on_new = on_new
        call = 0
        while now() - began < 3000 + ROUNDS * (1000.0 * SILENT_S + 2000.0) + 1000:
            call += 1
            caller.set_up(call, wait_ms=3000, dest=0)
            await asyncio.sleep(0.04)
        if not chosen:
            raise CannotRun("no second connection came up")
        await asyncio.sleep((UNTOLD_MS + 500.0) / 1000.0)
        breaks = []
        for cut, at in a.cut_by_peer:
            finals = caller.finals(int(cut, 16))
            # No caller of this case releases a call, so whatever was cut was cut by the border controller.
            if len(finals) == 1 and finals[0][1] == 9 and now() - at > UNTOLD_MS:
                breaks.append(f"call {cut} stood for its caller from {finals[0][0] - record.t0:.0f} on; it was over at s-a "
                              f"at {at - record.t0:.0f}, by a release from the border controller; "
                              f"{now() - at:.0f} ms later no release has come to its caller")
        return breaks
    finally:
        await node.end()
        await way.end()
        await a.end()
        await b.end()


play(case, os.path.dirname(os.path.abspath(__file__)))
