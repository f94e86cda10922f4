"""Jobs survive overlapping series of takeovers, store faults and worker faults.

Three kcm-entry processes run on the stand-in of the users' platform. In CI:
    KCM_SOAK_SEEDS    seeds, separated by blanks (default "9 12")
    KCM_SOAK_SECONDS  how long faults last for each seed (default 20)
By hand, which prints each failing seed with its command:
    python3 Tests/System/entry_soak_test.py [BUILD] --seeds FROM TO
A seed fixes the plan of the faults and jobs; the processes' timing still varies.
The folder of a failing seed is kept, with `soak.log` and a log for each VM.
"""

import asyncio
import collections
import dataclasses
import json
import math
import os
import random
import signal
import sys
import time
import unittest
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import cluster as testing
import entry_platform
from entry_platform import API_KEY, HOST, MAX_ATTEMPTS, PREFIX, Client, EntryPlatform, EntryVm
from entry_platform import Machine, Message, Run, Worker

SEEDS = [int(seed) for seed in os.environ.get("KCM_SOAK_SEEDS", "9 12").split()]
FAULT_SECONDS = float(os.environ.get("KCM_SOAK_SECONDS", "20"))
VMS, MACHINES, CLIENTS = 3, 6, 6
MAX_HOLD_MS = 3000
ZONES = ("zone-a", "zone-b", "zone-c")
EVACUATE_MS = 5000
# Bounds, from the targets: a holder without the store renews leases for 4 s, and a
# lease, on a clock that is up to 3 % slow, then lapses within its length; 500 ms margin.
LOST_WORKER_S = 4 + 1.03 * MAX_HOLD_MS / 1000 + 0.5
# 0.9 s of silence, 2 s of watching the store by a VM that hears nobody, and the claim.
TAKEOVER_S = 4.0
# A new holder, or one that was cut off, polls all workers within this.
FIRST_POLLS_S = 2.0
# A task whose turn has come and for which there is room twice over starts within this.
IDLE_S = 3.0
# The last evacuation ends so long before the other faults, or the jobs that waited
# would prolong the soak.
BACKLOG_S = 4.0
# A holder that was frozen or cut off may have sent what arrives within this.
EXCUSED_S = 1.0
REFUSALS = (429, 503)
UNKNOWN = (502, 504)
ENDED = ("completed", "failed", "cancelled")


@dataclasses.dataclass
class Job:
    """A job as its client knows it."""

    id: str
    spec: dict[str, Any]
    statuses: list[int] = dataclasses.field(default_factory=list)  # 0: no answer
    accepted_at: float | None = None
    cancel_asked: bool = False
    shown: str = ""
    shown_at: float = 0

    def behaviour(self, step: int) -> dict[str, Any]:
        return json.loads(self.spec["task_spec"])[step]

    def tasks(self, step: int) -> list[str]:
        return [f"{self.id}.0.{step}.{i}" for i in range(self.spec["phases"][step]["count"])]

    def all_tasks(self) -> list[str]:
        return [task for step in range(len(self.spec["phases"])) for task in self.tasks(step)]


def make_job(dice: random.Random) -> Job:
    """Draws a job: single, wide, chained, a gang, one that saves or one that fails."""

    def step(count: int, ms: int, **behaviour: int) -> tuple[dict[str, Any], dict[str, Any]]:
        phase = {"count": count, "cpu": 1000, "est_runtime_ms": ms}
        if "saves" in behaviour:
            phase["saves_progress"] = True
        if "gang" in behaviour:
            phase["gang"] = True
        return phase, {"ms": ms, **behaviour}

    ms = dice.randrange(100, 2500)
    kinds = (
        lambda: [step(1, ms)],
        lambda: [step(dice.randrange(2, 5), ms)],
        lambda: [step(2, ms), step(1, 300), step(3, 400)],
        lambda: [step(1, 200), step(2, ms, gang=2)],
        lambda: [step(1, 2500, saves=1)],
        lambda: [step(1, ms, fails=dice.choice((1, 2, MAX_ATTEMPTS)))],
    )
    steps = dice.choice(kinds)()
    for number, (phase, _) in enumerate(steps[1:]):
        phase["after"] = [number]
    spec = {"task_spec": json.dumps([behaviour for _, behaviour in steps])}
    return Job(f"{dice.getrandbits(64):016x}", spec | {"phases": [phase for phase, _ in steps]})


