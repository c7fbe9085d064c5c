"""Test suite; the logs of a failing test's processes are kept."""

import unittest

from extras.kept_logs import LogKeepingResult

unittest.TextTestRunner.resultclass = LogKeepingResult
