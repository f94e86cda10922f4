"""Three kcm-entry processes on the stand-in of the users' platform."""

import asyncio
import json
import signal
import subprocess
import unittest

import cluster as testing
import entry_platform
from entry_platform import API_KEY, HOST, PREFIX, Client, EntryPlatform, EntryVm, Message, until

# The platform stops sending clients after two failed checks, a second apart.
READINESS_SECONDS = 1


def job_of(ms: int, count: int = 1, **behaviour: int) -> dict[str, object]:
    """A job of one step whose tasks take `ms`."""
    spec = json.dumps([{"ms": ms, **behaviour}])
    return {"task_spec": spec, "phases": [{"count": count, "cpu": 1000, "est_runtime_ms": ms}]}


async def call(client: Client, method: str, job: str, body: object = None) -> Message | None:
    return await client.call(
        method, PREFIX + job, body, Host=HOST, Api_Key=API_KEY, Deadline_Ms="3000"
    )


class Entry(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.platform = await self.enterAsyncContext(EntryPlatform(vms=3, machines=2))
        await until(self.platform.holder, "a VM holds the term")
        self.clients = {vm.name: Client(vm.address("front")) for vm in self.platform.vms}

    async def asyncTearDown(self) -> None:
        for client in self.clients.values():
            client.close()

    def holder(self) -> EntryVm:
        holder = self.platform.holder()
        self.assertIsNotNone(holder)
        return holder

    def other(self) -> EntryVm:
        """A VM that does not hold the term."""
        return next(vm for vm in self.platform.vms if vm is not self.holder())

    async def submit(self, vm: EntryVm, job: str, **spec: int) -> None:
        answer = await call(self.clients[vm.name], "POST", job, job_of(**spec))
        self.assertEqual(answer and answer.status, 200)

    async def state(self, vm: EntryVm, job: str) -> str:
        answer = await call(self.clients[vm.name], "GET", job)
        self.assertIsNotNone(answer)
        return answer.json()["state"] if answer.status == 200 else str(answer.status)

    async def wait_state(self, vm: EntryVm, job: str, state: str) -> None:
        async def is_seen() -> bool:
            return await self.state(vm, job) == state

        await until(is_seen, f"{job} is {state} at {vm.name}")

    def runs_on(self, job: str) -> list[int]:
        """Attempts of the job's tasks that run now."""
        workers = self.platform.workers.values()
        return [r.attempt for w in workers for r in w.runs.values() if r.task.startswith(job)]

    # Guards against VMs that accept work but cannot run it or see its state elsewhere.
    async def test_job_accepted_at_one_vm_runs_and_is_shown_completed_at_another(self) -> None:
        first, second, third = self.platform.vms
        await self.submit(first, "00000000000000a1", ms=300, count=3)
        await until(lambda: len(self.runs_on("00000000000000a1")) == 3, "all tasks run")
        self.assertEqual(await self.state(second, "00000000000000a1"), "running")
        await self.wait_state(second, "00000000000000a1", "completed")
        await self.wait_state(third, "00000000000000a1", "completed")

    # Guards against a resignation that drops runs, jobs or requests in flight.
    async def test_sigterm_of_holder_hands_over_with_runs_and_open_connections(self) -> None:
        holder, other = self.holder(), self.other()
        await self.submit(holder, "00000000000000b1", ms=2500)
        await until(lambda: self.runs_on("00000000000000b1"), "the task runs")
        jobs = [f"00000000000000c{number}" for number in range(8)]
        holder.send(signal.SIGTERM)
        answers = await asyncio.gather(
            *(self.submit_until_accepted(holder if n % 2 else other, job)
              for n, job in enumerate(jobs))
        )  # fmt: skip
        self.assertEqual(answers, [True] * len(jobs))
        await until(lambda: self.platform.holder() not in (None, holder), "another VM holds", 3)
        self.assertEqual(self.runs_on("00000000000000b1"), [1])
        for job in ["00000000000000b1", *jobs]:
            await self.wait_state(other, job, "completed")
        self.assertEqual(await holder.wait(), 0)

    async def submit_until_accepted(self, vm: EntryVm, job: str) -> bool:
        """Submits on a kept connection; every call has to get a complete answer."""
        client = Client(vm.address("front"))
        for _ in range(40):
            answer = await call(client, "POST", job, job_of(100))
            if answer is None:
                return False
            if answer.status == 200:
                client.close()
                return True
            self.assertIn(answer.status, (429, 503, 504))
            # A VM that drains may close the connection after a whole answer.
            await asyncio.sleep(0.05)
        return False

    # Guards against clients that are sent to a VM that is about to leave.
    async def test_readiness_check_fails_from_sigterm_to_exit(self) -> None:
        vm = self.other()
        vm.send(signal.SIGTERM)
        probe = Client(vm.address("ready"))

        async def is_refused() -> bool:
            answer = await probe.call("GET", "/-/ready")
            return answer is not None and answer.status == 503

        await until(is_refused, "the readiness check fails", READINESS_SECONDS)
        self.assertTrue(vm.runs())
        self.assertEqual(await vm.wait(), 0)

    # Guards against settings that are changed and not applied without a restart.
    async def test_changed_settings_are_applied_on_sighup_and_without_it(self) -> None:
        for number, is_signalled in enumerate((True, False)):
            with self.subTest(sighup=is_signalled):
                vm = self.other()
                former = self.platform.store_servers[vm.name]
                vm.store_address = f"{self.platform.network}.100:{7100 + number}"
                moved = self.platform.store_server(vm, vm.store_address)
                self.platform.store_servers[vm.name] = moved
                await moved.open()
                former.close()
                vm.write_settings()
                if is_signalled:
                    vm.send(signal.SIGHUP)
                # The settings file is also checked each two seconds.
                await until(lambda: moved.connections, "the new address is used", 4)
                self.platform.configure(2 + number)
                await until(lambda: f'"version":{2 + number}' in vm.log.read_text()
                            or f"version={2 + number}" in vm.log.read_text(),
                            "the configuration is read through it", 4)  # fmt: skip

    # Guards against a typing error in the settings that stops a running VM.
    async def test_bad_settings_are_rejected_by_name_while_running(self) -> None:
        vm = self.other()
        vm.settings.write_text(vm.settings.read_text().replace("max_hold_ms", "max_hold"))
        vm.send(signal.SIGHUP)
        await until(lambda: "settings_rejected" in vm.log.read_text(), "the error is logged", 4)
        self.assertIn("bounds.max_hold_ms", vm.log.read_text())
        await self.submit(vm, "00000000000000d1", ms=100)
        await self.wait_state(vm, "00000000000000d1", "completed")


class BadSettings(unittest.TestCase):
    # Guards against a start that fails without naming the key, or goes on with defaults.
    def test_bad_settings_file_gives_clear_error_and_exit_code_2(self) -> None:
        platform = EntryPlatform(vms=1, machines=0)
        self.addCleanup(asyncio.run, platform.__aexit__())
        vm = platform.vms[0]
        vm.write_settings()
        good = vm.settings.read_text()
        cases = (
            ("max_hold_ms = 3000", "", "bounds.max_hold_ms is missing"),
            ("max_hold_ms = 3000", 'max_hold_ms = "long"', "bounds.max_hold_ms in line"),
            (f"{vm.ip}:{entry_platform.LISTEN_PORTS['front']}", "nowhere", "listen.front"),
            ("[platform]", "[platform", "line"),
        )
        for old, new, error in cases:
            with self.subTest(new or f"without {old}"):
                self.assertIn(old, good)
                vm.settings.write_text(good.replace(old, new))
                command = [testing.BUILD / "kcm-entry", "--config", vm.settings]
                ended = subprocess.run(command, capture_output=True, text=True, timeout=10)
                self.assertEqual(ended.returncode, 2)
                self.assertIn(error, ended.stderr)


if __name__ == "__main__":
    testing.main()