class SoakReferee(entry_platform.Referee):
    """Checks what workers are told and clients are shown."""

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.violations: list[str] = []
        self.lines: list[str] = []
        self.began_at = time.monotonic()
        self.active: dict[str, list[tuple[Worker, int]]] = collections.defaultdict(list)
        self.done: dict[str, list[tuple[Worker, int, float]]] = collections.defaultdict(list)
        self.noted: set[tuple[str, Worker, int]] = set()
        self.noted_failures: collections.Counter[str] = collections.Counter()
        self.started_at: dict[str, list[float]] = collections.defaultdict(list)
        self.gone_at: dict[str, float] = {}
        self.saved: dict[str, set[str]] = collections.defaultdict(set)
        self.evacuated_at: dict[str, float] = {}
        # Whether the holder with a fence was frozen or cut off, and so may be late.
        self.is_excused: Callable[[int], bool] = lambda fence: False
        self.late_starts = 0

    def log(self, text: str) -> None:
        self.lines.append(f"{time.time():.3f} {time.monotonic() - self.began_at:7.3f} {text}")

    def violate(self, text: str) -> None:
        self.log(f"VIOLATION {text}")
        self.violations.append(text)

    def on_start(self, worker: Worker, run: Run, body: dict[str, Any]) -> None:
        task, now = run.task, time.monotonic()
        self.log(f"start {task} {run.attempt} at {worker.name} fence {body['fence_token']}")
        job_id, _, step, _ = task.split(".")
        job = self.jobs.get(job_id)
        if job is None or body["task_spec"] != job.spec["task_spec"]:
            self.violate(f"{task} was not asked for")
            return
        if self.active[task]:
            runs = [f"{attempt} at {other.name}" for other, attempt in self.active[task]]
            self.violate(f"{task} {run.attempt} starts at {worker.name} beside {runs}")
        if self.is_noted(task):
            self.violate(f"{task} {run.attempt} starts after its noted end as done")
        if self.noted_failures[task] >= MAX_ATTEMPTS:
            self.violate(f"{task} {run.attempt} starts after {MAX_ATTEMPTS} failures")
        if run.saved and run.saved not in self.saved[task]:
            self.violate(f"{task} {run.attempt} is given {run.saved}, which it did not save")
        for before in job.spec["phases"][int(step)].get("after", []):
            if not all(self.done[other] for other in job.tasks(before)):
                self.violate(f"{task} {run.attempt} starts before step {before} has ended")
        self.check_evacuation(worker, run, body["fence_token"])
        self.active[task].append((worker, run.attempt))
        self.started_at[task].append(now)

    def check_evacuation(self, worker: Worker, run: Run, fence: int) -> None:
        evacuated_for = time.monotonic() - self.evacuated_at.get(worker.zone, time.monotonic())
        if evacuated_for <= EVACUATE_MS / 1000:
            return
        text = f"{run.task} starts in {worker.zone}, evacuated {evacuated_for:.2f} s ago"
        if self.is_excused(fence):
            self.late_starts += 1
            self.log(f"LATE {text}")
        else:
            self.violate(text)

    def on_end(self, worker: Worker, run: Run, how: str) -> None:
        self.log(f"end {run.task} {run.attempt} at {worker.name} {how}")
        if (worker, run.attempt) in self.active[run.task]:
            self.active[run.task].remove((worker, run.attempt))
        self.gone_at[run.task] = time.monotonic()
        if run.saved:
            # What is saved between two ends is listed to the holder too.
            for ms in range(0, int(run.saved, 16) + 1, entry_platform.CHECKPOINT_MS):
                self.saved[run.task].add(f"{ms:016x}")
        if how == "done":
            self.done[run.task].append((worker, run.attempt, time.monotonic()))

    def on_noted(self, worker: Worker, run: Run, how: str) -> None:
        self.log(f"noted {run.task} {run.attempt} at {worker.name} {how}")
        if how == "failed":
            self.noted_failures[run.task] += 1
        if how != "done":
            return
        self.noted.add((run.task, worker, run.attempt))
        ended_at = next(at for w, a, at in self.done[run.task] if (w, a) == (worker, run.attempt))
        if any(at > ended_at for at in self.started_at[run.task]):
            self.violate(f"{run.task} was started after its end as done, noted later")

    def is_noted(self, task: str) -> bool:
        return any((task, worker, attempt) in self.noted for worker, attempt, _ in self.done[task])

    def on_shown(
        self, job: Job, state: str, asked_at: float, failures: collections.Counter[str]
    ) -> None:
        """Checks a state that a client was shown."""
        if job.shown in ENDED and state != job.shown and asked_at > job.shown_at:
            self.violate(f"{job.id} is shown as {state} after {job.shown}")
        missing = [task for task in job.all_tasks() if not self.done[task]]
        if state == "completed" and missing:
            self.violate(f"{job.id} is shown as completed before the end of {missing}")
        if state == "failed" and all(failures[t] < MAX_ATTEMPTS for t in job.all_tasks()):
            self.violate(f"{job.id} is shown as failed without cause")
        if state == "cancelled" and not job.cancel_asked:
            self.violate(f"{job.id} is shown as cancelled, which nobody asked for")
        if job.shown not in ENDED:
            job.shown, job.shown_at = state, time.monotonic()

    def idle_tasks(self, job: Job) -> list[str]:
        """Returns tasks whose turn has come and that neither run nor have ended."""
        return [
            task
            for step, phase in enumerate(job.spec["phases"])
            if all(self.is_noted(t) for b in phase.get("after", []) for t in job.tasks(b))
            for task in job.tasks(step)
            if not self.active[task] and not any(
                worker.alive or (task, worker, attempt) in self.noted
                for worker, attempt, _ in self.done[task]
            )
        ]  # fmt: skip

    def turn_at(self, job: Job, task: str) -> float:
        """Returns since when a task that is idle could be known to be so."""
        before = job.spec["phases"][int(task.split(".")[2])].get("after", [])
        turns = [self.gone_at[t] for b in before for t in job.tasks(b)] + [job.accepted_at or 0]
        lost = self.gone_at[task] + LOST_WORKER_S if task in self.gone_at else 0
        return max(lost, *turns)


