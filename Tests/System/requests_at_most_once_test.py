"""Non-idempotent requests run at most once; none answered "not_run" has run."""

import collections
import threading
import time
import unittest

import cluster as testing

BUILD = testing.BUILD
# Required bound: the refusal while the log is down must not wait for the deadline.
LOG_DOWN_SECONDS = 3


def in_parallel(*calls):
    """Makes calls at the same time and returns their results in order."""
    results = [None] * len(calls)

    def run(index, function):
        try:
            results[index] = function()
        except OSError as error:
            results[index] = error

    threads = [threading.Thread(target=run, args=pair) for pair in enumerate(calls)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


class AtMostOnce(unittest.TestCase):
    def setUp(self):
        self.system = testing.Cluster(BUILD, proxy=True)
        self.system.start()
        self.addCleanup(self.system.stop)
        self.system.set_up_accounts()

    def runs_of(self, key):
        return sum(run["key"] == key for run in self.system.journal("runs.jsonl"))

    def send(self, entry, key, deadline_ms=10000):
        return self.system.request(entry, "council", f"wipe {key}", key, deadline_ms)

    def conclusion(self, answer):
        return answer.headers["x-conclusion"]

    def all_minions(self, **faults):
        self.system.faults("minion/", **faults)

    def test_same_key_at_gateways_of_two_regions_runs_once(self):
        keys = [f"bill-{i}" for i in range(20)]
        calls = [
            lambda key=key, entry=entry: self.send(entry, key)
            for key in keys
            for entry in ("entry-1", "entry-3")
        ]
        answers = in_parallel(*calls)
        for index, key in enumerate(keys):
            pair = answers[2 * index : 2 * index + 2]
            self.assertEqual([self.conclusion(a) for a in pair], ["done", "done"])
            self.assertEqual(pair[0].body, pair[1].body)
        runs = collections.Counter(run["key"] for run in self.system.journal("runs.jsonl"))
        self.assertEqual(runs, {key: 1 for key in keys})

    def test_retry_after_the_gateway_was_killed_is_answered_unknown(self):
        for minion in self.system.topology.minions:
            self.system.minion_state(minion, slow_ms=3000)
        first = threading.Thread(
            target=lambda: in_parallel(lambda: self.send("entry-1", "bill-1"))
        )
        first.start()
        testing.wait_until(lambda: self.runs_of("bill-1") == 1, "the first run")
        self.system.kill("entry-1/gateway")
        first.join()
        answer = self.send("entry-2", "bill-1", deadline_ms=1000)
        self.assertEqual(self.conclusion(answer), "unknown")
        self.assertEqual(self.runs_of("bill-1"), 1)

    def test_request_runs_once_when_the_append_answer_is_lost(self):
        self.system.platform_faults(lose_answers=1)
        answer = self.send("entry-1", "bill-1")
        self.assertEqual(self.conclusion(answer), "done")
        self.assertEqual(self.runs_of("bill-1"), 1)

    def test_late_answer_is_unknown_and_the_request_is_not_run_again(self):
        self.all_minions(delay_ms=1500)
        late = self.send("entry-1", "bill-1", deadline_ms=1000)
        self.assertEqual(self.conclusion(late), "unknown")
        self.all_minions(delay_ms=0)
        again = self.send("entry-3", "bill-1")
        self.assertEqual(self.conclusion(again), "unknown")
        testing.wait_until(
            lambda: all(
                self.system.minion_state(m)["busy"] == 0 for m in self.system.topology.minions
            ),
            "idle minions",
        )
        self.assertLessEqual(self.runs_of("bill-1"), 1)

    def test_connection_cut_before_the_send_is_not_run_and_may_be_retried(self):
        self.all_minions(cut=True)
        refused = self.send("entry-1", "bill-1", deadline_ms=2000)
        self.assertEqual(self.conclusion(refused), "not_run")
        self.assertEqual(self.runs_of("bill-1"), 0)
        self.all_minions(cut=False)
        answer = testing.wait_until(
            lambda: next(
                (a for a in [self.send("entry-2", "bill-1")] if self.conclusion(a) == "done"),
                None,
            ),
            "the key runs",
        )
        self.assertIn("wipe bill-1", answer.body)
        self.assertEqual(self.runs_of("bill-1"), 1)

    def test_connection_cut_during_and_after_the_send(self):
        cases = {"during": {"bytes_per_s": 200}, "after": {}}
        for name, faults in cases.items():
            with self.subTest(name):
                for minion in self.system.topology.minions:
                    self.system.minion_state(minion, slow_ms=1000)
                self.all_minions(**faults)
                before = self.system.traffic("minion/")
                results = []
                caller = threading.Thread(
                    target=lambda name=name, results=results: results.append(
                        self.send("entry-1", f"bill-{name}")
                    )
                )
                caller.start()
                testing.wait_until(
                    lambda before=before: any(
                        t["bytes_out"] > before[n]["bytes_out"]
                        for n, t in self.system.traffic("minion/").items()
                    ),
                    "bytes on the way",
                )
                self.all_minions(cut=True, bytes_per_s=0)
                caller.join()
                self.assertEqual(self.conclusion(results[0]), "unknown")
                self.all_minions(cut=False)
                again = self.send("entry-2", f"bill-{name}")
                self.assertEqual(self.conclusion(again), "unknown")
                self.assertLessEqual(self.runs_of(f"bill-{name}"), 1)

    def test_log_down(self):
        self.system.platform_faults(down=True)
        start = time.monotonic()
        refused = self.send("entry-1", "bill-1")
        self.assertLess(time.monotonic() - start, LOG_DOWN_SECONDS)
        self.assertEqual(self.conclusion(refused), "not_run")
        self.assertEqual(refused.json()["error"], "log_down")
        idempotent = self.system.request("entry-1", "council", "route")
        self.assertEqual(self.conclusion(idempotent), "done")
        self.assertEqual(self.runs_of("bill-1"), 0)
        self.system.platform_faults(down=False)
        testing.wait_until(
            lambda: self.conclusion(self.send("entry-2", "bill-1")) == "done", "the key runs"
        )
        self.assertEqual(self.runs_of("bill-1"), 1)

    def test_requests_refused_at_any_stage_did_not_run(self):
        row = {"version": 0, "token_sha256": testing.sha256(testing.token_of("tight"))}
        columns = {"over_limit": {"rate_per_s": 0.001}, "queue_full": {"queue": 0}}
        system = self.system
        version = 0
        for kind, change in columns.items():
            with self.subTest(kind):
                edit = {**row, **change, "version": version}
                answer = system.operator("entry-1", "PUT", "/v1/table/tight", edit)
                self.assertEqual(answer.status, 200, answer.body)
                version = answer.json()["version"]
                for _ in range(3):
                    refused = system.request("entry-1", "tight", f"body {kind}", f"k-{kind}")
                self.assertEqual(refused.json()["error"], kind)
                self.assertEqual(self.conclusion(refused), "not_run")
        bad = system.request("entry-1", "council", "body bad", "k" * 200)
        self.assertEqual((bad.status, self.conclusion(bad)), (400, "not_run"))
        for minion in system.topology.minions:
            system.minion_state(minion, leaving=True)
        none = self.send("entry-1", "k-leaving", deadline_ms=1000)
        self.assertEqual(self.conclusion(none), "not_run")
        ran = {run["key"] for run in system.journal("runs.jsonl")}
        self.assertFalse(ran & {"k-queue_full", "k" * 200, "k-leaving"}, ran)


if __name__ == "__main__":
    testing.main()
