"""What operators are shown of an evacuated data centre."""

import asyncio
import json
import subprocess
import unittest
from typing import Any

import cluster as testing
from entry_platform import API_KEY, HOST, PREFIX, Client, EntryPlatform, EntryVm, until

ZONES = ("zone-a", "zone-b")
METRICS_PORT = 9464
JOB = "00000000000000e0"


def address(vm: EntryVm) -> str:
    return f"{vm.ip}:{METRICS_PORT}"


async def get(vm: EntryVm, path: str) -> bytes:
    client = Client(address(vm))
    answer = await client.call("GET", path)
    client.close()
    return answer.body if answer else b""


async def kcm(vm: EntryVm, *words: str) -> subprocess.CompletedProcess[str]:
    command = [str(testing.BUILD / "kcm"), "--entry", address(vm), "evacuation", "list", *words]
    return await asyncio.to_thread(
        subprocess.run, command, check=False, capture_output=True, text=True, timeout=30
    )


class EvacuationStatus(unittest.IsolatedAsyncioTestCase):
    # Guards against an operator who switches a data centre off while tasks run there.
    async def test_shows_what_runs_there_until_it_is_empty(self) -> None:
        async with EntryPlatform(2, 2, zones=ZONES, evacuate_ms=5000) as platform:
            holder = await until(platform.holder, "a VM holds the term")
            other = next(vm for vm in platform.vms if vm is not holder)

            async def row(zone: str) -> dict[str, Any]:
                status = json.loads(await get(holder, "/status"))
                rows = {row["data_centre"]: row for row in status["evacuated"]}
                return rows.get(zone, {})

            # Fills both workers, of four cores each.
            spec = {
                "task_spec": json.dumps([{"ms": 4000}]),
                "phases": [{"count": 8, "cpu": 1000, "est_runtime_ms": 4000}],
            }
            client = Client(other.address("front"))
            answer = await client.call(
                "POST", PREFIX + JOB, spec, Host=HOST, Api_Key=API_KEY, Deadline_Ms="3000"
            )
            client.close()
            assert answer and answer.status == 200, answer
            workers = [machine.worker for machine in platform.machines]
            await until(lambda: all(w and len(w.runs) == 4 for w in workers), "all tasks run")
            platform.evacuate("zone-b")
            platform.evacuate("nowhere")
            found = await until(lambda: row("zone-b"), "the evacuation is shown", 5)
            self.assertEqual((found["workers"], found["silent_workers"]), (1, 0), found)
            self.assertEqual((found["runs"], found["empty"]), (4, False), found)
            self.assertEqual(found["jobs"], [{"job": JOB, "runs": 4}])
            self.assertEqual((await row("nowhere"))["empty"], True)

            status = json.loads(await get(other, "/status"))
            self.assertFalse(status["is_holder"])
            self.assertEqual(status["holder"]["name"], holder.name)
            self.assertEqual(status["holder"]["status_address"], address(holder))
            shown = await kcm(other)
            self.assertEqual(shown.returncode, 0, shown.stderr)
            self.assertIn(f"term holder {holder.name}, starts tasks", shown.stdout)
            self.assertRegex(shown.stdout, rf"zone-b +\d+ +false +4 +1 +0 +{JOB} 4")
            document = json.loads((await kcm(other, "--json")).stdout)
            self.assertEqual(document["name"], holder.name)

            metrics = (await get(holder, "/metrics")).decode()
            self.assertIn('kcm_evacuated_runs{data_centre="zone-b"} 4', metrics)
            self.assertIn('kcm_evacuated_seconds{data_centre="zone-b"}', metrics)
            self.assertIn("kcm_evacuations_read_age_seconds ", metrics)
            metrics = (await get(other, "/metrics")).decode()
            self.assertIn('kcm_evacuated_seconds{data_centre="zone-b"}', metrics)
            self.assertNotIn("kcm_evacuated_runs{", metrics)

            async def is_empty() -> bool:
                return (await row("zone-b"))["empty"]

            await until(is_empty, "it is empty")
            platform.return_to_service("zone-b")

            async def is_returned() -> bool:
                return not await row("zone-b")

            await until(is_returned, "it is in service again", 5)
            metrics = (await get(holder, "/metrics")).decode()
            self.assertNotIn('data_centre="zone-b"', metrics)


if __name__ == "__main__":
    testing.main()
