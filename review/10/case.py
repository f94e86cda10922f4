"""A tenant uses a new key at an entry VM that has just been frozen, on a public route."""

import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from platform_2 import KEY, TENANT, TROUBLE, Caller, Platform, Record, asyncio, job, queue, run_case, time

VMS = 9
FREEZE_SHARE, FREEZE_S = 0.11, 3.5  # node_freeze of espumarte-kcm
CHANGE_AFTER_S = 1.6  # into the freeze
VISIBLE_S = 3.0  # bounds.visible_ms
CONTACT_S = 4.0  # bounds.contact_ms
NEW_KEY = "lab-key-2"
JOB = "/open/00000000000000f1"


async def play(record: Record) -> list[str]:
    assert round(VMS * FREEZE_SHARE) == 1
    room = {"cpu": 64000, "mem_mb": 262144, "gpu": 8}
    routes = [queue("open", "/open/", public=True), queue("private", "/jobs/")]
    async with Platform(record, vms=VMS, machines=2, capacity=room, queues=routes) as platform:
        await asyncio.sleep(3)
        holder = platform.holder()
        vm = next(vm for vm in platform.vms if vm is not holder)
        calm = next(other for other in platform.vms if other not in (vm, holder))
        caller = Caller(record, vm, KEY)
        # The connection is open before the freeze, as that of a client that was there.
        await caller.call("GET", "/open/")
        began_at = time.monotonic()
        if TROUBLE:
            vm.send(signal.SIGSTOP)
            record.write(f"{vm.name} stopped")
        await asyncio.sleep(CHANGE_AFTER_S)
        platform.tenants = [{"name": TENANT, "api_keys": [KEY, NEW_KEY], "guaranteed": {"gpu": 8}}]
        platform.configure()
        await asyncio.sleep(0.2)
        # The store has acknowledged the version with the new key.
        caller.key = NEW_KEY
        submission = asyncio.create_task(caller.submit(JOB, job(2000, 2)))
        await asyncio.sleep(max(0, began_at + FREEZE_S - time.monotonic()))
        if TROUBLE:
            vm.send(signal.SIGCONT)
            record.write(f"{vm.name} continued")
        if not await submission:
            raise RuntimeError("the job was not accepted")
        await asyncio.sleep(max(VISIBLE_S, CONTACT_S) + 0.5)
        referee = platform.referee
        # The first two were not touched, and all three have the version with the key.
        for at in (calm, holder, vm):
            reader = Caller(record, at, NEW_KEY)
            state = await reader.state(JOB)
            if state == "410":
                referee.break_rule(f"LOST {JOB} is answered 410 to its caller at {at.name}")
            elif state != "completed":
                raise RuntimeError(f"the state could not be read: {state}")
            reader.close()
        caller.close()
        return referee.broken


run_case(str(pathlib.Path(__file__).resolve().parent), play)
