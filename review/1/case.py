"""A draining worker that is cut off keeps its run while a second one is started; see claim.txt."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness  # noqa: E402
from harness import TROUBLE, Case, Run, Worker, job_of, until  # noqa: E402

MACHINES = 7  # one of them drains and is cut: less than 0.15 of all
DRAIN_S = 2.5
CUT_AFTER_S = 1.0
CUT_S = 5.0
TASK_MS = 150_000
JUST_BEGUN_S = 0.2
STAYS_S = 10.0  # a worker serves on after its drain, at times for many seconds
JOB = "00000000000000bb"
TASK = f"{JOB}.0.0.0"


def list_workers(case: Case) -> None:
    """Lists the workers: each writes its entry when its state changes, and each heartbeat."""
    platform, now = case.platform, time.monotonic()
    for worker in platform.workers.values():
        told = getattr(worker, "told_draining", None)
        is_due = told is not bool(worker.leaves_at) or now - worker.heard_at >= harness.HEARTBEAT_S
        if worker.alive and not worker.cut:
            if is_due:
                worker.heard_at, worker.told_draining = now, bool(worker.leaves_at)
                worker.entry = worker.listing()
                platform.store.topics[harness.entry_platform.FLEET_TOPIC].put(worker.name, worker.entry)
        elif worker.entry and now - worker.heard_at > harness.entry_platform.EXPIRES_AFTER_S:
            case.log(f"the store drops the entry of {worker.name}")
            platform.unlist(worker)


async def reset_connections(case: Case, machine: harness.entry_platform.Machine, end: float) -> None:
    """Resets the open connections, and each new one that gets a request."""
    while time.monotonic() < end:
        for writer in list(machine.server.connections):
            writer.transport.abort()
        await asyncio.sleep(0.01)


async def play(case: Case) -> None:
    first = case.platform.vms[0]

    def on_start(worker: Worker, run: Run) -> None:
        there = [f"run {n} at {w.name}" for w, n in case.recorder.active[run.task] if w.alive]
        if run.task == TASK and len(there) > 1:
            case.broken(f"{TASK} runs twice: {', '.join(there)}")

    case.on_start = on_start
    case.platform._list_workers = lambda: list_workers(case)
    await case.submit(first, JOB, job_of(TASK_MS))
    await until(lambda: case.recorder.active.get(TASK), "the task runs")
    await asyncio.sleep(JUST_BEGUN_S)
    worker = case.recorder.active[TASK][0][0]
    machine = next(m for m in case.platform.machines if m.worker is worker)
    began = time.monotonic()
    worker.leaves_at = began + DRAIN_S
    case.log(f"plan  {worker.name} is draining, {DRAIN_S} s are left at least")
    await asyncio.sleep(CUT_AFTER_S)
    if TROUBLE:
        case.log(f"fault {worker.name} is cut off for {CUT_S} s, with resets; it runs on")
        worker.cut = True
        await reset_connections(case, machine, time.monotonic() + CUT_S)
        worker.cut = False
        case.log(f"fault the cut of {worker.name} is over")
    await asyncio.sleep(max(0, began + STAYS_S - time.monotonic()))
    machine.crash()
    case.platform.unlist(worker)
    case.log(f"plan  {worker.name} has left")
    await until(lambda: case.recorder.active.get(TASK), "the task runs elsewhere", 20)


harness.main(play, machines=MACHINES)
