"""The only minion with a job's label goes down and up by turns, then stays up."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from platform_2 import TROUBLE, Caller, Platform, Record, asyncio, job, run_case, time

MACHINES = 10
FLAPPING_SHARE = 0.1  # srv_flap of espumarte-kcm-grown
PERIOD_S, SPAN_S = 1.4, 7.0  # gap_s, for_s
PAUSE_S = 3.0
EPISODES = 3
BOUNDS = {
    "contact_ms": 5000, "ack_ms": 8000, "drain_ms": 4000, "config_apply_ms": 4000, "recovery_s": 15,
    "stop_grace_ms": 400, "gang_timeout_ms": 4000, "cancel_ms": 4000, "notice_ms": 6500,
    "reclaim_ms": 2900,
}  # of espumarte-kcm-grown  # fmt: skip
LABEL = "a100"
JOB = "/jobs/00000000000000d1"
MAX_ATTEMPTS = 2
LATEST_END_S = 30


async def flap(platform: Platform, record: Record) -> None:
    machine = platform.machines[0]
    end = time.monotonic() + SPAN_S
    while time.monotonic() < end - PERIOD_S / 2:
        await asyncio.sleep(PERIOD_S / 2)
        name = machine.crash()
        record.write(f"minion {name} down")
        await asyncio.sleep(PERIOD_S / 2)
        await machine.boot(name)
        label(platform)
        record.write(f"minion {name} up")


def label(platform: Platform) -> None:
    platform.machines[0].worker.labels = [LABEL]


async def play(record: Record) -> list[str]:
    assert MACHINES * FLAPPING_SHARE == 1
    room = {"cpu": 64000, "mem_mb": 262144, "gpu": 8}
    async with Platform(record, vms=3, machines=MACHINES, capacity=room, bounds=BOUNDS) as platform:
        label(platform)
        await asyncio.sleep(3)
        caller = Caller(record, platform.vms[0])
        if not await caller.submit(JOB, job(8000, cpu=4000, required_label=LABEL)):
            raise RuntimeError("the job was not accepted on a quiet system")
        state = ""
        for _ in range(EPISODES if TROUBLE else 0):
            await flap(platform, record)
            state = await caller.state(JOB)
            if state == "failed":
                break
            await asyncio.sleep(PAUSE_S)
        end = time.monotonic() + LATEST_END_S
        while state not in ("completed", "failed") and time.monotonic() < end:
            await asyncio.sleep(1)
            state = await caller.state(JOB)
        caller.close()
        referee = platform.referee
        failed = max(referee.failed_ends.values(), default=0)
        if state == "failed" and failed < MAX_ATTEMPTS:
            referee.break_rule(f"LOST {JOB} is shown as failed; {failed} runs of its task ended failed")
        elif state != "completed":
            referee.break_rule(f"LOST {JOB} is {state} {LATEST_END_S} s after the last disruption")
        return referee.broken


run_case(str(pathlib.Path(__file__).resolve().parent), play)
