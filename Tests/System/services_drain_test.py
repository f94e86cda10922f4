"""SIGTERM on a relay or scheduler under load interrupts no request, job or edit."""

import threading
import unittest

import cluster as testing

CALLERS = 12
# Required bound on the time until an accepted row is in force everywhere.
IN_FORCE_SECONDS = 5


class ServicesDrain(unittest.TestCase):
    """entry-1, the first VM by name, reads the log for its region and holds the term."""

    def start(self):
        topology = testing.small_glintwater()
        topology.minion_work_ms = 50
        system = testing.Cluster(testing.BUILD, topology)
        system.start()
        self.addCleanup(system.stop)
        system.set_up_accounts()
        return system

    def load(self, system, stop, answers):
        def call_repeatedly(index):
            number = 0
            while not stop.is_set():
                number += 1
                key = f"key-{index}-{number}" if index % 2 else None
                body = f"body-{index}-{number}."
                answer = system.request("entry-1", "council", body, key)
                answers.append((answer.status, answer.body.endswith(body), answer.body))

        threads = [
            threading.Thread(target=call_repeatedly, args=(i,)) for i in range(CALLERS)
        ]
        for thread in threads:
            thread.start()
        testing.wait_until(lambda: len(answers) > 2 * CALLERS, "load")
        return threads

    def test_sigterm_under_load(self):
        for role in ("relay", "scheduler"):
            with self.subTest(role):
                system = self.start()
                job = system.submit("entry-2", "council", testing.gang(run_ms=3000)).json()["job"]
                system.wait_job("entry-2", "council", job, ("placed", "running"))
                stop, answers = threading.Event(), []
                threads = self.load(system, stop, answers)
                self.assertEqual(system.terminate(f"entry-1/{role}"), 0)
                seen = len(answers)
                row = {"version": 1, "weight": 5}
                edit = system.operator("entry-1", "PUT", "/v1/table/council", row)
                self.assertEqual(edit.status, 200, edit.body)
                for entry in system.topology.entries:
                    testing.wait_until(
                        lambda entry=entry: system.operator(
                            entry, "GET", "/v1/table/council"
                        ).json()["version"] == 2,
                        f"the row is in force at {entry}",
                        IN_FORCE_SECONDS,
                    )
                ended = system.wait_job("entry-2", "council", job, ("done", "failed", "lost"))
                self.assertEqual((ended["status"], ended["attempt"]), ("done", 1))
                testing.wait_until(lambda: len(answers) > seen + 2 * CALLERS, "load goes on")
                stop.set()
                for thread in threads:
                    thread.join()
                self.assertEqual([a for a in answers if a[:2] != (200, True)], [])


if __name__ == "__main__":
    testing.main()
