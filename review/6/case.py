"""A start is on its way when the agent takes the lease of a silent worker for lapsed."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
sys.dont_write_bytecode = True
import standins_2 as s

PREFIX = "/lohu930/"
# Time from the beginning of the outage from which on the worker leaves its calls without an answer.
SILENT_FROM = 4.65
# Time from the first of these calls, a /hold, to the end of the outage. The call is given up after 1.2 s.
RETURN_AFTER = 1.15
# Time for which the worker answers nothing.
MUTE = 2.5


async def body(make):
    cluster = make(entries=2, agents=11, capacity=(16000, 65536), routes=[("r-3hwrr6x", PREFIX)])
    first, *others = cluster.minions
    for minion in cluster.minions:
        minion.demand_of = lambda task: (500, 16)
        minion.work_of = lambda spec: 2.0
    await cluster.begin()
    step = {"count": 1, "cpu": 500, "memMb": 16, "estimateMs": 2000}
    calls = set()

    async def submit(seconds, until=lambda: False):
        """Submits a small job each 50 ms."""
        end = s.time.monotonic() + seconds
        while s.time.monotonic() < end and not until():
            job = {"spec": "plain", "phases": [step]}
            call = asyncio.create_task(cluster.call("POST", PREFIX, s.job_id(), job))
            calls.add(call)
            call.add_done_callback(calls.discard)
            await asyncio.sleep(0.05)

    at_once = {}

    async def look():
        while True:
            for task in first.running:
                again = [other.running[task] for other in others if task in other.running]
                if again and task not in at_once:
                    runs = first.running[task].number, again[0].number
                    at_once[task] = runs
                    cluster.record.line("%s: runs %d and %d at the same time" % ((task,) + runs))
            await asyncio.sleep(0.01)

    looking = asyncio.create_task(look())
    await submit(1.5)
    if s.TROUBLE:
        place = cluster.store.orders_of(first.id)
        cluster.store.silent[place] = asyncio.Event()
        began = s.time.monotonic()
        cluster.record.line("store: partition %s of %s is silent" % (place[1], place[0]))
        held = []

        def called(target):
            late = s.time.monotonic() > began + SILENT_FROM
            if target == "/hold" and late and not held:
                held.append(s.time.monotonic())
                first.mute = True
                cluster.record.line("%s carries out its calls and answers none" % first.id)

        first.called = called
        await submit(10, until=lambda: held)
        await submit(held[0] + RETURN_AFTER - s.time.monotonic())
        cluster.store.silent.pop(place).set()
        cluster.record.line("store: it answers again after %.1f s" % (s.time.monotonic() - began))
    await submit(MUTE)
    first.mute = False
    await asyncio.sleep(5)
    looking.cancel()
    text = "TWICE: %s was at work on two workers at the same time, runs %d and %d"
    return [text % ((task,) + runs) for task, runs in sorted(at_once.items())]


s.main(FOLDER, body)
