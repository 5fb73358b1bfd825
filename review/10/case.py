"""The answer of a call is lost with its connection, and its caller is told otherwise. 4,096 calls later the call comes to
its end at its server, and the caller gets a second answer."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from rig import *  # noqa: E402,F403

LOST = 0xABCDEF
PER_S = 180.0
CALLS = 4400
HELD_MS = 32000.0


async def case(record, trouble):
    a, b = (CallServer(record, name, place, service_ms=0.5, hold_ms=500.0) for name, place in (("s-a", 0), ("s-b", 1)))
    await a.start()
    await b.start()
    names = Names(record, [a.listed(), b.listed()])
    await names.start()
    node = Node(record, names)
    stood = []
    try:
        await node.start()
        caller = await Caller(record).connect(node.port)

        async def at_a(link, attempt):
            if int(attempt["call"], 16) != LOST:
                await a.serve_call(link, attempt)
            elif not stood:
                stood.append(attempt["call"])
                await asyncio.sleep(0.05)
                if trouble:
                    # The call stands; its answer is on its way as the connection is reset.
                    link.say = lambda message: a.note("its answer is lost with the connection")
                    a.answer(link, attempt, HELD_MS)
                    link.reset()
                else:
                    a.answer(link, attempt, HELD_MS)
            else:
                a.refuse(link, attempt, 34, "ovl")

        async def at_b(link, attempt):
            if int(attempt["call"], 16) != LOST:
                await b.serve_call(link, attempt)
            else:
                b.refuse(link, attempt, 34, "ovl")

        a.on_new, b.on_new = at_a, at_b
        for call in range(1, 101):
            caller.set_up(call, wait_ms=3000, dest=call % 2)
            await asyncio.sleep(0.01)
        caller.set_up(LOST, wait_ms=3000, dest=0)
        await caller.final(LOST, 4.0)
        began = now()
        for i in range(CALLS):
            caller.set_up(101 + i, wait_ms=3000, dest=i % 2)
            await asyncio.sleep(max(0.0, began + i * 1000.0 / PER_S - now()) / 1000.0)
        record("case", f"{CALLS} calls in {now() - began:.0f} ms")
        if now() - caller.sent[LOST] > HELD_MS - 2000.0:
            raise CannotRun("the machine is too slow for this rate of calls")
        await asyncio.sleep((caller.sent[LOST] + HELD_MS + 3000.0 - now()) / 1000.0)
        finals = caller.finals(LOST)
        if not finals:
            raise CannotRun("the call got no answer at all")
        if finals[0][1] == 12 and len(finals) > 1:
            told = ", ".join(f"type {kind} cause {cause} at {at - record.t0:.0f}" for at, kind, cause, _ in finals)
            return [f"the set-up {LOST:016x} got {len(finals)} final answers: {told}"]
        return []
    finally:
        await node.end()
        await a.end()
        await b.end()


play(case, os.path.dirname(os.path.abspath(__file__)))
