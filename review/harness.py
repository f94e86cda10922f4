"""Runs kcm-entry on the project's stand-in of the users' platform for the review's scripts.

Each script defines `async def play(case: Case) -> None`, which calls `case.broken()` for
each breach of the rule, and ends with `harness.main(play)`. Exit codes: 1 if the rule was
broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
"""

import asyncio
import json
import os
import pathlib
import subprocess
import sys
import time
import traceback
from collections.abc import Awaitable, Callable
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "Tests" / "System"))

import entry_platform  # noqa: E402
from entry_platform import API_KEY, HOST, PREFIX, Client, EntryPlatform, EntryVm, Message  # noqa: E402
from entry_platform import Referee, Run, Worker, until  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# As on the users' sites: a heartbeat each 1.5 s, and an entry goes after three of silence.
HEARTBEAT_S = 1.5
entry_platform.EXPIRES_AFTER_S = 3 * HEARTBEAT_S
DEADLINE_S = 110
ENDED = ("completed", "failed", "cancelled")

# Settings of a small deployment, as the users' page on the settings file shows them.
SETTINGS = """\
node_name = "{name}"
role = "entry"
machine_class = "edge"
serves = ["edge","control"]
ip = "{ip}"
zone = "zone-a"
region = "region-a"
internal_ports = [7000,7015]
seeds = {seeds}
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","platform","advice","upkeep","sharing"]
control_mode = "call"
[zones]
zone-a = "region-a"
[listen]
front = "{front}"
ready = "{ready}"
control = "{control}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 4000
ack_ms = 5000
drain_ms = 2500
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2500
max_hold_ms = {max_hold_ms}
stop_grace_ms = 200
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
checkpoint_s = 0.5
restore_ms = 100
notice_ms = 5500
fencing = true
lease_ms = 3000
reclaim_ms = 2700
[platform]
address = "{store}"
form = "log"
writes_per_s = 600
reads_per_s = 2000
"""


def write_settings(vm: EntryVm, **changes: str) -> None:
    seeds = [f"{vm.platform.network}.{n}:{entry_platform.LISTEN_PORTS['control']}" for n in (1, 2, 3)]
    vm.settings.write_text(
        SETTINGS.format(
            name=vm.name, ip=vm.ip, seeds=json.dumps(seeds), store=vm.store_address,
            max_hold_ms=vm.platform.max_hold_ms,
            **{role: vm.address(role) for role in entry_platform.LISTEN_PORTS},
        )
    )  # fmt: skip


def start(vm: EntryVm) -> None:
    """Starts the process as the deploy file says: run = "target/kcm-entry"."""
    assert not vm.runs(), f"{vm.name} runs already"
    # The machines of a deployment start within 0.3 s of each other.
    time.sleep(vm.platform.dice.uniform(0, 0.06))
    environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
    environment["KINGCUPMAST_NODE_FILE"] = str(vm.settings)
    with vm.log.open("ab") as log:
        vm.process = subprocess.Popen(
            ["target/kcm-entry"], cwd=ROOT, env=environment,
            stdin=subprocess.DEVNULL, stdout=log, stderr=log,
        )  # fmt: skip
    vm.frozen = False


EntryVm.write_settings = write_settings  # type: ignore[method-assign]
EntryVm.start = start  # type: ignore[method-assign]


class Recorder(Referee):
    """Writes down what the workers run; `active` holds the runs of each task now."""

    def __init__(self, case: "Case") -> None:
        self.case = case
        self.active: dict[str, list[tuple[Worker, int]]] = {}
        self.ends: list[tuple[str, int, str]] = []

    def on_start(self, worker: Worker, run: Run, body: dict[str, Any]) -> None:
        self.case.log(f"start {run.task} run {run.attempt} at {worker.name} fence {body['fence_token']}")
        self.active.setdefault(run.task, []).append((worker, run.attempt))
        self.case.on_start(worker, run)

    def on_end(self, worker: Worker, run: Run, how: str) -> None:
        self.case.log(f"end   {run.task} run {run.attempt} at {worker.name} {how}")
        self.ends.append((run.task, run.attempt, how))
        runs = self.active.get(run.task, [])
        if (worker, run.attempt) in runs:
            runs.remove((worker, run.attempt))

    def on_noted(self, worker: Worker, run: Run, how: str) -> None:
        self.case.log(f"noted {run.task} run {run.attempt} at {worker.name} {how}")


