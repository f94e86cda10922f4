"""The settings shipped in Base/ equal those that the tests run with."""

import pathlib
import subprocess
import tempfile
import unittest

import cluster as testing

ROOT = testing.ROOT
BUILD = testing.BUILD
BASE = ROOT / "Base" / "Glintwater"


class BaseSettings(unittest.TestCase):
    def test_equal_the_settings_of_the_test_cluster(self):
        system = testing.Cluster(BUILD, network=testing.BASE_NETWORK)
        with tempfile.TemporaryDirectory() as folder:
            system.write_settings(folder)
            for path in sorted(pathlib.Path(folder).iterdir()):
                with self.subTest(path.name):
                    self.assertEqual((BASE / path.name).read_text(), path.read_text())

    def test_are_valid_for_every_role(self):
        for role in testing.ROLES:
            for path in sorted(BASE.glob("*.toml")):
                with self.subTest(role=role, path=path.name):
                    command = [BUILD / f"kcm-{role}", "--config", path, "--check"]
                    self.assertEqual(subprocess.run(command, check=False).returncode, 0)

    def test_errors_name_the_file_and_the_allowed_values(self):
        good = (BASE / "entry-1.toml").read_text()
        cases = (
            ("misspelt key", "data_centre =", "data_center =", "Did you mean"),
            ("bad port", ":8001", ":99999", "IP:PORT with a port from 1 to 65535"),
            ("wrong type", 'name = "entry-1"', "name = 7", "node.name is 7"),
            ("no TOML", "[node]", "[node", "entry.toml:1"),
            ("bad name", "[scheduler]", 'routing = "rr"\n[scheduler]', "allowed is least_loaded"),
            ("bad order", "[scheduler]", 'queue_order = "x"\n[scheduler]', "allowed is first_in"),
            ("bad span", "[scheduler]", "[scheduler]\nreclaim_bound_ms = 1", "reclaim_bound_ms"),
            ("unknown place", '"hobart-a"', '"hobart-z"', "none of the [[data_centre]]"),
        )
        for name, old, new, expected in cases:
            with self.subTest(name), tempfile.TemporaryDirectory() as folder:
                path = pathlib.Path(folder) / "entry.toml"
                path.write_text(good.replace(old, new, 1))
                command = [BUILD / "kcm-gateway", "--config", path, "--check"]
                result = subprocess.run(command, check=False, capture_output=True, text=True)
                self.assertEqual(result.returncode, 2)
                self.assertIn(expected, result.stderr)
                self.assertIn("entry.toml", result.stderr)


if __name__ == "__main__":
    testing.main()
