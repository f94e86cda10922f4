"""Two faults at once: accepted edits stay, edits refused as not run never appear."""

import http.client
import os
import random
import signal
import unittest

import cluster as testing
from cluster import wait_until

BUILD = testing.BUILD
SEEDS = [int(seed) for seed in os.environ.get("KCM_SEEDS", "1 2 3 4 5 6 7 8").split()]
EDITS = 4


def cut_region(system, cut):
    for prefix in ("bus/entry-3/", "bus/entry-1/entry-3/", "bus/entry-2/entry-3/", "log/entry-3"):
        system.faults(prefix, cut=cut)


# Each fault: what starts and what ends it.
FAULTS = {
    "append answer lost": (lambda s: s.platform_faults(lose_answers=1), lambda s: None),
    "log down": (
        lambda s: s.platform_faults(down=True),
        lambda s: s.platform_faults(down=False),
    ),
    "relay killed": (
        lambda s: s.kill("entry-1/relay"),
        lambda s: s.start_service("entry-1", "relay"),
    ),
    "VM replaced": (lambda s: s.kill_vm("entry-2"), lambda s: s.start_vm("entry-2")),
    "region cut": (lambda s: cut_region(s, True), lambda s: cut_region(s, False)),
    "path to the log frozen": (
        lambda s: s.faults("log/entry-1", freeze=True),
        lambda s: s.faults("log/entry-1", freeze=False),
    ),
    "relay paused": (
        lambda s: s.kill("entry-1/relay", signal.SIGSTOP),
        lambda s: s.kill("entry-1/relay", signal.SIGCONT),
    ),
    "records expire": (lambda s: s.platform_faults(retention=30), lambda s: None),
}
# Faults of the same process, which exclude each other.
EXCLUSIVE = ({"relay killed", "relay paused"},)


def pick(seed):
    """Returns two faults, the same for the same seed."""
    generator = random.Random(seed)
    while True:
        pair = generator.sample(sorted(FAULTS), 2)
        if set(pair) not in EXCLUSIVE:
            return pair


class TableTogether(unittest.TestCase):
    def one_edit(self, system, entry, weight, outcomes):
        """Edits the version that the gateway shows, and records the status."""
        try:
            row = system.operator(entry, "GET", "/v1/table/council", timeout=5)
            version = row.json().get("version", 0)
            body = {"version": version, "weight": weight}
            answer = system.operator(entry, "PUT", "/v1/table/council", body)
            outcomes[weight] = answer.status
        except (OSError, http.client.HTTPException):
            # The gateway is down or died during the call: the outcome is unknown.
            outcomes[weight] = 504

    def test_two_faults_at_once(self):
        for seed in SEEDS:
            pair = pick(seed)
            with self.subTest(seed=seed, faults=pair):
                self.run_pair(seed, pair)

    def run_pair(self, seed, pair):
        topology = testing.small_glintwater()
        topology.workers = topology.workers[:1]
        topology.minions = {}
        generator = random.Random(seed)
        settings = {"snapshot_records": 10}
        with testing.Cluster(BUILD, topology, proxy=True, relay_settings=settings) as system:
            outcomes = {}
            for weight in range(1, 16):
                self.one_edit(system, "entry-1", weight, outcomes)
            self.assertEqual(set(outcomes.values()), {200})
            for fault in pair:
                FAULTS[fault][0](system)
            for weight in range(101, 101 + EDITS):
                entry = generator.choice(list(topology.entries))
                self.one_edit(system, entry, weight, outcomes)
            for fault in pair:
                FAULTS[fault][1](system)
            self.await_convergence(system, outcomes)
            self.check_histories(system, outcomes)

    def await_convergence(self, system, outcomes):
        """Edits until one edit is accepted, and waits until all gateways show it."""
        weight = 1000

        def accepted():
            nonlocal weight
            weight += 1
            self.one_edit(system, "entry-3", weight, outcomes)
            return outcomes[weight] == 200

        wait_until(accepted, "an edit is accepted again")
        for entry in system.topology.entries:
            wait_until(
                lambda entry=entry: self.weight_at(system, entry) == weight,
                f"the last row at {entry}",
            )

    def weight_at(self, system, entry):
        """Returns the weight that a gateway shows; None before it has the state."""
        return system.operator(entry, "GET", "/v1/table/council").json().get("weight")

    def check_histories(self, system, outcomes):
        """Compares every gateway's history with the answers to the edits."""
        for entry in system.topology.entries:
            history = system.operator(entry, "GET", "/v1/table-history").json()["history"]
            weights = [change["row"]["weight"] for change in history]
            self.assertEqual(len(weights), len(set(weights)), "an edit took effect twice")
            for weight, status in outcomes.items():
                message = f"{entry}: edit {weight} was answered {status}"
                if status == 200:
                    self.assertIn(weight, weights, message)
                elif status in (409, 503):
                    self.assertNotIn(weight, weights, message)


if __name__ == "__main__":
    testing.main()