class Case:
    """The platform, its clients, and the record of what was sent, answered and run."""

    def __init__(self, vms: int, machines: int, max_hold_ms: int) -> None:
        self.began = time.monotonic()
        self.lines: list[str] = []
        self.breaches: list[str] = []
        self.recorder = Recorder(self)
        self.platform = EntryPlatform(vms, machines, 1, self.recorder, max_hold_ms)
        self.clients: dict[str, Client] = {}
        self.on_start: Callable[[Worker, Run], None] = lambda worker, run: None

    def log(self, text: str) -> None:
        self.lines.append(f"{time.monotonic() - self.began:7.3f} {text}")

    def broken(self, text: str) -> None:
        self.log(f"BROKEN {text}")
        self.breaches.append(text)

    def client(self, vm: EntryVm) -> Client:
        return self.clients.setdefault(vm.name, Client(vm.address("front")))

    async def call(
        self, vm: EntryVm, method: str, job: str, body: Any = None, client: Client | None = None,
        key: str = API_KEY,
    ) -> Message | None:  # fmt: skip
        self.log(f"call  {method} {job} at {vm.name}")
        answer = await (client or self.client(vm)).call(
            method, PREFIX + job, body, timeout=3.2, Host=HOST, Api_Key=key, Deadline_Ms="3000"
        )
        text = f"{answer.status} {answer.body[:60].decode(errors='replace')}" if answer else "no answer"
        self.log(f"      {method} {job} at {vm.name}: {text}")
        return answer

    async def submit(self, vm: EntryVm, job: str, body: Any) -> None:
        """Hands a job in, and again at the next VM as a client does, until it is accepted."""
        for number in range(20):
            target = self.platform.vms[(self.platform.vms.index(vm) + number) % len(self.platform.vms)]
            answer = await self.call(target, "POST", job, body)
            if answer and answer.status == 200:
                return
            await asyncio.sleep(0.2)
        raise AssertionError(f"{job} was never accepted")

    async def state(self, vm: EntryVm, job: str) -> str:
        answer = await self.call(vm, "GET", job)
        if answer is None:
            return ""
        return str(answer.json()["state"]) if answer.status == 200 else str(answer.status)


def job_of(ms: int, count: int = 1, phase: dict[str, Any] | None = None, **behaviour: int) -> dict[str, Any]:
    spec = json.dumps([{"ms": ms, **behaviour}])
    cpu = behaviour.get("cpu", 1000)
    return {
        "task_spec": spec,
        "phases": [{"count": count, "cpu": cpu, "est_runtime_ms": ms, **(phase or {})}],
    }


def main(
    play: Callable[[Case], Awaitable[None]], vms: int = 3, machines: int = 4, max_hold_ms: int = 6000
) -> None:
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    case = Case(vms, machines, max_hold_ms)

    async def run() -> None:
        async with asyncio.timeout(DEADLINE_S), case.platform:
            await until(case.platform.holder, "a VM holds the term")
            case.log(f"{vms} VMs and {machines} workers run; trouble: {TROUBLE}")
            try:
                await play(case)
            finally:
                for client in case.clients.values():
                    client.close()

    code = 2
    try:
        asyncio.run(run())
        code = 1 if case.breaches else 0
    except Exception:
        case.log(traceback.format_exc())
    finally:
        case.log({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
        (folder / "record.txt").write_text("\n".join(case.lines) + "\n")
    print(f"{case.lines[-1]}; {len(case.breaches)} breaches; see {folder.name}/record.txt")
    for breach in case.breaches[:5]:
        print(f"  {breach}")
    sys.exit(code)
