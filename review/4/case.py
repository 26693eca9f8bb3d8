"""The minion that runs one task of a job that lasts crashes three times. The job is shown as failed, and its other tasks
are stopped, although no run has ended `failed`."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins
from standins import TROUBLE, job_id, main

# `srv_crash`: 0.14 of the minions, one of seven, for at most 4.5 s.
DOWN_S = 1.5
CRASHES = 3
TASKS = 4
PHASE = {"count": TASKS, "cpu": 13_000, "memMb": 26_000, "antiAffinity": 1, "longRunning": True, "mayMiss": 1}


async def case(world):
    record = world.record
    job = job_id()
    victim = f"{job}.0.0.0"
    await world.submit(job, [PHASE], None)
    crashed = 0
    until = record.now() + 25
    while record.now() < until and crashed < CRASHES:
        await asyncio.sleep(0.05)
        runs = world.runs.get(victim, [])
        run = runs[-1] if runs else None
        if TROUBLE and run and run.ended is None and record.now() - run.started > 2.0:
            crashed += 1
            record.line(f"trouble: minion {run.minion.id} crashes and is down for {DOWN_S} s")
            run.minion.crash()
            await asyncio.sleep(DOWN_S)
            await run.minion.start()
    # All minions are back; 9 s later each task has been at work again for long, if the job goes on.
    await asyncio.sleep(12)
    states = [await world.state(job, entry=entry) for entry in range(3)]
    return judge(world, job, states)


def judge(world, job, states):
    """LOST: a job that nobody has cancelled is shown as `failed` without cause: only ends `failed` count as attempts."""
    runs = [run for task, runs in world.runs.items() if task.startswith(job) for run in runs]
    ends = sorted(f"{run.how}" for run in runs if run.ended is not None)
    at_work = sum(run.ended is None for run in runs)
    world.record.line(f"shown as {states}; {at_work} of {TASKS} tasks are at work; ends: {ends}")
    if "failed" in states and "failed" not in ends:
        return [f"LOST: the job is shown as {states}, and nobody has cancelled it; its runs ended {ends}, none of them "
                f"failed; {at_work} of {TASKS} tasks are at work"]
    if states != ["running"] * 3:
        raise standins.CannotRun(f"the job is shown as {states}")
    return []


main(case, minions=7)
