"""What the cases 11 to 15 share: the stand-in of the platform, a record, the exit code.

A case is a coroutine that gets a `Case` and returns what broke the rule; nothing if
the rule held. It runs `target/kcm-entry` against Tests/System/entry_platform.py.
"""

import asyncio
import os
import pathlib
import signal
import sys
import time
import traceback
from collections.abc import Awaitable, Callable
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "Tests" / "System"))

import cluster  # noqa: E402
import entry_platform as ep  # noqa: E402

cluster.BUILD = ROOT / "target"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Case:
    """The record of one run, and calls of a client."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.begun = time.monotonic()
        self.file = (folder / "record.txt").open("w")

    def note(self, text: str) -> None:
        print(f"{time.monotonic() - self.begun:8.3f} {text}", file=self.file, flush=True)

    async def call(
        self, vm: ep.EntryVm, method: str, path: str, body: Any = None, timeout: float = 3.0,
        key: str = ep.API_KEY,
    ) -> ep.Message | None:
        """One call on a connection of its own."""
        client = ep.Client(vm.address("front"))
        answer = await client.call(
            method, path, body, timeout, Host=ep.HOST, Api_Key=key,
            Deadline_Ms=str(int(timeout * 1000)),
        )  # fmt: skip
        client.close()
        return answer

    async def submit(
        self, vm: ep.EntryVm, job: dict[str, Any], timeout: float = 3.0, key: str = ep.API_KEY
    ) -> int:
        """Hands a job in once; returns the status, 0 without an answer."""
        answer = await self.call(vm, "POST", ep.PREFIX + job["id"], job, timeout, key)
        status = answer.status if answer else 0
        self.note(f"submit {job['id']} to {vm.name}: {status}")
        return status

    async def state(
        self, vm: ep.EntryVm, job_id: str, key: str = ep.API_KEY
    ) -> tuple[int, str]:
        """Asks for a job's state; (0, "") without an answer."""
        answer = await self.call(vm, "GET", ep.PREFIX + job_id, key=key)
        if answer is None:
            return 0, ""
        state = answer.json().get("state", "") if answer.status == 200 else ""
        return answer.status, state


class Recorder(ep.Referee):
    """Writes all starts and ends into the record."""

    def __init__(self, case: Case) -> None:
        self.case = case

    def on_start(self, worker: ep.Worker, run: ep.Run, body: dict[str, Any]) -> None:
        self.case.note(f"start {run.task} run {run.attempt} on {worker.name}")

    def on_end(self, worker: ep.Worker, run: ep.Run, how: str) -> None:
        self.case.note(f"end {run.task} run {run.attempt} on {worker.name}: {how}")

    def on_noted(self, worker: ep.Worker, run: ep.Run, how: str) -> None:
        self.case.note(f"noted {run.task} run {run.attempt} on {worker.name}: {how}")


def main(folder: pathlib.Path, play: Callable[[Case], Awaitable[str]], limit_s: float = 110) -> None:
    """Plays a case and exits with 1 if the rule was broken, 0 if it held, 2 if it failed."""
    case = Case(folder)
    # Ends what was started, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))

    async def bounded() -> str:
        async with asyncio.timeout(limit_s):
            return await play(case)

    try:
        broken = asyncio.run(bounded())
    except Exception:
        case.note("could not run: " + traceback.format_exc())
        sys.exit(NOT_RUN)
    case.note(f"BROKEN: {broken}" if broken else "held")
    print(f"BROKEN: {broken}" if broken else "held")
    sys.exit(BROKEN if broken else HELD)
