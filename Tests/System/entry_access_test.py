"""Who may read, cancel and repeat a job, at each of three kcm-entry processes."""

import asyncio
import json
import signal
import unittest
from typing import Any

import cluster as testing
from entry_platform import HOST, Client, EntryPlatform, EntryVm, route_of, until

OPEN, JOBS = "/jobs/open/", "/jobs/"  # a public route within a private one
PARKS, ROADS = "key-parks", "key-roads"
KEYS = {"parks": [PARKS], "roads": [ROADS]}
ROUTES = [route_of("open", OPEN, public=True), route_of("jobs", JOBS)]
PAUSE_S = 2.0  # longer than the configuration counts as confirmed
RUN_MS = 30000  # longer than a test
JOB: dict[str, Any] = {
    "task_spec": json.dumps([{"ms": RUN_MS, "cpu": 100}]),
    "phases": [{"count": 1, "cpu": 100, "est_runtime_ms": RUN_MS}],
}


class EntryAccess(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.platform = await self.enterAsyncContext(EntryPlatform(vms=3, machines=2))
        await until(self.platform.holder, "a VM holds the term")
        self.configure(2, ROUTES, KEYS)
        for vm in self.platform.vms:
            await until(lambda vm=vm: self.has_routes(vm, 2), f"{vm.name} has the routes")

    def configure(self, version: int, routes: list[dict[str, Any]], keys: dict[str, list[str]]) -> None:
        self.platform.configure(version, routes, keys)

    @staticmethod
    def has_routes(vm: EntryVm, version: int) -> bool:
        text = vm.log.read_text()
        return f'"version":{version}' in text or f"version={version}" in text

    async def status(self, vm: EntryVm, method: str, path: str, key: str | None) -> int:
        """Returns the status of a call on a connection of its own; zero without an answer."""
        client = Client(vm.address("front"))
        headers = {"Host": HOST, "Deadline_Ms": "3000"} | ({"Api_Key": key} if key else {})
        answer = await client.call(method, path, JOB if method == "POST" else None, **headers)
        client.close()
        return answer.status if answer else 0

    async def sees(self, vm: EntryVm, path: str, key: str | None) -> bool:
        return await self.status(vm, "GET", path, key) == 200

    async def check(self, cases: tuple[tuple[str, str, str | None, int], ...]) -> None:
        """Makes each call at each VM that runs, and compares the statuses."""
        for vm in self.platform.vms:
            for method, path, key, expected in cases if vm.runs() else ():
                with self.subTest(f"{method} {path} with {key} at {vm.name}"):
                    self.assertEqual(await self.status(vm, method, path, key), expected)

    # Guards against a stranger who ends a client account's job: a call without a key through
    # a public route read and cancelled the jobs of all queues and accounts.
    # Guards also against an accepted job that is hidden from its caller: on a public queue a
    # caller with a key was told that a job handed in without one does not exist.
    async def test_job_is_shown_to_callers_of_its_queue_and_account_only(self) -> None:
        first = self.platform.vms[0]
        private, keyless, keyed = (f"{number:016x}" for number in (1, 2, 3))
        for path, key in ((JOBS + private, PARKS), (OPEN + keyless, None), (OPEN + keyed, PARKS)):
            self.assertEqual(await self.status(first, "POST", path, key), 200)
        cases = (
            ("GET", OPEN + private, None, 410),
            ("DELETE", OPEN + private, None, 410),
            ("POST", OPEN + private, None, 409),
            ("GET", OPEN + private, PARKS, 410),
            ("GET", JOBS + private, ROADS, 410),
            ("DELETE", JOBS + private, ROADS, 410),
            ("POST", JOBS + private, ROADS, 409),
            ("GET", JOBS + keyless, PARKS, 410),
            ("GET", JOBS + private, None, 401),
            ("GET", JOBS + private, PARKS, 200),
            ("POST", JOBS + private, PARKS, 200),
            ("GET", OPEN + keyless, None, 200),
            ("GET", OPEN + keyless, PARKS, 200),
            ("GET", OPEN + keyed, None, 200),
            ("GET", OPEN + keyed, ROADS, 200),
        )
        await self.check(cases)
        holder = self.platform.holder()
        await holder.kill()
        for other in (vm for vm in self.platform.vms if vm.runs()):
            await until(lambda vm=other: self.sees(vm, JOBS + private, PARKS), f"{other.name} reads")
        self.assertNotIn(self.platform.holder(), (None, holder))
        await self.check(cases)
        for other in (vm for vm in self.platform.vms if vm.runs()):
            self.assertEqual(await self.status(other, "DELETE", JOBS + private, PARKS), 200)

    # Guards against a job that its caller cannot reach any more after a change of its route.
    async def test_job_stays_with_its_queue_when_the_route_changes(self) -> None:
        first = self.platform.vms[0]
        keyless, keyed = (f"{number:016x}" for number in (4, 5))
        self.assertEqual(await self.status(first, "POST", OPEN + keyless, None), 200)
        self.assertEqual(await self.status(first, "POST", JOBS + keyed, PARKS), 200)
        # The public queue becomes private and the other way round; both are moved.
        routes = [route_of("open", "/was-open/"), route_of("jobs", "/was-jobs/", public=True)]
        self.configure(3, routes, KEYS)
        for vm in self.platform.vms:
            await until(lambda vm=vm: self.has_routes(vm, 3), f"{vm.name} has the routes")
        await self.check(
            (
                ("GET", "/was-open/" + keyless, None, 401),
                ("GET", "/was-open/" + keyless, ROADS, 200),
                ("GET", "/was-jobs/" + keyed, None, 200),
                ("GET", "/was-jobs/" + keyless, None, 410),
                ("GET", JOBS + keyed, PARKS, 404),
            )
        )


    # Guards against calls by a key that no configuration holds: on a public queue it counted
    # as none, and the job ran.
    async def test_unknown_key_is_refused_on_a_public_queue(self) -> None:
        job = f"{6:016x}"
        await self.check(
            (
                ("POST", OPEN + job, "key-of-nobody", 401),
                ("GET", OPEN + job, "key-of-nobody", 401),
                ("DELETE", OPEN + job, "key-of-nobody", 401),
                ("GET", OPEN, "key-of-nobody", 401),
                ("GET", OPEN, None, 200),
                ("GET", OPEN + job, None, 410),
            )
        )

    # Guards against a VM that answers by a configuration from before it was paused: a new key
    # counted as unknown there, which is final for its caller.
    async def test_woken_vm_reads_the_configuration_before_it_refuses_a_key(self) -> None:
        for number, prefix in enumerate((OPEN, JOBS)):
            with self.subTest(prefix):
                await self.check_new_key_at_woken_vm(3 + number, prefix + f"{7 + number:016x}")

    async def check_new_key_at_woken_vm(self, version: int, path: str) -> None:
        vm = next(vm for vm in self.platform.vms if vm is not self.platform.holder())
        key = f"key-{version}"
        vm.send(signal.SIGSTOP)
        await asyncio.sleep(PAUSE_S)
        self.configure(version, ROUTES, {"parks": [PARKS, key], "roads": [ROADS]})
        call = asyncio.create_task(self.status(vm, "POST", path, key))
        await asyncio.sleep(0.2)
        vm.send(signal.SIGCONT)
        self.assertEqual(await call, 200)
        for other in self.platform.vms:
            await until(lambda vm=other: self.has_routes(vm, version), f"{other.name} has the routes")
            self.assertEqual(await self.status(other, "GET", path, key), 200)

    # Guards against work that runs by a permission from before a pause: a key that was withdrawn
    # meanwhile, and a queue that is no longer public.
    async def test_woken_vm_serves_no_call_by_the_configuration_from_before(self) -> None:
        vm = next(vm for vm in self.platform.vms if vm is not self.platform.holder())
        vm.send(signal.SIGSTOP)
        await asyncio.sleep(PAUSE_S)
        self.configure(3, [route_of("open", OPEN), route_of("jobs", JOBS)], {"roads": [ROADS]})
        calls = [
            asyncio.create_task(self.status(vm, "POST", path, key))
            for path, key in ((JOBS + f"{10:016x}", PARKS), (OPEN + f"{11:016x}", None), (JOBS + f"{12:016x}", ROADS))
        ]
        await asyncio.sleep(0.2)
        vm.send(signal.SIGCONT)
        self.assertEqual(await asyncio.gather(*calls), [401, 401, 200])

    # Guards against a VM that serves nobody while it waits for a store that is away.
    async def test_woken_vm_without_the_store_serves_known_callers(self) -> None:
        vm = next(vm for vm in self.platform.vms if vm is not self.platform.holder())
        vm.send(signal.SIGSTOP)
        await asyncio.sleep(PAUSE_S)
        self.platform.store.faults[vm.name] = "silent"
        call = asyncio.create_task(self.status(vm, "POST", JOBS + f"{13:016x}", PARKS))
        await asyncio.sleep(0.2)
        vm.send(signal.SIGCONT)
        self.assertEqual(await call, 200)
        self.assertEqual(await self.status(vm, "GET", JOBS + f"{13:016x}", PARKS), 200)

    # Guards against a final refusal by a VM that cannot tell whether its configuration is the
    # newest, as the store does not answer it.
    async def test_vm_without_the_store_refuses_no_key_for_good(self) -> None:
        vm = next(vm for vm in self.platform.vms if vm is not self.platform.holder())
        self.platform.store.faults[vm.name] = "refuse"
        await asyncio.sleep(PAUSE_S)
        self.assertEqual(await self.status(vm, "POST", JOBS + f"{9:016x}", "key-of-nobody"), 503)
        self.assertEqual(await self.status(vm, "POST", JOBS + f"{9:016x}", PARKS), 200)
        self.platform.store.faults.clear()

        async def is_refused() -> bool:
            return await self.status(vm, "GET", JOBS + f"{9:016x}", "key-of-nobody") == 401

        await until(is_refused, "the key is refused for good", 3)


if __name__ == "__main__":
    testing.main()
