"""Running gangs survive a log outage, also when their scheduler dies."""


import cluster as testing
import gang_protocol_test as gangs


class LogDown(gangs.GangCase):
    def test_running_gang_ends_and_new_jobs_are_refused(self):
        job = self.submit(run_ms=8000)
        self.wait_started(job)
        self.system.platform_faults(down=True)
        refused = self.system.submit("entry-1", "council", testing.gang())
        self.assertEqual(refused.status, 503, refused.body)
        self.assertEqual(refused.json()["error"], "log_down")
        testing.wait_until(
            lambda: len(self.tasks(job, "done")) == 2, "the gang ends with the log down"
        )
        self.system.platform_faults(down=False)
        ended = self.system.wait_job("entry-1", "council", job, gangs.ENDED)
        self.assertEqual(ended["status"], "done")
        self.assertEqual(len(self.tasks(job, "started")), 2)
        self.check_journal()

    def test_leases_are_renewed_with_scheduler_dead_and_log_down(self):
        """The next candidate renews the leases under the dead holder's term."""
        holder = self.holder()
        other = self.entry_besides(holder)
        job = self.submit(entry=other, run_ms=14000)
        self.wait_started(job)
        self.system.platform_faults(down=True)
        self.system.kill(holder)
        testing.wait_until(
            lambda: len(self.tasks(job, "done", "lapsed", "stopped")) == 2,
            "the tasks end",
        )
        self.assertEqual(len(self.tasks(job, "done")), 2, "no lease lapsed")
        self.system.platform_faults(down=False)
        ended = self.system.wait_job(other, "council", job, gangs.ENDED)
        self.assertEqual(ended["status"], "done", ended)
        self.check_journal()

    def test_leases_of_a_gang_that_lost_a_member_are_not_renewed(self):
        """The member is lost while no scheduler holds the term; the other's lease lapses."""
        holder = self.holder()
        other = self.entry_besides(holder)
        job = self.submit(entry=other, run_ms=60000)
        self.wait_started(job)
        victim, survivor = (t["worker"] for t in self.tasks(job, "started"))
        self.system.platform_faults(down=True)
        self.system.kill(holder)
        self.system.kill(victim)
        self.system.start_worker(victim)
        testing.wait_until(
            lambda: [t["worker"] for t in self.tasks(job, "lapsed", "stopped")] == [survivor],
            "the other member's lease lapses",
        )
        self.system.platform_faults(down=False)
        ended = self.system.wait_job(other, "council", job, gangs.ENDED)
        self.assertEqual(ended["status"], "lost", ended)
        self.assertEqual(len(self.tasks(job, "started")), 2)


if __name__ == "__main__":
    testing.main()
