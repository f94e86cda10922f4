"""A lasting task waits for a full rack while the rest of the fleet is idle; see claim.txt."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness  # noqa: E402
from harness import TROUBLE, Case, job_of, until  # noqa: E402

MACHINES = 7  # one of them is taken away: 0.15 of all
DRAIN_S = 2.5
LEAVES_AFTER_S = 3.5
AFTER_LAST_RUN_S = 6.0
CALM_S = 4.0
IDLE_S = 3.0
CAPACITY = 4000
BUSY, CPU = 3000, 2000
JOB = "00000000000000cc"
TASK = f"{JOB}.0.0.0"
RACK = "rack-0"


def room(case: Case) -> int:
    """The number of tasks like the waiting one for which the fleet has room now."""
    workers = [m.worker for m in case.platform.machines if m.worker and m.worker.leaves_at is None]
    return sum(
        (CAPACITY - sum(run.behaviour.cpu for run in worker.runs.values())) // CPU for worker in workers
    )


async def play(case: Case) -> None:
    first = case.platform.vms[0]
    lasting = {"long_running": True, "affinity": RACK}
    rack = [m for m in case.platform.machines if m.worker and m.worker.rack == RACK]
    for number in range(len(rack) - 1):
        await case.submit(first, f"{number:016x}", job_of(600_000, phase=lasting, cpu=BUSY))
    await case.submit(first, JOB, job_of(600_000, phase=lasting, cpu=CPU))
    await until(lambda: case.recorder.active.get(TASK), "the task runs")
    worker = case.recorder.active[TASK][0][0]
    machine = next(m for m in rack if m.worker is worker)
    await asyncio.sleep(CALM_S)
    if TROUBLE:
        worker.leaves_at = time.monotonic() + DRAIN_S
        case.log(f"plan  {worker.name} in {RACK} is draining, {DRAIN_S} s are left at least")
        await asyncio.sleep(LEAVES_AFTER_S)
        machine.crash()
        case.platform.unlist(worker)
        case.log(f"plan  {worker.name} has left; there is room for {room(case)} such tasks")
        left_at = time.monotonic()
        is_calm_at = left_at + max(AFTER_LAST_RUN_S, CALM_S)
        end = left_at + 30
    else:
        left_at = is_calm_at = time.monotonic()
        end = left_at + 15
    idle_since: float | None = None
    while time.monotonic() < end:
        await asyncio.sleep(0.1)
        now = time.monotonic()
        is_idle = not case.recorder.active.get(TASK) and room(case) >= 2
        idle_since = (idle_since or now) if is_idle and now >= is_calm_at else None
        if idle_since is not None and now - idle_since >= IDLE_S:
            case.broken(
                f"{TASK} has not run for {now - left_at:.1f} s; room for {room(case)} such tasks all the while"
            )
            await case.state(first, JOB)
            return


harness.main(play, machines=MACHINES)
