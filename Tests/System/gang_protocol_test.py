"""No gang runs partially and no attempt runs twice when workers or schedulers fail."""

import signal
import unittest

import cluster as testing

BUILD = testing.BUILD
ENDED = ("done", "failed", "cancelled", "lost")


def topology():
    """Eight workers and three entry VMs in one data centre."""
    return testing.Topology(
        data_centres={"hobart-a": "tas-south"},
        entries={"entry-1": "hobart-a", "entry-2": "hobart-a", "entry-3": "hobart-a"},
        workers=testing.rack_of_workers("hobart-a", "rack-1", 4)
        + testing.rack_of_workers("hobart-a", "rack-2", 4, first=5),
        minions={},
    )


class GangCase(unittest.TestCase):
    """Starts a cluster for each test; checks the workers' journal."""

    proxy = False

    def setUp(self):
        self.system = testing.Cluster(BUILD, topology(), proxy=self.proxy)
        self.system.__enter__()
        self.addCleanup(self.system.stop)
        self.system.set_up_accounts()

    def submit(self, account="council", entry="entry-1", **job):
        answer = self.system.submit(entry, account, testing.gang(**job))
        self.assertEqual(answer.status, 202, answer.body)
        return answer.json()["job"]

    def tasks(self, job, *events):
        return [
            line
            for line in self.system.journal("tasks.jsonl")
            if line["job"] == job and line["event"] in events
        ]

    def wait_started(self, job, members=2, attempt=1):
        return testing.wait_until(
            lambda: len([t for t in self.tasks(job, "started") if t["attempt"] == attempt])
            == members,
            f"{job} runs",
        )

    def holder(self, entry="entry-1"):
        return testing.wait_until(
            lambda: self.system.status(entry)["terms"]["hobart-a"]["holder"],
            "a scheduler holds the term",
        )

    def entry_besides(self, process):
        return next(e for e in self.system.topology.entries if not process.startswith(e))

    def check_journal(self):
        """Checks that no accelerator had two tasks at a time and no attempt started twice."""
        running = {}
        started = set()
        for line in self.system.journal("tasks.jsonl"):
            keys = [(line["worker"], a) for a in line["accelerators"]]
            if line["event"] == "started":
                attempt = (line["job"], line["attempt"], line["worker"])
                self.assertNotIn(attempt, started, "an attempt started twice")
                started.add(attempt)
                for key in keys:
                    self.assertNotIn(key, running, "an accelerator is used twice")
                    running[key] = line["job"]
            else:
                for key in keys:
                    running.pop(key, None)

    def check_one_attempt_at_a_time(self, job, killed=()):
        """Checks that all tasks of an attempt ended before the next one started,
        except on killed workers, which write no end into the journal."""
        live = {}
        for line in self.system.journal("tasks.jsonl"):
            if line["job"] != job or line["worker"] in killed:
                continue
            if line["event"] == "started":
                self.assertTrue(all(a == line["attempt"] for a in live.values()), live)
                live[line["worker"]] = line["attempt"]
            else:
                live.pop(line["worker"], None)


class MemberFails(GangCase):
    def test_refused_lease_starts_nothing_of_the_attempt(self):
        """One worker refuses leases; the whole gang starts on others."""
        self.system.worker_faults("worker-1", refuse_leases=True)
        job = self.submit(members=3)
        done = self.system.wait_job("entry-1", "council", job, ENDED)
        self.assertEqual(done["status"], "done")
        starts = self.tasks(job, "started")
        self.assertEqual(len(starts), 3)
        self.assertNotIn("worker-1", {s["worker"] for s in starts})
        self.check_journal()

    def leases_on(self, worker):
        return testing.call(self.system.worker(worker), "GET", "/v1/usage").json()["leases"]

    def test_worker_killed_between_lease_and_start(self):
        """A leased worker dies before the delayed commit; no task of that attempt starts."""
        self.system.platform_faults(delay_ms=1000)
        job = self.submit(members=2, run_ms=500)
        workers = [worker["id"] for worker in self.system.topology.workers]
        victim = testing.wait_until(
            lambda: next((w for w in workers if self.leases_on(w)), None), "a lease is taken"
        )
        self.system.kill(victim)
        self.assertEqual(self.tasks(job, "started"), [])
        self.system.platform_faults(delay_ms=0)
        ended = self.system.wait_job("entry-1", "council", job, ENDED)
        self.assertEqual((ended["status"], ended["attempt"]), ("done", 2))
        starts = self.tasks(job, "started")
        self.assertEqual({start["attempt"] for start in starts}, {2})
        self.assertEqual(len(starts), 2)
        self.assertNotIn(victim, {start["worker"] for start in starts})
        self.check_journal()

    def run_until_worker_dies(self, recovery):
        job = self.submit(members=2, run_ms=60000, recovery=recovery)
        self.wait_started(job)
        victim = self.tasks(job, "started")[0]["worker"]
        self.system.kill(victim)
        return job, victim

    def test_job_without_recovery_ends_lost_after_one_attempt(self):
        job, _ = self.run_until_worker_dies("none")
        ended = self.system.wait_job("entry-1", "council", job, ENDED)
        self.assertEqual(ended["status"], "lost")
        self.assertIn("worker", ended["reason"])
        self.assertEqual(len(self.tasks(job, "started")), 2)
        self.assertEqual(len(self.tasks(job, "stopped")), 1, "the other member was stopped")
        self.check_journal()

    def test_restartable_job_runs_again_after_its_tasks_ended(self):
        job, victim = self.run_until_worker_dies("restartable")
        self.wait_started(job, attempt=2)
        self.check_one_attempt_at_a_time(job, killed=(victim,))


