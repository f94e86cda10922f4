"""Lent guaranteed capacity is reclaimed within its bound despite faults."""

import json
import signal
import time

import cluster as testing
import gang_protocol_test as gangs

BUILD = gangs.BUILD
# Default of scheduler.reclaim_bound_ms, and the time to start the guaranteed gang.
BOUND_S = 10
START_S = 3


class Reclaim(gangs.GangCase):
    """council is guaranteed three whole workers; caravan borrows all eight."""

    def setUp(self):
        super().setUp()
        row = self.system.operator("entry-1", "GET", "/v1/table/council").json()
        row["guarantees"] = [
            {
                "data_centre": "hobart-a",
                "count": 1,
                "shape": {"members": 3, "accelerators": 8, "cores": 4},
            }
        ]
        answer = self.system.operator("entry-1", "PUT", "/v1/table/council", row)
        self.assertEqual(answer.status, 200, answer.body)
        version = self.system.status("entry-1")["table_version"]
        testing.wait_until(
            lambda: all(
                self.system.status(e)["table_version"] >= version
                for e in self.system.topology.entries
            ),
            "the guarantee is in force",
        )

    def start_borrowers(self, recovery="checkpointable", run_ms=60000):
        """Starts two borrowers that fill both racks."""
        jobs = [
            self.submit(account="caravan", members=4, run_ms=run_ms, recovery=recovery)
            for _ in range(2)
        ]
        for job in jobs:
            self.wait_started(job, members=4)
        return jobs

    def reclaim(self, entry="entry-1", fault=lambda: None):
        """Submits the guaranteed gang; returns it and the seconds until it runs."""
        begun = time.monotonic()
        owner = self.submit(entry=entry, members=3, run_ms=1000)
        fault()
        self.wait_started(owner, members=3)
        span = time.monotonic() - begun
        print(f"reclaim {self.id().rsplit('.', 1)[1]}: {span:.2f} s")
        self.check_journal()
        return owner, span

    def check_reclaimed(self, span, extra=0):
        self.assertLess(span, BOUND_S + START_S + extra)

    def test_healthy_borrower_is_checkpointed_and_resumes(self):
        jobs = self.start_borrowers(run_ms=15000)
        _, span = self.reclaim()
        self.check_reclaimed(span)
        resumed = testing.wait_until(
            lambda: next((j for j in jobs if len(self.tasks(j, "checkpointed")) == 4), None),
            "one borrower left a checkpoint",
        )
        self.wait_started(resumed, members=4, attempt=2)
        self.check_one_attempt_at_a_time(resumed)
        ended = self.system.wait_job("entry-1", "caravan", resumed, gangs.ENDED)
        self.assertEqual(ended["status"], "done")
        self.assertTrue(all("remaining_ms" in c for c in json.loads(ended["checkpoint"])))

    def test_borrower_ignores_throttle_and_checkpoint(self):
        self.start_borrowers(recovery="restartable")
        for worker in self.system.topology.workers:
            self.system.worker_faults(
                worker["id"], ignore_throttle=True, ignore_checkpoint=True
            )
        _, span = self.reclaim()
        self.check_reclaimed(span)

    def test_worker_of_the_borrower_is_frozen(self):
        """It freezes after the reclaim began; its lease lapses without renewal."""
        jobs = self.start_borrowers(recovery="restartable")
        holder = self.holder()
        frozen = []

        def freeze():
            testing.wait_until(
                lambda: "gang_preempted" in self.system.log_of(holder), "the reclaim began"
            )
            line = next(
                t for t in self.system.log_of(holder).splitlines() if "gang_preempted" in t
            )
            victim = next(j for j in jobs if f'job="{j}"' in line)
            frozen.append(self.tasks(victim, "started")[0]["worker"])
            self.system.kill(frozen[0], signal.SIGSTOP)

        owner, span = self.reclaim(fault=freeze)
        self.check_reclaimed(span)
        self.assertNotIn(frozen[0], {t["worker"] for t in self.tasks(owner, "started")})

    def test_scheduler_killed_mid_reclaim(self):
        self.start_borrowers()
        holder = self.holder()
        other = self.entry_besides(holder)
        for worker in self.system.topology.workers:
            self.system.worker_faults(worker["id"], ignore_checkpoint=True)

        def kill_holder():
            testing.wait_until(
                lambda: "gang_preempted" in self.system.log_of(holder), "the reclaim began"
            )
            self.system.kill(holder)
            for worker in self.system.topology.workers:
                self.system.worker_faults(worker["id"], ignore_checkpoint=False)

        _, span = self.reclaim(entry=other, fault=kill_holder)
        self.check_reclaimed(span, extra=BOUND_S)

    def test_log_down_during_the_reclaim(self):
        """Borrowers are checkpointed at once; the owner starts when the log is back."""
        jobs = self.start_borrowers()
        holder = self.holder()

        def take_log_down():
            testing.wait_until(
                lambda: "gang_preempted" in self.system.log_of(holder), "the reclaim began"
            )
            self.system.platform_faults(down=True)
            testing.wait_until(
                lambda: any(len(self.tasks(j, "checkpointed")) == 4 for j in jobs),
                "a borrower left a checkpoint while the log is down",
            )
            self.system.platform_faults(down=False)

        _, span = self.reclaim(fault=take_log_down)
        self.check_reclaimed(span)


if __name__ == "__main__":
    testing.main()
