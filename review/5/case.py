"""The number of pending jobs leaves out jobs whose starts were refused; see claim.txt."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness  # noqa: E402
from harness import TROUBLE, Case, Message, Worker, job_of, until  # noqa: E402

MACHINES = 7  # one of them is sick: 0.15 of all
SICK_S = 6.5
WAITING = 24
VISIBLE_S = 3.0  # visible_ms
OLD_S = 2.0
PREFIX_CALL = ""  # a GET of the queue itself


def refuse_starts(worker: Worker) -> None:
    """The worker answers starts with 503, which do nothing, and all else as usual."""
    sound = worker.answer

    async def answer(request: Message) -> Message | None:
        if request.path == "/-/run-start":
            return harness.entry_platform.reply(503, clock_ms=worker.clock_ms())
        return await sound(request)

    worker.answer = answer  # type: ignore[method-assign]


async def play(case: Case) -> None:
    first = case.platform.vms[0]
    for number in range(MACHINES):
        await case.submit(first, f"{number:016x}", job_of(60_000, cpu=4000))
    await until(
        lambda: all(m.worker and m.worker.runs for m in case.platform.machines), "all workers are full"
    )
    # The job on one worker is cancelled, so that there is room for all that is handed in.
    worker = case.platform.machines[0].worker
    if TROUBLE:
        case.log(f"fault {worker.name} refuses all starts for {SICK_S} s")
        refuse_starts(worker)
    sick_until = time.monotonic() + SICK_S
    await case.call(first, "DELETE", next(iter(worker.runs)).split(".")[0])
    waiting = [f"{0xA00 + number:016x}" for number in range(WAITING)]
    for job in waiting:
        await case.submit(first, job, job_of(60_000, cpu=150))
    accepted_at = time.monotonic()
    while time.monotonic() < sick_until:
        await asyncio.sleep(0.25)
        asked_at = time.monotonic()
        begun = {task.split(".")[0] for task, runs in case.recorder.active.items() if runs}
        missing = [job for job in waiting if job not in begun]
        for vm in case.platform.vms:
            answer = await case.call(vm, "GET", PREFIX_CALL)
            if answer is None or answer.status != 200:
                continue
            pending = answer.json()["pending"]
            if asked_at > accepted_at + VISIBLE_S + OLD_S and 2 * pending < len(missing):
                case.broken(f"{vm.name} says {pending} jobs are pending; {len(missing)} have not begun")
    await case.state(first, waiting[0])


harness.main(play, machines=MACHINES)