class Soak:
    """One seed: clients and faults side by side, then the wait for all jobs' ends."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.referee = SoakReferee()
        self.platform = EntryPlatform(
            VMS, MACHINES, seed, self.referee, MAX_HOLD_MS, ZONES, EVACUATE_MS
        )
        self.referee.is_excused = self.is_excused
        self.harmed_until: dict[str, float] = {}  # VMs that were frozen or cut off
        self.log = self.referee.log
        self.ends_at = 0.0
        self.leaving: set[str] = set()  # VMs that were told to end and will start again
        self.background: set[asyncio.Task[None]] = set()
        self.counts: collections.Counter[str] = collections.Counter()

    async def run(self) -> list[str]:
        """Returns the violations."""
        try:
            async with self.platform:
                self.ends_at = time.monotonic() + FAULT_SECONDS
                plans: list[Callable[[random.Random], Awaitable[None]]] = [
                    self.take_over, self.harm_store, self.harm_workers, self.harm_workers,
                    *[self.play_client] * CLIENTS, self.evacuate,
                ]  # fmt: skip
                dice = [random.Random(f"{self.seed}/{number}") for number in range(len(plans))]
                await asyncio.gather(*(plan(d) for plan, d in zip(plans, dice, strict=True)))
                await asyncio.gather(*self.background)
                await self.wait_for_ends()
        finally:
            (self.platform.folder / "soak.log").write_text("\n".join(self.referee.lines) + "\n")
        return self.referee.violations

    def is_over(self) -> bool:
        return time.monotonic() >= self.ends_at

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self.background.add(task)

    # Faults.

    async def take_over(self, dice: random.Random) -> None:
        """Hits the holder again and again, two to four seconds apart, to the end."""
        kinds = (signal.SIGKILL, signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP)
        while not self.is_over():
            await asyncio.sleep(dice.uniform(2, 4))
            vm = self.platform.holder()
            if dice.random() < 0.2 or vm is None:
                vm = dice.choice(self.platform.vms)
            self.hit(vm, dice.choice(kinds), dice)
            reloaded = dice.choice(self.platform.vms)
            if reloaded.runs() and not reloaded.frozen and dice.random() < 0.3:
                self.log(f"fault SIGHUP {reloaded.name}")
                reloaded.send(signal.SIGHUP)
        if last := self.platform.holder():
            self.hit(last, signal.SIGKILL, dice)

    def hit(self, vm: EntryVm, how: signal.Signals, dice: random.Random) -> None:
        if not vm.runs() or vm.frozen or (vm.name in self.leaving and how != signal.SIGKILL):
            return
        self.log(f"fault {how.name} {vm.name}")
        vm.send(how)
        if how == signal.SIGSTOP:
            self.harmed_until[vm.name] = math.inf
            self.spawn(self.thaw(vm, dice.uniform(1, 4)))
        elif vm.name not in self.leaving:
            self.leaving.add(vm.name)
            self.spawn(self.restart(vm, dice.uniform(0.2, 2)))

    async def thaw(self, vm: EntryVm, delay: float) -> None:
        await asyncio.sleep(delay)
        self.log(f"fault SIGCONT {vm.name}")
        vm.send(signal.SIGCONT)
        self.harmed_until[vm.name] = time.monotonic() + EXCUSED_S

    async def restart(self, vm: EntryVm, delay: float) -> None:
        code = await vm.wait()
        if code not in (0, -signal.SIGKILL):
            self.referee.violate(f"{vm.name} ended with code {code}")
        await asyncio.sleep(delay)
        self.log(f"fault start {vm.name}")
        vm.start()
        self.leaving.remove(vm.name)

    async def harm_store(self, dice: random.Random) -> None:
        store = self.platform.store
        while not self.is_over():
            await asyncio.sleep(dice.uniform(0.5, 4))
            vm = self.platform.holder() or dice.choice(self.platform.vms)
            vm = dice.choice((vm, *self.platform.vms))
            kind = dice.choice(("down", "refuse", "silent", "lose", "lose"))
            span = dice.uniform(0.3, 3.5)
            self.log(f"fault store {kind} for {vm.name} {span:.1f} s")
            store.down = kind == "down"
            store.faults[vm.name] = "" if store.down else kind
            cut_off = [vm.name] if kind != "down" else [each.name for each in self.platform.vms]
            self.harmed_until.update(dict.fromkeys(cut_off, math.inf))
            await asyncio.sleep(span)
            self.log("fault store back")
            store.down = False
            store.faults.clear()
            for name in cut_off:
                self.harmed_until[name] = time.monotonic() + EXCUSED_S

    def is_excused(self, fence: int) -> bool:
        """Returns whether the holder of a term was just frozen or cut off from the store."""
        name = self.platform.holders.get(fence, "")
        is_frozen = any(vm.frozen for vm in self.platform.vms if vm.name == name)
        return is_frozen or self.harmed_until.get(name, 0) > time.monotonic()

    async def evacuate(self, dice: random.Random) -> None:
        """Evacuates some or all data centres, at times again at once; ends with none."""
        last_end = self.ends_at - BACKLOG_S
        while True:
            await asyncio.sleep(dice.uniform(0.3, 1.5))
            # In a shorter evacuation no start is too late.
            if time.monotonic() + EVACUATE_MS / 1000 + 1 > last_end:
                return
            zones = [*dice.sample(ZONES, dice.choice((1, 1, 2, 3))), "nowhere"]
            self.log(f"fault evacuate {zones}")
            for _ in range(dice.choice((1, 1, 2))):
                for zone in zones:
                    self.platform.return_to_service(zone)
                    self.platform.evacuate(zone)
                    self.referee.evacuated_at[zone] = time.monotonic()
                await asyncio.sleep(dice.uniform(0, 1))
            if dice.random() < 0.5:
                self.platform.delete_operator_records()
            # Longer than the bound, since only later starts are forbidden.
            span = EVACUATE_MS / 1000 + dice.uniform(1, 3)
            await asyncio.sleep(max(0, min(span, last_end - time.monotonic())))
            self.log(f"fault return {zones}")
            for zone in zones:
                del self.referee.evacuated_at[zone]
                self.platform.return_to_service(zone)

    async def harm_workers(self, dice: random.Random) -> None:
        kinds = (self.cut, self.unlist, self.lose_answers, self.crash, self.crash, self.drain)
        while not self.is_over():
            await asyncio.sleep(dice.uniform(0.5, 2.5))
            machine = dice.choice(self.platform.machines)
            busy = [m for m in self.platform.machines if m.worker and m.worker.runs]
            if busy and dice.random() < 0.7:
                machine = dice.choice(busy)
            # Two such series run at a time; the others' machines stay sound.
            if machine.worker is not None and not self.is_harmed(machine.worker):
                await dice.choice(kinds)(machine, dice)

    @staticmethod
    def is_harmed(worker: Worker) -> bool:
        return worker.cut or worker.losing or not worker.reaches_store or bool(worker.leaves_at)

    async def harm_for(self, worker: Worker, attribute: str, value: bool, span: float) -> None:
        self.log(f"fault {worker.name} {attribute}={value} for {span:.1f} s")
        setattr(worker, attribute, value)
        await asyncio.sleep(span)
        self.log(f"fault {worker.name} {attribute} back")
        setattr(worker, attribute, not value)

    async def cut(self, machine: Machine, dice: random.Random) -> None:
        assert machine.worker
        await self.harm_for(machine.worker, "cut", True, dice.uniform(0.5, 6))

    async def lose_answers(self, machine: Machine, dice: random.Random) -> None:
        assert machine.worker
        await self.harm_for(machine.worker, "losing", True, dice.uniform(0.5, 3))

    async def unlist(self, machine: Machine, dice: random.Random) -> None:
        assert machine.worker
        span = entry_platform.EXPIRES_AFTER_S + dice.uniform(0.5, 2)
        await self.harm_for(machine.worker, "reaches_store", False, span)

    async def crash(self, machine: Machine, dice: random.Random) -> None:
        is_reborn = dice.random() < 0.4
        name = machine.crash()
        self.log(f"fault {name} dies, reborn={is_reborn}")
        await asyncio.sleep(dice.uniform(0.3, 3))
        await machine.boot(name if is_reborn else "")
        self.log(f"fault {machine.worker and machine.worker.name} is born")

    async def drain(self, machine: Machine, dice: random.Random) -> None:
        assert machine.worker
        worker, span = machine.worker, dice.uniform(1, 4)
        self.log(f"fault {worker.name} drains for {span:.1f} s")
        worker.leaves_at = time.monotonic() + span
        await asyncio.sleep(span + dice.uniform(0, 0.5))
        machine.crash()
        self.platform.unlist(worker)
        self.log(f"fault {worker.name} has left")
        await asyncio.sleep(dice.uniform(0, 1))
        await machine.boot()

    # Clients.

    async def play_client(self, dice: random.Random) -> None:
        clients = [Client(vm.address("front")) for vm in self.platform.vms]
        while not self.is_over():
            await asyncio.sleep(dice.uniform(0.05, 0.9))
            accepted = [job for job in self.referee.jobs.values() if job.accepted_at]
            action = dice.random()
            if action < 0.55 or not accepted:
                await self.submit(make_job(dice), clients, dice)
            elif action < 0.92:
                await self.read(dice.choice(accepted[-30:]), dice.choice(clients))
            else:
                await self.cancel(dice.choice(accepted[-10:]), dice.choice(clients))
        for client in clients:
            client.close()

    async def call(self, client: Client, method: str, job: Job, body: Any = None) -> Message | None:
        answer = await client.call(
            method, PREFIX + job.id, body, Host=HOST, Api_Key=API_KEY, Deadline_Ms="3000"
        )
        status = answer.status if answer else 0
        self.counts[f"{method} {status}"] += 1
        self.log(f"call {method} {job.id} at {client.address} {status}")
        if status == 410:
            self.referee.violate(f"{job.id} is gone for {method} at {client.address}")
        elif status not in (0, 200, *REFUSALS, *UNKNOWN):
            self.referee.violate(f"{job.id} got {status} for {method} at {client.address}")
        return answer

    async def submit(self, job: Job, clients: list[Client], dice: random.Random) -> None:
        """Tries until the job is accepted, or gives up after some time."""
        self.referee.jobs[job.id] = job
        for _ in range(dice.choice((1, 3, 12, 12))):
            answer = await self.call(dice.choice(clients), "POST", job, job.spec)
            job.statuses.append(answer.status if answer else 0)
            if answer and answer.status == 200:
                job.accepted_at = time.monotonic()
                return
            await asyncio.sleep(dice.uniform(0.05, 0.6))

    async def read(self, job: Job, client: Client) -> None:
        asked_at = time.monotonic()
        answer = await self.call(client, "GET", job)
        if answer and answer.status == 200:
            state = answer.json()["state"]
            self.referee.on_shown(job, state, asked_at, self.platform.failures)

    async def cancel(self, job: Job, client: Client) -> None:
        job.cancel_asked = True
        await self.call(client, "DELETE", job)

    # The end.

    def owed(self) -> list[Job]:
        """Returns the accepted jobs that were not shown as ended."""
        jobs = self.referee.jobs.values()
        return [job for job in jobs if job.accepted_at and job.shown not in ENDED]

    async def wait_for_ends(self) -> None:
        """All faults are over: everything accepted ends within the bound."""
        began = time.monotonic()
        owed = self.owed()
        work_ms = sum(job.behaviour(step)["ms"] * (1 + job.behaviour(step).get("fails", 0))
                      * len(job.tasks(step))
                      for job in owed for step in range(len(job.spec["phases"])))  # fmt: skip
        slots = sum(w.capacity for w in self.platform.workers.values() if w.alive) / 1000
        longest = max((sum(job.behaviour(step)["ms"] * (1 + job.behaviour(step).get("fails", 0))
                           for step in range(len(job.spec["phases"])))
                       for job in owed), default=0)  # fmt: skip
        run_s = (longest + 2 * work_ms / slots) / 1000
        bound = TAKEOVER_S + LOST_WORKER_S + run_s + IDLE_S
        self.log(f"faults are over; {len(owed)} jobs owed, bound {bound:.1f} s")
        clients = [Client(vm.address("front")) for vm in self.platform.vms]
        idle: set[str] = set()
        while (owed := self.owed()) and time.monotonic() < began + bound:
            for job in owed:
                await self.read(job, random.choice(clients))
                self.check_idle(job, began, idle)
            await asyncio.sleep(0.1)
        for job in owed:
            self.referee.violate(
                f"{job.id} is {job.shown or 'not shown'} {bound:.1f} s after the last fault;"
                f" idle: {self.referee.idle_tasks(job)}"
            )
        self.counts["settled after ms"] = int(1000 * (time.monotonic() - began))
        for client in clients:
            client.close()
        self.check_cancelled_and_refused()

    def check_idle(self, job: Job, began: float, idle: set[str]) -> None:
        """A wait for a lost worker is not begun anew by later takeovers."""
        now = time.monotonic()
        workers = [w for w in self.platform.workers.values() if w.alive and w.leaves_at is None]
        used = sum(run.behaviour.cpu for w in workers for run in w.runs.values())
        free = sum(w.capacity for w in workers) - used
        tasks = [] if job.cancel_asked else self.referee.idle_tasks(job)
        for task in tasks:
            calm_at = max(began, self.platform.term_since) + FIRST_POLLS_S
            known_at = max(calm_at, self.referee.turn_at(job, task))
            has_failed = self.platform.failures[task] >= MAX_ATTEMPTS
            if task in idle or has_failed or free < 2000 * len(tasks) or now < known_at + IDLE_S:
                continue
            idle.add(task)
            gone = now - self.referee.gone_at.get(task, job.accepted_at or 0)
            self.referee.violate(
                f"{task} has been idle for {gone:.1f} s, {now - calm_at:.1f} s of them calm"
            )

    def check_cancelled_and_refused(self) -> None:
        for job in self.referee.jobs.values():
            is_refused = all(status in REFUSALS for status in job.statuses)
            for task in job.all_tasks():
                if is_refused and self.referee.started_at[task]:
                    self.referee.violate(f"{task} was started, but its job was always refused")
                if job.shown == "cancelled" and self.referee.active[task]:
                    self.referee.violate(f"{task} still runs, but its job was cancelled")


def play(seed: int) -> list[str]:
    """Plays one seed, prints its summary, and keeps its folder if it failed."""
    soak = Soak(seed)
    soak.platform.keeps_folder = True
    try:
        violations = asyncio.run(soak.run())
    finally:
        jobs = soak.referee.jobs.values()
        soak.counts["late starts excused"] = soak.referee.late_starts
        accepted = sum(job.accepted_at is not None for job in jobs)
        print(f"seed {seed}: {len(jobs)} jobs, {accepted} accepted, {dict(soak.counts)}", flush=True)
    if violations:
        print(f"seed {seed} FAILED; logs in {soak.platform.folder}; again:")
        print(f"  python3 {sys.argv[0]} {testing.BUILD} --seeds {seed} {seed}")
        print("".join(f"  {violation}\n" for violation in violations), flush=True)
    elif "KCM_KEEP_LOGS" not in os.environ:
        soak.platform.remove_folder()
    return violations


class EntrySoak(unittest.TestCase):
    # Guards against jobs that are lost, run twice or never end because holders change
    # faster than one of them can finish what the former has begun.
    def test_accepted_jobs_end_and_rules_hold_through_series_of_faults(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(play(seed), [])


def main() -> None:
    if "--seeds" not in sys.argv:
        testing.main()
        return
    first, last = (int(word) for word in sys.argv[sys.argv.index("--seeds") + 1 :][:2])
    failed = [seed for seed in range(first, last + 1) if play(seed)]
    print(f"{last + 1 - first} seeds, {len(failed)} failed: {failed}")
    sys.exit(bool(failed))


if __name__ == "__main__":
    main()
