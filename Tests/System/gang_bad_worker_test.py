"""Distinguishes a worker that fails all jobs from a job that fails on all workers."""


import cluster as testing
import gang_protocol_test as gangs


# Maximum waves of jobs of both accounts until the worker is cordoned.
WAVES = 20


class BadWorker(gangs.GangCase):
    def run_small(self, count, **task):
        """Submits restartable jobs of both accounts in turn and awaits their ends."""
        jobs = []
        for number in range(count):
            account = ("council", "caravan")[number % 2]
            job = testing.gang(members=1, run_ms=200, recovery="restartable")
            job["task"].update(task)
            answer = self.system.submit("entry-1", account, job)
            self.assertEqual(answer.status, 202, answer.body)
            jobs.append((account, answer.json()["job"]))
        return [
            self.system.wait_job("entry-1", account, job, gangs.ENDED) for account, job in jobs
        ]

    def test_worker_that_fails_all_jobs_is_cordoned_and_the_jobs_end_done(self):
        self.system.worker_faults("worker-1", fail_tasks=True)
        for _ in range(WAVES):
            ended = self.run_small(8)
            self.assertEqual({job["status"] for job in ended}, {"done"})
            if "worker_cordoned" in self.system.log_of(self.holder()):
                break
        else:
            self.fail("the worker was never cordoned")
        self.check_journal()

    def test_job_that_fails_on_all_workers_ends_failed_and_cordons_none(self):
        (ended,) = self.run_small(1, fail=True)
        self.assertEqual(ended["status"], "failed")
        failed = {line["worker"] for line in self.tasks(ended["id"], "failed")}
        self.assertGreater(len(failed), 1, "tried on several workers")
        self.assertNotIn("worker_cordoned", self.system.log_of(self.holder()))
        self.check_journal()


if __name__ == "__main__":
    testing.main()
