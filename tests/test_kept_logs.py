"""The logs of the processes of a failing test are kept."""

import contextlib
import io
import tempfile
import unittest
from pathlib import Path

from extras.cluster import Cluster
from extras.kept_logs import LogKeeper, LogKeepingResult


class KeptLogsTest(unittest.TestCase):
    """Runs sample tests, whose clusters have a log but no processes."""

    def setUp(self):
        self.path = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.keeper = LogKeeper(self.path)
        self.clusters = []

    def start_cluster(self, text):
        cluster = Cluster(keeper=self.keeper)
        self.clusters.append(cluster)
        (cluster.path / "entry-1.log").write_text(text)
        return cluster

    def run_sample(self, *classes):
        class Result(LogKeepingResult):
            keeper = self.keeper

        load = unittest.defaultTestLoader.loadTestsFromTestCase
        suite = unittest.TestSuite(map(load, classes))
        stream = io.StringIO()
        unittest.TextTestRunner(stream, resultclass=Result).run(suite)
        return stream.getvalue()

    def kept(self, name):
        """Return the kept logs of the tests that end with ``name``."""
        logs = self.path.glob(f"*{name}/*/entry-1.log")
        return sorted(log.read_text() for log in logs)

    def assert_removed(self):
        for cluster in self.clusters:
            self.assertFalse(cluster.path.exists())

    def test_logs_are_kept_of_failing_tests_only(self):
        outer = self

        class Sample(unittest.TestCase):
            def setUp(self):
                self.enterContext(outer.start_cluster(self._testMethodName))

            def test_bad(self):
                self.fail("a fault")

            def test_broken(self):
                raise OSError

            def test_good(self):
                pass

        output = self.run_sample(Sample)
        self.assertEqual(self.kept("test_bad"), ["test_bad"])
        self.assertEqual(self.kept("test_broken"), ["test_broken"])
        self.assertEqual(self.kept("test_good"), [])
        folder = next(self.path.glob("*test_bad"))
        self.assertIn(f"test_bad: {folder}\n", output)
        self.assert_removed()

    def test_log_of_a_class_is_kept_to_its_end(self):
        outer = self

        class Sample(unittest.TestCase):
            @classmethod
            def setUpClass(cls):
                cls.cluster = cls.enterClassContext(outer.start_cluster("begin "))

            def test_1_good(self):
                pass

            def test_2_bad(self):
                with self.subTest("part"):
                    self.fail("a fault")

            def test_3_good(self):
                log = self.cluster.path / "entry-1.log"
                log.write_text(log.read_text() + "end")

        self.run_sample(Sample)
        self.assertEqual(self.kept("test_2_bad"), ["begin end"])
        self.assertEqual(self.kept("good"), [])
        self.assert_removed()

    def test_logs_of_clusters_that_ended_before_the_failure_are_kept(self):
        outer = self

        class Sample(unittest.TestCase):
            def test_bad(self):
                for text in ("first", "second"):
                    with outer.start_cluster(text):
                        pass
                self.fail("a fault")

            def test_good(self):
                with contextlib.suppress(OSError), outer.start_cluster("good"):
                    raise OSError

        self.run_sample(Sample)
        self.assertEqual(self.kept("test_bad"), ["first", "second"])
        self.assertEqual(self.kept("test_good"), [])
        self.assert_removed()

    def test_logs_of_a_failed_set_up_of_a_class_are_kept(self):
        outer = self

        class Sample(unittest.TestCase):
            @classmethod
            def setUpClass(cls):
                cls.enterClassContext(outer.start_cluster("set-up"))
                raise OSError

            def test_good(self):
                pass

        self.run_sample(Sample)
        self.assertEqual(self.kept(""), ["set-up"])
        self.assert_removed()

    def test_folder_is_removed_where_no_test_runs(self):
        with self.start_cluster("a program's"):
            pass
        self.assert_removed()
