"""A preempted borrower runs again as soon as its rack is free."""

import unittest

import cluster as testing
import gang_protocol_test as gangs
import reclaim_test


class Return(reclaim_test.Reclaim):
    def test_resumes_while_the_other_borrower_still_runs(self):
        jobs = self.lend(run_ms=25000)
        owner, _ = self.claim()
        self.system.wait_job("entry-1", "council", owner, gangs.ENDED)
        victim = next(j for j in jobs if len(self.tasks(j, "checkpointed")) == 4)
        other = next(j for j in jobs if j != victim)
        self.wait_started(victim, members=4, attempt=2)
        self.assertEqual(self.tasks(other, "done"), [])


def load_tests(loader, _tests, _pattern):
    """Only the case of this file, not those that it inherits."""
    name = "test_resumes_while_the_other_borrower_still_runs"
    return unittest.TestSuite([Return(name)])


if __name__ == "__main__":
    testing.main()
