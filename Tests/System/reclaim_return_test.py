"""A preempted borrower runs again as soon as a whole rack is free."""

import unittest

import cluster as testing
import gang_protocol_test as gangs
import reclaim_test


class PreemptedBorrower(reclaim_test.Reclaim):
    def test_resumes_while_the_other_borrower_still_runs(self):
        jobs = self.start_borrowers(run_ms=25000)
        owner, _ = self.reclaim()
        self.system.wait_job("entry-1", "council", owner, gangs.ENDED)
        victim = next(j for j in jobs if len(self.tasks(j, "checkpointed")) == 4)
        other = next(j for j in jobs if j != victim)
        self.wait_started(victim, members=4, attempt=2)
        self.assertEqual(self.tasks(other, "done"), [])


def load_tests(loader, _tests, _pattern):
    """Loads only the test of this file, not the inherited ones."""
    name = "test_resumes_while_the_other_borrower_still_runs"
    return unittest.TestSuite([PreemptedBorrower(name)])


if __name__ == "__main__":
    testing.main()
