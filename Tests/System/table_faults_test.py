"""An accepted row is in force everywhere within seconds and never reverts."""

import http.client
import os
import threading
import time
import unittest

import cluster as testing
from cluster import wait_until

BUILD = testing.BUILD
# Required bound on the time until an accepted row is in force everywhere.
IN_FORCE_SECONDS = 5
# Time after which a gateway gives up an edit that the log neither accepts nor refuses.
EDIT_TIMEOUT_SECONDS = 10
CUT_SECONDS = float(os.environ.get("KCM_CUT_SECONDS", "4"))


def small_table(**options):
    """Three entry VMs in two regions, with as few workers and minions as possible."""
    topology = testing.small_glintwater()
    topology.workers = topology.workers[:1]
    topology.minions = {}
    return testing.Cluster(BUILD, topology, proxy=True, **options)


def cut_region(system, cut):
    """Cuts entry-3, alone in its region, off from the others and from the log."""
    for prefix in ("bus/entry-3/", "bus/entry-1/entry-3/", "bus/entry-2/entry-3/", "log/entry-3"):
        system.faults(prefix, cut=cut)


class Watcher(threading.Thread):
    """Polls a row at every gateway and records each decrease of its version."""

    def __init__(self, system, account):
        super().__init__(daemon=True)
        self.system = system
        self.account = account
        self.decreases = []
        self.reads = 0
        self.stopped = threading.Event()

    def run(self):
        seen = {}
        while not self.stopped.is_set():
            for entry in self.system.topology.entries:
                process = self.system.processes.get(f"{entry}/gateway")
                if process is None:
                    continue
                try:
                    version = version_at(self.system, entry, self.account)
                except (OSError, http.client.HTTPException, KeyError):
                    continue
                self.reads += 1
                # A restarted process is compared with its own answers only.
                if version < seen.get(process.pid, 0):
                    self.decreases.append((entry, seen[process.pid], version))
                seen[process.pid] = max(version, seen.get(process.pid, 0))
            time.sleep(0.02)  # polling period

    def __enter__(self):
        self.start()
        return self

    def __exit__(self, *_):
        self.stopped.set()
        self.join()


def version_at(system, entry, account):
    """Returns the version of a row at one gateway; zero without a row."""
    answer = system.operator(entry, "GET", f"/v1/table/{account}", timeout=5)
    return answer.json()["version"] if answer.status == 200 else 0


def edit(system, entry, account, weight, version=None):
    if version is None:
        version = version_at(system, entry, account)
    row = {"version": version, "weight": weight}
    return system.operator(entry, "PUT", f"/v1/table/{account}", row)


def await_everywhere(system, account, version, entries=None, seconds=IN_FORCE_SECONDS):
    for entry in entries or system.topology.entries:
        wait_until(
            lambda entry=entry: version_at(system, entry, account) >= version,
            f"version {version} of {account} at {entry}",
            seconds,
        )


