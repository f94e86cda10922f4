"""Each data centre has one active scheduler, also when the term holder stops."""

import signal
import unittest

import cluster as testing
from cluster import gang, wait_until

BUILD = testing.BUILD
# Bound on the hand-over of the term by a scheduler that drains.
HAND_OVER_SECONDS = 1
# The data centre under test, and the entry VM whose gateway the tests query.
DATA_CENTRE = "hobart-a"
OBSERVER = "entry-3"


def term(system):
    return system.status(OBSERVER)["terms"][DATA_CENTRE]


def wait_holder(system):
    """Waits for a term holder and returns its term."""
    return wait_until(
        lambda: term(system) if term(system)["holder"] else None, "a scheduler holds the term"
    )


def wait_next(system, before, seconds=testing.WAIT_SECONDS):
    """Waits until another scheduler holds a later term."""

    def changed():
        now = term(system)
        return now if now["number"] > before["number"] else None

    now = wait_until(changed, "another scheduler holds the term", seconds)
    assert now["holder"] != before["holder"], now
    return now


class Terms(unittest.TestCase):
    def setUp(self):
        self.system = testing.Cluster(BUILD).__enter__()
        self.addCleanup(self.system.stop)
        self.system.set_up_accounts()
        self.before = wait_holder(self.system)

    def submit(self, run_ms):
        answer = self.system.submit(OBSERVER, "council", gang(run_ms=run_ms))
        self.assertEqual(answer.status, 202, answer.body)
        return answer.json()["job"]

    def wait_running(self, job):
        self.system.wait_job(OBSERVER, "council", job, ("placed",))
        wait_until(
            lambda: any(event["job"] == job for event in self.system.journal("tasks.jsonl")),
            "the job's tasks started",
        )

    def assert_ran_once(self, job):
        done = self.system.wait_job(
            OBSERVER, "council", job, ("done", "failed", "lost", "cancelled")
        )
        self.assertEqual((done["status"], done["attempt"]), ("done", 1), done)

    def test_drain_hands_the_term_over_without_stopping_jobs(self):
        job = self.submit(run_ms=4000)
        self.wait_running(job)
        self.system.processes[self.before["holder"]].terminate()
        after = wait_next(self.system, self.before, HAND_OVER_SECONDS)
        self.assertEqual(self.system.terminate(self.before["holder"]), 0)
        self.assert_ran_once(job)
        self.assertEqual(term(self.system), after)

    def test_killed_holder_is_replaced_and_its_jobs_continue(self):
        job = self.submit(run_ms=4000)
        self.wait_running(job)
        self.system.kill(self.before["holder"])
        after = wait_next(self.system, self.before)
        self.assert_ran_once(job)
        self.assert_ran_once(self.submit(run_ms=100))
        self.assertEqual(term(self.system), after)

    def test_paused_holder_does_not_take_the_term_back_when_resumed(self):
        job = self.submit(run_ms=6000)
        self.wait_running(job)
        self.system.kill(self.before["holder"], signal.SIGSTOP)
        after = wait_next(self.system, self.before)
        self.system.kill(self.before["holder"], signal.SIGCONT)
        self.assert_ran_once(job)
        self.assert_ran_once(self.submit(run_ms=100))
        self.assertEqual(term(self.system), after)

    def test_paused_candidate_does_not_claim_from_a_live_holder(self):
        holder = self.before["holder"]
        other = "entry-2/scheduler" if holder.startswith("entry-1") else "entry-1/scheduler"
        self.system.kill(other, signal.SIGSTOP)
        suspected = f'peer_suspected peer="{other}"'
        wait_until(lambda: suspected in self.system.log_of(holder), "the pause was noticed")
        self.system.kill(other, signal.SIGCONT)
        alive = f'peer_alive peer="{other}"'
        wait_until(
            lambda: self.system.log_of(holder).rfind(alive)
            > self.system.log_of(holder).rfind(suspected),
            "the process resumed",
        )
        self.assert_ran_once(self.submit(run_ms=100))
        self.assertEqual(term(self.system), self.before)
        self.assertNotIn("peer_suspected", self.system.log_of(other))


if __name__ == "__main__":
    testing.main()
