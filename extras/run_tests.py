"""Runs the test suite; only failures listed in KNOWN-RED.txt are tolerated.

An entry of KNOWN-RED.txt starts with a test's id on a line of its own; the indented
lines below it are ``command:``, ``seed:``, ``seen:`` and ``issue:``. Lines that start
with ``#`` are comments.
"""

import argparse
import io
import multiprocessing
import sys
import unittest
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import TextIO

from .kept_logs import LogKeepingResult

KNOWN_RED_PATH = Path("KNOWN-RED.txt")
TESTS_PATH = Path("tests")
JOBS = 4
REQUIRED_FIELDS = ("command", "seed", "seen", "issue")


class KnownRedError(Exception):
    """Error in KNOWN-RED.txt, such as a syntax error or an unknown test."""


@dataclass
class KnownRed:
    """Test that is known to fail, with the fields of its entry."""

    test_id: str
    fields: dict[str, str] = field(default_factory=dict)


@dataclass
class Verdict:
    """Outcome of a run; ``failed`` contains test ids, including known failures."""

    passed: int
    skipped: int
    failed: tuple[str, ...]
    known: tuple[KnownRed, ...]

    @property
    def unlisted(self) -> list[str]:
        """Failed tests without an entry in KNOWN-RED.txt."""
        listed = {item.test_id for item in self.known}
        return [test_id for test_id in self.failed if test_id not in listed]

    @property
    def exit_code(self) -> int:
        """0 if every failure is listed, otherwise 1."""
        return 1 if self.unlisted else 0

    def write(self, stream: TextIO) -> None:
        """Print known failures, unlisted failures and the summary line."""
        for item in self.known:
            state = "failed" if item.test_id in self.failed else "passed this time"
            stream.write(f"known red, {state}: {item.test_id}\n")
            for name, value in item.fields.items():
                stream.write(f"    {name}: {value}\n")
        for test_id in self.unlisted:
            stream.write(f"FAILED: {test_id}\n")
        if self.skipped:
            stream.write(f"skipped: {self.skipped}\n")
        stream.write(f"tests: {self.passed} passed, {len(self.failed)} failed\n")


def parse_known_red(text: str) -> list[KnownRed]:
    """Parse the entries.

    Raises KnownRedError with the line number or the test id of the faulty entry.
    """
    entries: list[KnownRed] = []
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip() or line.startswith("#"):
            continue
        if not line[0].isspace():
            entries.append(KnownRed(line.strip()))
            continue
        name, colon, value = line.strip().partition(":")
        if not entries or not colon or name not in REQUIRED_FIELDS:
            raise KnownRedError(f"line {number}: expected one of {REQUIRED_FIELDS}")
        entries[-1].fields[name] = value.strip()
    for entry in entries:
        missing = [name for name in REQUIRED_FIELDS if not entry.fields.get(name)]
        if missing:
            raise KnownRedError(f"{entry.test_id}: no {', '.join(missing)}")
    return entries


@dataclass(frozen=True)
class SuiteResult:
    """Outcome of one suite, with the output of its runner."""

    existing: frozenset[str]
    failed: frozenset[str]
    skipped: int
    tests_run: int
    output: str


def run_suite(suite: unittest.TestSuite, known: list[KnownRed]) -> Verdict:
    """Run ``suite`` in this process.

    Raises KnownRedError if an entry names no test of the suite.
    """
    return combine_results([_collect(suite)], known)


def run_modules(names: list[str], known: list[KnownRed], jobs: int) -> Verdict:
    """Run test modules, ``jobs`` at a time, each in its own process."""
    spawn = multiprocessing.get_context("spawn")
    results = []
    with ProcessPoolExecutor(jobs, mp_context=spawn, max_tasks_per_child=1) as pool:
        for result in pool.map(_run_module, names):
            sys.stderr.write(result.output)
            results.append(result)
    sys.stderr.flush()
    return combine_results(results, known)


def combine_results(results: list[SuiteResult], known: list[KnownRed]) -> Verdict:
    """Combine results; raises KnownRedError if an entry names no existing test."""
    existing = {test_id for result in results for test_id in result.existing}
    absent = [item.test_id for item in known if item.test_id not in existing]
    if not existing:
        raise KnownRedError("there are no tests to run")
    if absent:
        raise KnownRedError(f"no such test: {', '.join(absent)}")
    failed = {test_id for result in results for test_id in result.failed}
    skipped = sum(result.skipped for result in results)
    tests_run = sum(result.tests_run for result in results)
    passed = tests_run - skipped - len(failed & existing)
    return Verdict(passed, skipped, tuple(sorted(failed)), tuple(known))


def _run_module(name: str) -> SuiteResult:
    return _collect(unittest.defaultTestLoader.loadTestsFromName(name))


def _collect(suite: unittest.TestSuite) -> SuiteResult:
    existing = frozenset(test.id() for test in iterate_tests(suite))
    stream = io.StringIO()
    runner = unittest.TextTestRunner(stream, verbosity=2, resultclass=LogKeepingResult)
    result = runner.run(suite)
    return SuiteResult(
        existing,
        frozenset(_failed_ids(result)),
        len(result.skipped),
        result.testsRun,
        stream.getvalue(),
    )


def iterate_tests(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """Yield each test of a nested suite."""
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from iterate_tests(item)
        else:
            yield item


def _failed_ids(result: unittest.TestResult) -> set[str]:
    """Return the ids of failed tests; a failed class set-up has its own id."""
    failures = [*result.failures, *result.errors, *result.expectedFailures]
    tests = [test for test, _traceback in failures] + result.unexpectedSuccesses
    return {getattr(test, "test_case", test).id() for test in tests}


def main(arguments: list[str] | None = None) -> int:
    """Run the whole suite and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--known-red", type=Path, default=KNOWN_RED_PATH)
    parser.add_argument("--jobs", type=int, default=JOBS, help="modules at a time")
    options = parser.parse_args(arguments)
    text = ""
    if options.known_red.exists():
        text = options.known_red.read_text(encoding="utf-8")
    names = [f"tests.{path.stem}" for path in sorted(TESTS_PATH.glob("test_*.py"))]
    try:
        verdict = run_modules(names, parse_known_red(text), options.jobs)
    except KnownRedError as exc:
        sys.stderr.write(f"{options.known_red}: {exc}\n")
        return 1
    verdict.write(sys.stdout)
    return verdict.exit_code


if __name__ == "__main__":
    sys.exit(main())