class TableFaults(unittest.TestCase):
    def accept(self, system, entry, account, weight):
        answer = edit(system, entry, account, weight)
        self.assertEqual(answer.status, 200, answer.body)
        return answer.json()["version"]

    def assert_monotonic(self, watcher):
        self.assertGreater(watcher.reads, 0)
        self.assertEqual(watcher.decreases, [])

    def test_one_of_two_concurrent_edits_wins_and_the_other_gets_its_row(self):
        with small_table() as system, Watcher(system, "council") as watcher:
            for round_ in range(10):
                answers = {}

                def race(entry, weight, version=round_, answers=answers):
                    answers[entry] = edit(system, entry, "council", weight, version)

                racers = [
                    threading.Thread(target=race, args=("entry-1", 10 + round_)),
                    threading.Thread(target=race, args=("entry-3", 50 + round_)),
                ]
                for racer in racers:
                    racer.start()
                for racer in racers:
                    racer.join()
                statuses = sorted(answer.status for answer in answers.values())
                self.assertEqual(statuses, [200, 409])
                winner = next(a.json() for a in answers.values() if a.status == 200)
                loser = next(a.json() for a in answers.values() if a.status == 409)
                self.assertEqual(loser["row"], winner)
                self.assertEqual(winner["version"], round_ + 1)
                await_everywhere(system, "council", round_ + 1)
            self.assert_monotonic(watcher)

    def test_edit_whose_append_answer_is_lost_is_applied_once(self):
        with small_table() as system, Watcher(system, "council") as watcher:
            system.platform_faults(lose_answers=2)
            self.assertEqual(self.accept(system, "entry-1", "council", 3), 1)
            await_everywhere(system, "council", 1)
            self.assertEqual(self.accept(system, "entry-3", "council", 4), 2)
            await_everywhere(system, "council", 2)
            self.assert_monotonic(watcher)

    def test_edit_reaches_every_gateway_after_a_relay_was_killed(self):
        with small_table() as system, Watcher(system, "council") as watcher:
            version = self.accept(system, "entry-1", "council", 3)
            await_everywhere(system, "council", version)
            system.kill("entry-1/relay")
            answer = edit(system, "entry-2", "council", 4, version)
            self.assertEqual(answer.status, 200, answer.body)
            await_everywhere(system, "council", version + 1)
            self.assert_monotonic(watcher)

    def test_reader_cut_off_from_the_log_hands_over(self):
        for fault in ("cut", "freeze"):
            with self.subTest(fault), small_table() as system:
                version = self.accept(system, "entry-1", "council", 3)
                await_everywhere(system, "council", version)
                system.faults("log/entry-1", **{fault: True})
                answer = edit(system, "entry-2", "council", 4, version)
                self.assertEqual(answer.status, 200, answer.body)
                await_everywhere(system, "council", version + 1, ["entry-1", "entry-2"])

    def test_edit_refused_with_the_log_down_is_answered_early_and_not_applied(self):
        with small_table() as system:
            system.platform_faults(down=True)
            started = time.monotonic()
            answer = edit(system, "entry-1", "council", 3)
            self.assertEqual(answer.status, 503, answer.body)
            self.assertLess(time.monotonic() - started, EDIT_TIMEOUT_SECONDS / 2)
            self.assertEqual(answer.json()["error"], "log_down")
            system.platform_faults(down=False)
            self.accept(system, "entry-1", "council", 5)
            self.assertEqual(version_at(system, "entry-1", "council"), 1)

    def test_answer_waits_until_the_row_is_in_force_everywhere(self):
        path = "/v1/table/council?wait=everywhere"
        with small_table() as system:
            answer = system.operator("entry-1", "PUT", path, {"weight": 2})
            self.assertEqual(answer.json()["in_force"], {"everywhere": True, "missing": []})
            for entry in system.topology.entries:
                self.assertEqual(version_at(system, entry, "council"), 1)
            cut_region(system, True)
            answer = system.operator("entry-1", "PUT", path, {"version": 1, "weight": 3})
            self.assertEqual(answer.status, 200, answer.body)
            cut = [f"entry-3/{role}" for role in sorted(testing.ROLES)]
            self.assertEqual(answer.json()["in_force"], {"everywhere": False, "missing": cut})
            self.assertEqual(version_at(system, "entry-3", "council"), 1)

    def test_new_vm_boots_with_the_log_down(self):
        # entry-1 is the first of its region by name; entry-3 is alone in its own.
        for late in ("entry-1", "entry-3"):
            with self.subTest(late), small_table(late=(late,)) as system:
                version = self.accept(system, "entry-2", "council", 3)
                system.platform_faults(down=True)
                system.start_vm(late)
                await_everywhere(system, "council", version)
                wait_until(
                    lambda late=late, system=system: "relay_ready"
                    in system.log_of(f"{late}/relay"),
                    f"the relay of {late} has the state from a peer",
                )
                system.platform_faults(down=False)
                self.accept(system, "entry-2", "council", 4)
                await_everywhere(system, "council", version + 1)

    def test_single_vm_that_boots_with_the_log_down_reports_not_ready(self):
        entries = tuple(testing.small_glintwater().entries)
        with small_table(late=entries) as system:
            system.platform_faults(down=True)
            system.start_vm("entry-1")
            wait_until(lambda: "log_unreachable" in system.log_of("entry-1/relay"), "no log")
            health = testing.call(system.gateway("entry-1"), "GET", "/v1/health").json()
            self.assertFalse(health["ready"])
            self.assertNotIn("relay_ready", system.log_of("entry-1/relay"))
            system.platform_faults(down=False)
            wait_until(
                lambda: testing.call(system.gateway("entry-1"), "GET", "/v1/health").json()["ready"],
                "ready with the log",
            )

    def test_edit_survives_the_expiry_of_its_record(self):
        with small_table(relay_settings={"snapshot_records": 20}) as system:
            system.platform_faults(retention=60)
            with Watcher(system, "council") as watcher:
                first = self.accept(system, "entry-1", "caravan", 7)
                for weight in range(1, 101):
                    last = self.accept(system, "entry-1", "council", weight)
                await_everywhere(system, "council", last)
                self.assert_monotonic(watcher)
            kept = 60
            end = system.platform_faults()["table"]["end"]
            self.assertGreater(end - kept, 1, "the first edit is past the retention")
            for entry in system.topology.entries:
                system.kill_vm(entry)
            for entry in system.topology.entries:
                system.start_vm(entry)
            await_everywhere(system, "council", last, seconds=testing.WAIT_SECONDS)
            await_everywhere(system, "caravan", first)

    def test_cut_region_recovers_after_the_records_expired(self):
        with small_table(relay_settings={"snapshot_records": 20}) as system:
            with Watcher(system, "council") as watcher:
                last = self.accept(system, "entry-3", "council", 1)
                await_everywhere(system, "council", last)
                cut_region(system, True)
                system.platform_faults(retention=60)
                for weight in range(1, 101):
                    last = self.accept(system, "entry-1", "council", weight)
                cut_region(system, False)
                await_everywhere(system, "council", last)
                self.assert_monotonic(watcher)

    def test_cut_region_refuses_edits_and_recovers(self):
        with small_table() as system, Watcher(system, "council") as watcher:
            version = self.accept(system, "entry-3", "council", 1)
            await_everywhere(system, "council", version)
            cut_region(system, True)
            end = time.monotonic() + CUT_SECONDS
            refused = 0
            while time.monotonic() < end:
                version = self.accept(system, "entry-1", "council", version + 1)
                await_everywhere(system, "council", version, ["entry-1", "entry-2"])
                answer = edit(system, "entry-3", "council", 99)
                self.assertEqual(answer.status, 503, answer.body)
                refused += 1
            self.assertGreater(refused, 0)
            cut_region(system, False)
            await_everywhere(system, "council", version)
            row = system.operator("entry-3", "GET", "/v1/table/council").json()
            self.assertNotEqual(row["weight"], 99, "an edit answered as not run took effect")
            self.assert_monotonic(watcher)


if __name__ == "__main__":
    testing.main()
