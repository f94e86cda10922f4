"""A leaving endpoint gets no new requests after a few seconds."""

import threading
import time
import unittest

import cluster as testing

BUILD = testing.BUILD
# Required: no new requests this long after the endpoint began to leave.
GRACE_SECONDS = 3
LIST_LAG_MS = 30000
WATCH_SECONDS = 3


class Load:
    """Callers that send idempotent requests one after another."""

    def __init__(self, system, entries, callers=4):
        self.system = system
        self.stopping = False
        self.answers = []
        self.threads = [
            threading.Thread(target=self.run, args=(entry,))
            for entry in entries
            for _ in range(callers)
        ]

    def run(self, entry):
        while not self.stopping:
            self.answers.append(self.system.request(entry, "council", "route", deadline_ms=8000))

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        testing.wait_until(lambda: len(self.answers) > 20, "load")
        return self

    def __exit__(self, *_):
        self.stopping = True
        for thread in self.threads:
            thread.join()


class Leaving(unittest.TestCase):
    def setUp(self):
        self.system = testing.Cluster(BUILD, proxy=True)
        self.system.start()
        self.addCleanup(self.system.stop)
        self.system.set_up_accounts()
        self.system.set_vm_lag(LIST_LAG_MS)
        self.entries = list(self.system.topology.entries)

    def arrivals(self, minion):
        """Requests that reached the minion, refused ones included."""
        state = self.system.minion_state(minion)
        return state["runs"] + state["refusals"]

    def assert_no_new_work(self, count, load):
        """Checks that `count` does not change while the load goes on."""
        time.sleep(GRACE_SECONDS)  # the required bound itself
        before = count()
        answered = len(load.answers)
        time.sleep(WATCH_SECONDS)  # the span watched
        self.assertEqual(count(), before)
        self.assertGreater(len(load.answers), answered)

    def test_endpoint_drains_while_the_list_lags(self):
        with Load(self.system, self.entries) as load:
            self.system.change_vm("minion-1", leaving=True)
            self.system.minion_state("minion-1", leaving=True)
            self.assert_no_new_work(lambda: self.arrivals("minion-1"), load)
        self.assertEqual({a.status for a in load.answers}, {200})

    def test_endpoint_is_frozen(self):
        with Load(self.system, self.entries) as load:
            self.system.faults("minion/minion-1", freeze=True)
            time.sleep(GRACE_SECONDS)  # the required bound itself
            before = self.system.traffic("minion/minion-1")["minion/minion-1"]
            answered = len(load.answers)
            time.sleep(WATCH_SECONDS)  # the span watched
            after = self.system.traffic("minion/minion-1")["minion/minion-1"]
            self.assertLessEqual(
                after["connections"] - before["connections"], len(self.entries)
            )
            self.assertGreater(len(load.answers), answered)
        self.assertEqual({a.status for a in load.answers}, {200})

    def test_one_gateway_cut_from_its_peers(self):
        with Load(self.system, self.entries) as load:
            self.system.faults("bus/entry-1/", cut=True)
            for entry in self.entries[1:]:
                self.system.faults(f"bus/{entry}/entry-1/", cut=True)
            self.system.minion_state("minion-1", leaving=True)
            self.assert_no_new_work(lambda: self.arrivals("minion-1"), load)
        self.assertEqual({a.status for a in load.answers}, {200})


if __name__ == "__main__":
    testing.main()
