"""Counts the attempts of calls that began to run, by customer.

A stream begins with its first event. A plain call is dated by when its attempt was
sent, and counted at once, since its answer may begin after the window's report; it is
taken back if the upstream refused it or nothing was sent. An attempt whose outcome is
unknown may have run and counts.
"""

import contextlib
from collections.abc import Iterator

from ..errors import Ran
from ..process.clock import now_s
from ..process.usage_counts import UsageCounts
from ..version.route_table import CallKind
from .attempt_failures import AttemptFailed
from .routed_call import RoutedCall


class RunCounter:
    """Counts attempts that run; counts nothing until ``counts`` is set."""

    def __init__(self):
        self.counts: UsageCounts | None = None

    @contextlib.contextmanager
    def count_plain(self, call: RoutedCall) -> Iterator[None]:
        """Count the attempt made in this block, unless it hasn't run."""
        counts = self.counts
        if counts is None or call.route.kind is CallKind.STREAM:
            yield
            return
        sent_at_s = now_s()
        counts.add(call.customer, sent_at_s)
        try:
            yield
        except AttemptFailed as exc:
            if exc.ran is Ran.NO:
                counts.add(call.customer, sent_at_s, -1)
            raise

    def count_stream(self, call: RoutedCall) -> None:
        """Count an attempt whose first event has arrived."""
        if self.counts is not None:
            self.counts.add(call.customer, now_s())
