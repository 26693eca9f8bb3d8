"""The answer to the append of an end is lost, so that the end is recorded twice, and later the entries are restarted in
turn. A task is started once more after three of its runs have failed."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins
from standins import TROUBLE, job_id, main

MAX_ATTEMPTS = 3
PHASE = {"count": 1, "cpu": 2000, "memMb": 2000, "estimateMs": 10_000}
# How long each run takes before it fails, by its number.
RUNS_MS = [300, 300, 25_000, 300]


async def case(world):
    record, loop = world.record, asyncio.get_running_loop()
    job = job_id()
    first_end = f"e/{job}.0.0.0/1".encode()

    async def lose(call, topic, part, records, query):
        if call == "append" and any(key == first_end for key, _, _ in records):
            world.store.trouble = None
            await world.store.append(topic, part, records, query)
            record.line("trouble: the append of the first end is done, and its answer is lost")
            raise standins.Silence
        return None

    if TROUBLE:
        world.store.trouble = lose
    await world.submit(job, [PHASE], RUNS_MS, how="failed")
    await asyncio.sleep(5)
    if TROUBLE:
        for entry in world.entries:
            record.line(f"trouble: {entry.name} gets SIGTERM and is started again")
            entry.signal(signal.SIGTERM)
            while entry.process.poll() is None:
                await asyncio.sleep(0.05)
            entry.start()
            await asyncio.sleep(2.0)
    await asyncio.sleep(20 if TROUBLE else 30)
    states = [await world.state(job, entry=entry) for entry in range(3)]
    return judge(world, job, states)


def judge(world, job, states):
    """BUDGET: a start after `maxAttempts` runs of the task have ended `failed`, if these ends are taken note of."""
    runs = world.runs.get(f"{job}.0.0.0", [])
    world.record.line(f"shown as {states}; runs: {[(run.number, run.how, run.noted is not None) for run in runs]}")
    if len(runs) < MAX_ATTEMPTS:
        raise standins.CannotRun(f"{len(runs)} runs only")
    found = []
    for run in runs:
        failed = [other for other in runs if other.how == "failed" and other.ended < run.started
                  and other.noted is not None and not other.lapsed_between]
        if len(failed) >= MAX_ATTEMPTS:
            found.append(f"BUDGET: run {run.number} is started after {len(failed)} runs have ended failed, and maxAttempts "
                         f"is {MAX_ATTEMPTS}")
    return found


main(case)
