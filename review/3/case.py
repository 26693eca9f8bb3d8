"""A client cancels a submission that got no answer. The cancel is acknowledged, and the job runs afterwards."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import standins
from standins import CANCEL_MS, CONTACT_MS, STOP_MS, TROUBLE, job_body, job_id, main

# An append whose answer is lost is done 1 to 6 s later.
LATE_S = 5.5
PHASE = {"count": 2, "cpu": 2000, "memMb": 2000, "estimateMs": 30_000}


async def case(world):
    record, loop = world.record, asyncio.get_running_loop()
    job = job_id()
    disturbed = [0.0]

    async def apply_late(topic, part, records, query):
        await asyncio.sleep(LATE_S)
        await world.store.append(topic, part, records, query)
        disturbed.append(record.now())
        record.line(f"store: the append of j/{job} is done")

    async def lose(call, topic, part, records, query):
        if call == "append" and any(key == f"j/{job}".encode() for key, _, _ in records):
            world.store.trouble = None
            record.line(f"trouble: the append of j/{job} gets no answer and is done {LATE_S} s later")
            loop.create_task(apply_late(topic, part, records, query))
            raise standins.Silence
        return None

    if TROUBLE:
        world.store.trouble = lose
    await world.call("POST", job, job_body([PHASE], 30_000))
    world.store.trouble = None
    cancelled = None
    for _ in range(10):
        answer = await world.call("DELETE", job, entry=1)
        if answer is not None and answer[0] in (200, 410):
            cancelled = record.now()
            break
        await asyncio.sleep(0.3)
    if cancelled is None:
        raise standins.CannotRun("the cancel is not acknowledged")
    await asyncio.sleep(22)
    for entry in range(3):
        await world.state(job, entry=entry)
    return judge(world, job, cancelled, disturbed[-1])


def judge(world, job, cancelled, disturbed):
    """UNASKED: a machine in touch starts a task later than `cancel_ms` after the job's cancelling was acknowledged, or
    a task is at work at the end of a stretch of `cancel_ms` + `stopMs` in which the store was stable."""
    found = []
    for task, runs in world.runs.items():
        if not task.startswith(job):
            continue
        for run in runs:
            late = run.started - cancelled
            if late * 1000 > CANCEL_MS:
                found.append(f"UNASKED: {task} is started {late:.1f} s after its cancel was acknowledged")
            until = world.record.now() if run.ended is None else run.ended
            gone_by = max(cancelled, disturbed + CONTACT_MS / 1000) + (CANCEL_MS + STOP_MS) / 1000
            if until > gone_by:
                found.append(f"UNASKED: {task} is at work until {until - cancelled:.1f} s after its cancel was "
                             f"acknowledged, {until - gone_by:.1f} s after it has to be gone")
    return found


main(case)
