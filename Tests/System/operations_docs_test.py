#!/usr/bin/env python3
"""Checks the operators' pages in docs/ against the code and a running system."""

import json
import re
import subprocess
import unittest

import cluster as testing

ROOT = testing.ROOT
BUILD = testing.BUILD


def page(name):
    return (ROOT / "docs" / name).read_text()


class Example:
    """One "call" block of API.md."""

    def __init__(self, text):
        lines = text.strip().splitlines()
        self.caller, self.method, self.path = lines[0].split()
        self.status, _, answer = lines[-1].partition(" ")
        self.answer = json.loads(answer) if answer else None
        self.headers = {}
        self.body = ""
        for line in lines[1:-1]:
            header = re.fullmatch(r"([a-z-]+): (.*)", line)
            if header:
                self.headers[header[1]] = header[2]
            else:
                self.body = line


class Api(unittest.TestCase):
    def test_every_example_gets_the_documented_answer(self):
        blocks = re.findall(r"```call\n(.*?)```", page("API.md"), re.S)
        self.assertGreater(len(blocks), 20)
        with testing.Cluster(BUILD) as system:
            system.set_up_accounts()
            values = {}
            for block in blocks:
                with self.subTest(block.splitlines()[0]):
                    self.run_example(system, Example(block), values)

    def run_example(self, system, example, values):
        def substituted(text):
            text = re.sub(r"\$sha256\((.*?)\)", lambda m: testing.sha256(m[1]), text)
            return re.sub(r"\$(\w+)", lambda m: str(values.get(m[1], m[0])), text)

        headers = dict(example.headers)
        if example.caller != "nobody":
            token = testing.OPERATOR_TOKEN
            if example.caller != "operator":
                token = testing.token_of(example.caller)
            headers["Authorization"] = f"Bearer {token}"
        answer = testing.call(
            system.gateway("entry-1"),
            example.method,
            substituted(example.path),
            substituted(example.body) or None,
            headers,
        )
        self.assertEqual(answer.status, int(example.status), answer.body)
        for name, expected in (example.answer or {}).items():
            seen = answer.json()[name]
            if isinstance(expected, str) and expected.startswith("$"):
                self.assertEqual(values.setdefault(expected[1:], seen), seen)
            else:
                self.assertEqual(seen, expected)

    def test_every_call_of_the_gateway_has_an_example(self):
        source = (ROOT / "Services" / "Gateway" / "gateway_service.cc").read_text()
        routes = re.findall(r'Route\{"(\w+)",\s*"([^"]+)"', source)
        self.assertGreater(len(routes), 15)
        examples = re.findall(r"```call\n\w+ (\w+) (\S+)", page("API.md"))
        for method, pattern in routes:
            expression = re.escape(pattern).replace(r"\*", "[^/]+")
            with self.subTest(f"{method} {pattern}"):
                self.assertTrue(
                    any(m == method and re.fullmatch(expression, p) for m, p in examples)
                )


class Pages(unittest.TestCase):
    def test_events_page_and_catalogue_are_equal(self):
        header = (ROOT / "Libraries/LibCore/event.h").read_text()
        source = (ROOT / "Libraries/LibCore/event.cc").read_text()
        numbers = dict(re.findall(r"^  (k\w+) = (\d+),", header, re.M))
        names = dict(re.findall(r'EventInfo\{Event::(k\w+),\s*"(\w+)"', source))
        self.assertEqual(set(numbers), set(names))
        code = {(numbers[event], name) for event, name in names.items()}
        rows = re.findall(r"^\| (\d+) \| (\w+) \| (.+?) \| (.+?) \|$", page("EVENTS.md"), re.M)
        self.assertEqual({(number, name) for number, name, _, _ in rows}, code)

    def test_settings_page_equals_the_printed_reference(self):
        command = [BUILD / "kcm-gateway", "--settings-reference"]
        printed = subprocess.run(command, check=True, capture_output=True, text=True).stdout
        self.assertEqual(page("SETTINGS.md"), printed)

    def test_every_metric_of_the_page_is_served(self):
        names = re.findall(r"^\|(.*?)\|", page("METRICS.md").split("##")[0], re.M)
        names = re.findall(r"`(\w+)`", " ".join(names))
        self.assertGreater(len(names), 10)
        with testing.Cluster(BUILD) as system:
            system.set_up_accounts()
            served = testing.call(system.metrics("entry-1", "gateway"), "GET", "/metrics").body
        for name in names:
            with self.subTest(name):
                self.assertRegex(served, rf"(?m)^kcm_{name}[ {{]")


if __name__ == "__main__":
    testing.main()
