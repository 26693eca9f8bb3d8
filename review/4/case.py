"""A minion crashes five times. It is the only one of its kind, and one task of a job that lasts needs that kind. The job
is shown as failed, and its other tasks are stopped on sound minions, although no run has ended `failed`."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins
from standins import TROUBLE, job_id, main

# `srv_crash`: 0.14 of the minions, one of seven, for at most 4.5 s.
DOWN_S, UP_S, CRASHES = 1.0, 2.0, 5
LASTS = {"cpu": 13_000, "memMb": 26_000, "longRunning": True, "mayMiss": 1}
PHASES = [{"count": 3, "requirements": "a", **LASTS}, {"count": 1, "requirements": "b", **LASTS}]
TASKS = 4


async def case(world):
    record, minion = world.record, world.minions[0]
    job = job_id()
    await world.submit(job, PHASES, None)
    for _ in range(CRASHES):
        await asyncio.sleep(UP_S)
        if TROUBLE:
            record.line(f"trouble: minion {minion.id} crashes and is down for {DOWN_S} s")
            minion.crash()
        await asyncio.sleep(DOWN_S)
        if TROUBLE:
            await minion.start()
    # All minions are back and sound.
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


# The first minion is the one of kind b.
main(case, minions=7, kinds=["b"] + ["a"] * 6)