class Waiting(GangCase):
    def test_every_gateway_shows_why_a_job_waits(self):
        for _ in range(2):
            self.wait_started(self.submit(members=4, run_ms=60000), members=4)
        job = self.submit(account="caravan", members=4)
        for entry in self.system.topology.entries:
            shown = testing.wait_until(
                lambda entry=entry: self.system.job(entry, "caravan", job),
                "the job is shown",
            )
            self.assertEqual(shown["status"], "accepted")
            self.assertIn("Waits for", shown["waiting_because"])
            self.assertEqual([c["status"] for c in shown["history"]], ["accepted"])


class SchedulerFails(GangCase):
    proxy = True

    def test_killed_before_the_commit_starts_no_task(self):
        """The placement never reaches the log; the next term holder places the job again."""
        holder = self.holder()
        self.system.faults(f"log/{holder.split('/')[0]}", freeze=True)
        other = self.entry_besides(holder)
        job = self.submit(entry=other, run_ms=500)
        testing.wait_until(
            lambda: any(
                call["leases"]
                for call in (
                    testing.call(self.system.worker(w["id"]), "GET", "/v1/usage").json()
                    for w in self.system.topology.workers
                )
            ),
            "leases are taken",
        )
        self.assertEqual(self.tasks(job, "started"), [])
        self.system.kill(holder)
        ended = self.system.wait_job(other, "council", job, ENDED)
        self.assertEqual(ended["status"], "done")
        self.assertEqual(len(self.tasks(job, "started")), 2)
        self.check_journal()

    def test_killed_after_the_commit_the_next_holder_starts_the_gang(self):
        """The holder dies when the placement is in the log; slow appends delay the start."""
        holder = self.holder()
        other = self.entry_besides(holder)
        self.system.faults(f"bus/{holder.split('/')[0]}/", delay_ms=0)
        self.system.platform_faults(delay_ms=400)
        job = self.submit(entry=other, run_ms=500)
        self.system.wait_job(other, "council", job, ("placed",))
        self.system.kill(holder)
        self.system.platform_faults(delay_ms=0)
        ended = self.system.wait_job(other, "council", job, ENDED)
        self.assertEqual(ended["status"], "done")
        self.assertEqual(len(self.tasks(job, "started")), 2)
        self.check_journal()

    def test_paused_past_its_lease_does_no_harm_when_resumed(self):
        """Two schedulers act as term holder; every job still runs once."""
        holder = self.holder()
        other = self.entry_besides(holder)
        running = self.submit(entry=other, run_ms=9000)
        self.wait_started(running)
        self.system.kill(holder, signal.SIGSTOP)
        testing.wait_until(lambda: self.holder(other) != holder, "a takeover")
        during = self.submit(entry=other, run_ms=500)
        self.system.wait_job(other, "council", during, ENDED)
        self.system.kill(holder, signal.SIGCONT)
        after = self.submit(entry=other, run_ms=500)
        for job in (running, during, after):
            ended = self.system.wait_job(other, "council", job, ENDED)
            self.assertEqual(ended["status"], "done", ended)
            self.assertEqual(len(self.tasks(job, "started")), 2)
        self.check_journal()

    def test_former_holder_cut_from_the_log_does_no_harm(self):
        """It was paused past its lease and resumes on a VM that reaches only
        the workers, so that it receives nothing about the newer term."""
        holder = self.holder()
        entry = holder.split("/")[0]
        other = self.entry_besides(holder)
        job = self.submit(entry=other, run_ms=14000, recovery="restartable")
        self.wait_started(job)
        roles = [f"{entry}/{role}" for role in testing.ROLES]
        for process in roles:
            self.system.kill(process, signal.SIGSTOP)
        testing.wait_until(lambda: self.holder(other) != holder, "a takeover")
        self.system.faults(f"log/{entry}", cut=True)
        self.system.faults(f"bus/{entry}/", cut=True)
        for peer in self.system.topology.entries:
            if peer != entry:
                self.system.faults(f"bus/{peer}/{entry}/", cut=True)
        for process in roles:
            self.system.kill(process, signal.SIGCONT)
        ended = self.system.wait_job(other, "council", job, ENDED)
        self.assertEqual(ended["status"], "done", ended)
        self.assertEqual(len(self.tasks(job, "started")), 2)
        self.check_journal()

    def test_terminated_holder_hands_running_gangs_over(self):
        holder = self.holder()
        other = self.entry_besides(holder)
        job = self.submit(entry=other, run_ms=4000)
        self.wait_started(job)
        self.assertEqual(self.system.terminate(holder), 0)
        ended = self.system.wait_job(other, "council", job, ENDED)
        self.assertEqual(ended["status"], "done")
        self.assertEqual(len(self.tasks(job, "started")), 2)


if __name__ == "__main__":
    testing.main()
