"""Runs the unit, property and integration tests and prints how many passed and
failed. A test that KNOWN-RED.txt lists may fail; it is printed, but not counted
as failed."""

import json
import os
import pathlib
import subprocess
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = pathlib.Path(os.environ.get("SISKINSTAGE_BUILD", ROOT / "build"))
SEED = "20261204"  # of the property tests


def known_failures():
    """The lines of KNOWN-RED.txt that begin with "test ", up to the first |."""
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    return {line.split("|")[0].strip() for line in path.read_text().splitlines()
            if line.startswith("test ")}


def run_unit_tests(results):
    """Adds the results by test name: empty if passed, else the failure."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        environment = dict(os.environ, RC_PARAMS=f"seed={SEED}")
        process = subprocess.run(
            [BUILD / "tests/siskinstage_tests", "--gtest_brief=1",
             f"--gtest_output=json:{report.name}"], env=environment)
        text = pathlib.Path(report.name).read_text()
    if not text:
        results["unit tests"] = f"exited with status {process.returncode}"
        return
    for suite in json.loads(text)["testsuites"]:
        for test in suite["testsuite"]:
            name = f"{suite['name']}.{test['name']}"
            results[name] = "failed" if test.get("failures") else ""


class ResultRecorder(unittest.TextTestResult):
    """Records the result of each test by its name."""

    test_results = {}

    def stopTest(self, test):
        failed_tests = [t for t, _ in self.failures + self.errors]
        self.test_results[test.id()] = "failed" if test in failed_tests else ""
        super().stopTest(test)


def run_integration_tests(results):
    sys.path[:0] = [str(ROOT / "scripts"), str(ROOT / "tests/integration"),
                    str(ROOT / "tests/platform")]
    suite = unittest.defaultTestLoader.discover(
        str(ROOT / "tests/integration"), pattern="test_*.py")
    unittest.TextTestRunner(resultclass=ResultRecorder, verbosity=2).run(suite)
    results.update(ResultRecorder.test_results)


def main():
    results = {}
    if "--integration" not in sys.argv:
        run_unit_tests(results)
    if "--unit" not in sys.argv:
        run_integration_tests(results)
    known_lines = known_failures()
    failed = sorted(name for name, failure in results.items() if failure)
    known = [name for name in failed if f"test {name}" in known_lines]
    for name in known:
        print(f"known red: {name}")
    for name in failed:
        if name not in known:
            print(f"failed: {name} {results[name]}")
    passed = len(results) - len(failed)
    print(f"{passed} passed, {len(failed) - len(known)} failed")
    return 1 if len(failed) > len(known) or not results else 0


if __name__ == "__main__":
    sys.exit(main())
