"""More than 500 tasks end on one minion while the store is down for 4.2 s."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from platform_2 import TROUBLE, Caller, Platform, Record, asyncio, job, run_case, time

JOBS, TASKS = 13, 50
TASK_MS = 9000
SUBMIT_PAUSE_S = 0.25
DOWN_S = 4.2  # platform_down, silent, of espumarte-kcm
LATEST_END_S = 60


async def play(record: Record) -> list[str]:
    room = {"cpu": 64000, "mem_mb": 262144, "gpu": 8}
    async with Platform(record, vms=3, machines=2, capacity=room) as platform:
        caller = Caller(record, platform.vms[0])
        paths = [f"/jobs/{number:016x}" for number in range(1, JOBS + 1)]
        began_at = time.monotonic()
        for path in paths:
            accepted = await caller.submit(path, job(TASK_MS, TASKS, cpu=50))
            if not accepted:
                raise RuntimeError("a job was not accepted on a quiet system")
            await asyncio.sleep(SUBMIT_PAUSE_S)
        running = [len(worker.runs) for worker in platform.workers.values()]
        record.write(f"runs on the minions: {running}")
        await asyncio.sleep(began_at + TASK_MS / 1000 - 0.3 - time.monotonic())
        if TROUBLE:
            platform.store_down(True)
        await asyncio.sleep(DOWN_S)
        if TROUBLE:
            platform.store_down(False)
        states: dict[str, str] = {}
        while time.monotonic() < began_at + LATEST_END_S:
            states = {path: await caller.state(path) for path in paths}
            if set(states.values()) == {"completed"}:
                break
            await asyncio.sleep(1)
        broken = platform.referee.broken
        record.write(f"states {states}; ends {dict(platform.referee.ends)}")
        caller.close()
        return broken


run_case(str(pathlib.Path(__file__).resolve().parent), play)
