"""A graceful shutdown of a gateway interrupts no request."""

import http.client
import signal
import socket
import threading
import time
import unittest

import cluster as testing

BUILD = testing.BUILD
CALLERS = 24
WORK_MS = 300
# Maximum drain time with a stuck caller; far below the drain timeout.
DRAIN_SECONDS = 10


class Drain(unittest.TestCase):
    def setUp(self):
        topology = testing.small_glintwater()
        topology.minion_work_ms = WORK_MS
        self.system = testing.Cluster(BUILD, topology)
        self.system.start()
        self.addCleanup(self.system.stop)
        self.system.set_up_accounts()
        self.cut = []
        self.answered = []
        self.closed_by_header = 0

    def call_kept_alive(self, index):
        """Sends requests on one connection until the gateway closes it."""
        host, port = self.system.gateway("entry-1").split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=30)
        headers = {"Authorization": f"Bearer {testing.token_of('council')}"}
        if index % 2 == 0:
            headers["X-Idempotent"] = "false"
        number = 0
        while True:
            number += 1
            headers["Idempotency-Key"] = f"key-{index}-{number}"
            try:
                connection.request("POST", "/v1/requests", f"body-{index}-{number}.", headers)
                response = connection.getresponse()
                body = response.read().decode()
            except (OSError, http.client.HTTPException) as error:
                self.cut.append(repr(error))
                return
            sent = f"body-{index}-{number}."
            self.answered.append((response.status, sent, body, headers["Idempotency-Key"]))
            if response.getheader("connection", "").lower() == "close":
                self.closed_by_header += 1
                return

    def full_load(self):
        threads = [
            threading.Thread(target=self.call_kept_alive, args=(i,)) for i in range(CALLERS)
        ]
        for thread in threads:
            thread.start()
        testing.wait_until(lambda: len(self.answered) > 2 * CALLERS, "load")
        return threads

    def assert_nothing_cut(self, threads):
        for thread in threads:
            thread.join()
        self.assertEqual(self.cut, [])
        self.assertEqual(self.closed_by_header, CALLERS)
        for status, sent, body, _ in self.answered:
            self.assertEqual(status, 200, body)
            self.assertTrue(body.endswith(sent), (sent, body))

    def test_sigterm_under_full_load(self):
        threads = self.full_load()
        self.assertEqual(self.system.terminate("entry-1/gateway"), 0)
        self.assert_nothing_cut(threads)
        # The outcomes were recorded before the gateway exited.
        keyed = [(b, k) for _, _, b, k in self.answered if int(k.split("-")[1]) % 2 == 0]
        body, key = keyed[-1]
        repeated = self.system.request("entry-2", "council", "again", key)
        self.assertEqual((repeated.headers["x-repeated"], repeated.body), ("true", body))

    def test_second_sigterm(self):
        threads = self.full_load()
        self.system.kill("entry-1/gateway", signal.SIGTERM)
        testing.wait_until(
            lambda: "draining" in self.system.log_of("entry-1/gateway"), "drain has begun"
        )
        self.assertEqual(self.system.terminate("entry-1/gateway"), 0)
        self.assert_nothing_cut(threads)

    def test_caller_that_never_finishes_sending(self):
        host, port = self.system.gateway("entry-1").split(":")
        threads = self.full_load()
        with socket.create_connection((host, int(port))) as stuck:
            stuck.sendall(b"POST /v1/requests HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf")
            start = time.monotonic()
            self.assertEqual(self.system.terminate("entry-1/gateway"), 0)
            self.assertLess(time.monotonic() - start, DRAIN_SECONDS)
        self.assert_nothing_cut(threads)


if __name__ == "__main__":
    testing.main()
