"""Each caller gets the complete answer to its own request, or an error."""

import http.client
import socket
import threading
import unittest

import cluster as testing

BUILD = testing.BUILD
LARGE_BODY = "x" * 6_000_000


class WholeAnswer(unittest.TestCase):
    def setUp(self):
        self.system = testing.Cluster(BUILD, proxy=True)
        self.system.start()
        self.addCleanup(self.system.stop)
        self.system.set_up_accounts()

    def send_many(self, count, deadline_ms):
        """Sends requests at the same time; returns answers by body."""
        answers = {}

        def send(body):
            answers[body] = self.system.request(
                "entry-1", "council", body, deadline_ms=deadline_ms
            )

        threads = [threading.Thread(target=send, args=(f"route-{i}.",)) for i in range(count)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return answers

    def assert_own_or_not_done(self, answers):
        for body, answer in answers.items():
            if answer.headers["x-conclusion"] == "done":
                self.assertTrue(answer.body.endswith(f"for council: {body}"), answer.body)

    def done(self, answers):
        return sum(a.headers["x-conclusion"] == "done" for a in answers.values())

    def test_late_answers_never_answer_requests_on_reused_connections(self):
        self.assertEqual(self.done(self.send_many(8, 10000)), 8)
        self.system.faults("minion/", delay_ms=700)
        late = self.send_many(16, 600)
        self.assertEqual(self.done(late), 0)
        self.system.faults("minion/", delay_ms=0)
        after = self.send_many(16, 10000)
        self.assert_own_or_not_done(after)
        self.assertEqual(self.done(after), 16)

    def test_crossed_answers_reach_no_caller(self):
        for minion in self.system.topology.minions:
            self.system.minion_state(minion, crossed=True)
        answers = self.send_many(24, 3000)
        self.assert_own_or_not_done(answers)
        ran = {run["body"] for run in self.system.journal("runs.jsonl")}
        for body, answer in answers.items():
            self.assertIn(answer.headers["x-conclusion"], ("done", "unknown", "not_run"))
            # A request that found no slot may be refused, but then it must not have run.
            if answer.headers["x-conclusion"] == "not_run":
                self.assertNotIn(body, ran)
        self.assertTrue(any(a.headers["x-conclusion"] == "unknown" for a in answers.values()))

    def test_answer_cut_mid_body(self):
        body = "y" * 4000
        self.system.faults("minion/", truncate_after=2000)
        cut = self.system.request("entry-1", "council", body, "bill-1")
        self.assertEqual((cut.status, cut.headers["x-conclusion"]), (504, "unknown"))
        idempotent = self.system.request("entry-1", "council", body, deadline_ms=2000)
        self.assertEqual(idempotent.headers["x-conclusion"], "unknown")
        self.system.faults("minion/", truncate_after=0)

    def test_gateway_killed_mid_answer(self):
        host, port = self.system.gateway("entry-1").split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=30)
        connection.sock = socket.socket()
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.sock.settimeout(30)
        connection.sock.connect((host, int(port)))
        headers = {"Authorization": f"Bearer {testing.token_of('council')}"}
        connection.request("POST", "/v1/requests", LARGE_BODY, headers)
        response = connection.getresponse()
        self.assertEqual(response.status, 200)
        response.read(1000)
        self.system.kill("entry-1/gateway")
        with self.assertRaises((http.client.IncompleteRead, ConnectionError)):
            response.read()
        connection.close()


if __name__ == "__main__":
    testing.main()
