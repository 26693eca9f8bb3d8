"""A task that lasts ends `done`."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
sys.dont_write_bytecode = True
import standins_2 as s

PREFIX = "/lohu930/"
# A task that lasts runs again within this time after its last run, and is looked at for 3 s more.
RESTART = 6.0
LOOK = 3.0
HOW = "done" if s.TROUBLE else "failed"


async def body(make):
    cluster = make(entries=2, agents=3, capacity=(16000, 32768), routes=[("r-9n73hh2", PREFIX)])
    for minion in cluster.minions:
        minion.demand_of = lambda task: (1000, 512)
        minion.work_of = lambda spec: None
    await cluster.begin()
    step = {"count": 3, "cpu": 1000, "memMb": 512, "longRunning": True}
    job = s.job_id()
    assert await cluster.submit(PREFIX, job, {"spec": "standing", "phases": [step]})
    await asyncio.sleep(5)
    # The program of each task ends by itself once.
    for minion in cluster.minions:
        for task in list(minion.running):
            minion.end(task, HOW)
    tasks = ["%s.0.0.%d" % (job, index) for index in range(3)]
    await asyncio.sleep(RESTART)
    idle = set(tasks)
    until = s.time.monotonic() + LOOK + 0.2
    while s.time.monotonic() < until:
        for minion in cluster.minions:
            idle -= set(minion.running)
            # Room for the task twice over, under half of the capacity in use.
            assert minion.used()[0] * 2 < minion.capacity[0]
        await asyncio.sleep(0.05)
    state = await cluster.state(PREFIX, job)
    text = "LOST: %s lasts, its job is %s and not cancelled, and it hasn't run for %g s"
    return [text % (task, state, RESTART + LOOK) for task in sorted(idle)]


s.main(FOLDER, body)
