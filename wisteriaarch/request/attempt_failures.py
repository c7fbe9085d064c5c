"""Reasons for failed attempts, and whether the request may have run."""

from enum import StrEnum
from typing import Self

from ..errors import Ran, UpstreamError


class FailureReason(StrEnum):
    """Reasons for which an attempt on an upstream ends without an answer."""

    NOT_CONNECTED = "not_connected"
    NOTHING_SENT = "nothing_sent"
    DECLINED = "declined"
    WRONG_INSTANCE = "wrong_instance"
    KV_CACHE_NOT_FOUND = "memory_gone"
    CLOSED = "closed"
    SILENT = "silent"
    MALFORMED = "malformed"
    FOREIGN_ANSWER = "foreign_answer"
    FAILED = "failed"


RAN_BY_REASON: dict[FailureReason, Ran] = {
    FailureReason.NOT_CONNECTED: Ran.NO,
    FailureReason.NOTHING_SENT: Ran.NO,
    FailureReason.DECLINED: Ran.NO,
    FailureReason.WRONG_INSTANCE: Ran.NO,
    FailureReason.KV_CACHE_NOT_FOUND: Ran.NO,
    FailureReason.CLOSED: Ran.UNKNOWN,
    FailureReason.SILENT: Ran.UNKNOWN,
    FailureReason.MALFORMED: Ran.UNKNOWN,
    FailureReason.FOREIGN_ANSWER: Ran.UNKNOWN,
    FailureReason.FAILED: Ran.YES,
}


class AttemptFailed(UpstreamError):
    """An attempt that ended without a usable answer."""

    def __init__(self, reason: FailureReason, detail: str = ""):
        super().__init__(f"{reason.value}: {detail}")
        self.reason = reason
        self.detail = detail

    @classmethod
    def nothing_sent(cls, detail: str) -> Self:
        """Return the failure of an attempt for which no upstream was available."""
        return cls(FailureReason.NOTHING_SENT, detail)

    @property
    def ran(self) -> Ran:
        """Whether the upstream may have run the request."""
        return RAN_BY_REASON[self.reason]


def combine_ran(known: Ran, new: Ran) -> Ran:
    """Return the combined state of a call after another attempt."""
    order = (Ran.NO, Ran.UNKNOWN, Ran.YES)
    return max(known, new, key=order.index)
