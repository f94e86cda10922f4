#!/usr/bin/env python3
"""Tests the command-line tool kcm against real processes."""

import json
import subprocess
import tempfile
import unittest

import cluster as testing

BUILD = testing.BUILD


def kcm(*words, gateway="127.0.0.1:9", token=testing.OPERATOR_TOKEN):
    command = [BUILD / "kcm", "--gateway", gateway, "--token", token, *words]
    return subprocess.run(command, check=False, capture_output=True, text=True, timeout=60)


class UsageErrors(unittest.TestCase):
    def test_each_error_prints_its_message_and_sets_the_exit_code(self):
        cases = (
            ("wrong verb", ("table", "sho"), 2, 'Did you mean "table show"'),
            ("wrong group", ("worke", "list"), 2, 'Did you mean "worker list"'),
            ("no verb", ("table",), 2, "Usage"),
            ("unknown flag", ("--jsn", "table", "show"), 2, "jsn"),
            ("no gateway", ("table", "show"), 1, "the call was not made"),
            ("no worker", ("worker", "cordon"), 2, "needs WORKER"),
        )
        for name, words, code, text in cases:
            with self.subTest(name):
                result = kcm(*words)
                self.assertIn(text, result.stderr)
                self.assertEqual(result.returncode, code, result.stderr)

    def test_error_names_an_unreadable_token_file(self):
        command = [BUILD / "kcm", "--token-file", "/nowhere", "status", "show"]
        result = subprocess.run(command, check=False, capture_output=True, text=True)
        self.assertEqual(result.returncode, 2)
        self.assertIn("/nowhere", result.stderr)


class Commands(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.system = testing.Cluster(BUILD)
        cls.system.start()
        cls.addClassCleanup(cls.system.stop)
        cls.system.set_up_accounts()

    def kcm(self, *words, **more):
        return kcm(*words, gateway=self.system.gateway("entry-1"), **more)

    def document(self, *words):
        result = self.kcm("--json", *words)
        self.assertEqual(result.returncode, 0, result.stderr)
        return json.loads(result.stdout)

    def test_each_read_command_prints_text_and_json(self):
        cases = (
            (("table", "show"), "council"),
            (("table", "history"), "council"),
            (("fleet", "show"), "hobart-a rack-1"),
            (("job", "list"), "data_centre"),
            (("status", "show"), "entry-1/gateway"),
            (("process", "list"), "entry-3/relay"),
            (("worker", "list"), "worker-8"),
            (("minion", "list"), "minion-4"),
        )
        for words, text in cases:
            with self.subTest(" ".join(words)):
                result = self.kcm(*words)
                self.assertEqual(result.returncode, 0, result.stderr)
                self.assertIn(text, result.stdout)
                self.document(*words)

    def test_process_list_shows_the_table_in_force_and_stopped_processes(self):
        def in_force():
            processes = self.document("process", "list")["processes"]
            return len(processes) == 9 and all(p.get("in_force") for p in processes)

        testing.wait_until(in_force, "all nine processes have the newest table")
        schedules = [
            data_centre
            for process in self.document("process", "list")["processes"]
            for data_centre in process["schedules"]
        ]
        self.assertEqual(sorted(schedules), sorted(self.system.topology.data_centres))
        self.system.kill("entry-3/relay")
        processes = self.document("process", "list")["processes"]
        unreachable = [p["name"] for p in processes if not p["answered"]]
        self.assertEqual(unreachable, ["entry-3/relay"])
        self.system.start_service("entry-3", "relay")

    def test_a_cordoned_worker_gets_no_gang_until_it_is_uncordoned(self):
        # On an idle fleet the first worker is chosen; another one stays uncordoned.
        uncordoned = "worker-6"
        for worker in self.system.topology.workers:
            if worker["id"] != uncordoned:
                result = self.kcm("worker", "cordon", worker["id"], "test")
                self.assertEqual(result.returncode, 0, result.stderr)
        job = testing.gang(members=1, run_ms=100)
        for _ in range(4):
            name = self.system.submit("entry-1", "council", job).json()["job"]
            done = self.system.wait_job("entry-1", "council", name, ("done", "failed", "lost"))
            self.assertEqual([m["worker"] for m in done["members"]], [uncordoned])
        pair = self.system.submit("entry-1", "council", testing.gang(run_ms=100)).json()["job"]
        for worker in self.system.topology.workers:
            self.kcm("worker", "uncordon", worker["id"])
        self.system.wait_job("entry-1", "council", pair, ("done",))

    def test_values_with_commas_are_not_split(self):
        guarantee = {
            "data_centre": "hobart-a",
            "count": 1,
            "shape": {"members": 2, "accelerators": 8},
        }
        result = self.kcm("table", "set", "council", "guarantees=" + json.dumps([guarantee]))
        self.assertEqual(result.returncode, 0, result.stderr)
        self.assertIn("hobart-a 1 of 2x8", result.stdout)
        self.kcm("table", "set", "council", "guarantees=[]")
        token = testing.token_of("council")
        result = self.kcm("request", "send", "lamp 1, lamp 2", token=token)
        self.assertTrue(result.stdout.endswith("council: lamp 1, lamp 2\n"), result.stdout)

    def test_a_token_file_replaces_the_token_flag(self):
        with tempfile.NamedTemporaryFile("w") as file:
            file.write(testing.OPERATOR_TOKEN + "\n")
            file.flush()
            gateway = self.system.gateway("entry-1")
            command = [BUILD / "kcm", "--gateway", gateway, "--token-file", file.name]
            result = subprocess.run(
                [*command, "table", "show"], check=False, capture_output=True, text=True
            )
        self.assertEqual(result.returncode, 0, result.stderr)

    def test_completion_offers_the_verbs_of_a_group(self):
        script = self.kcm("completion", "bash").stdout
        probe = script + "COMP_WORDS=(kcm worker un); COMP_CWORD=2; _kcm; echo ${COMPREPLY[*]}"
        result = subprocess.run(["bash", "-c", probe], check=True, capture_output=True, text=True)
        self.assertEqual(result.stdout.strip(), "uncordon")

    def test_an_unknown_call_names_the_nearest_one(self):
        answer = self.system.operator("entry-1", "GET", "/v1/fleet/worker")
        self.assertEqual(answer.status, 404)
        self.assertIn("GET /v1/fleet/workers", answer.json()["message"])


if __name__ == "__main__":
    testing.main()
