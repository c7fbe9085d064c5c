"""Answers calls whose key another entry or an earlier incarnation has claimed."""

import curio

from ..errors import ErrorKind, Ran, RequestError, StoreUnavailable
from ..process.store import Row, TableStore
from .answer import AnswerSink
from .call import Call
from .claims import Claim, ClaimState
from .outcome_writer import OutcomeWriter
from .owner_probe import OwnerProbe

POLL_DELAY_MIN_S = 0.05
POLL_DELAY_MAX_S = 0.5
RETRY_AFTER_S = 1.0


class DuplicateResponder:
    """Answers a call from the claim recorded in the table."""

    def __init__(
        self, table: TableStore, outcome_writer: OutcomeWriter, owners: OwnerProbe
    ):
        self._table = table
        self._outcome_writer = outcome_writer
        self._owners = owners

    async def answer(self, row: Row, call: Call, sink: AnswerSink) -> bool:
        """Send the outcome of the claim in ``row`` once its owner has written it.

        Returns False if the claim was released, so that the call may be claimed.
        Raises RequestError with the error to be returned to the caller.
        """
        delay_s = POLL_DELAY_MIN_S
        while True:
            claim = Claim.from_row(row)
            if claim is None or claim.state is ClaimState.RELEASED:
                return False
            check_fingerprint(call, claim)
            if claim.state is not ClaimState.CLAIMED:
                await self._outcome_writer.replay_answer(claim, call, sink)
                return True
            if await self._owners.has_ended(claim.entry_id, claim.incarnation):
                row = await self._read_again(row)
                if Claim.from_row(row) == claim:
                    raise _owner_ended_error()
                continue
            if call.remaining_s() < 2 * delay_s:
                raise duplicate_in_progress_error()
            await curio.sleep(delay_s)
            delay_s = min(2 * delay_s, POLL_DELAY_MAX_S)
            row = await self._read_again(row)

    async def _read_again(self, row: Row) -> Row:
        try:
            return await self._table.read(row.table, row.key)
        except StoreUnavailable:
            return row


def check_fingerprint(call: Call, claim: Claim) -> None:
    """Raise RequestError if the key was used for another request."""
    if call.fingerprint() != claim.fingerprint:
        raise RequestError(
            ErrorKind.KEY_REUSED,
            "the key was used before, for another request; this one did not run",
            field="Idempotency-Key",
            value=call.key,
            expected="a key that is unique to this piece of work",
        )


def duplicate_in_progress_error() -> RequestError:
    """Return the error for a key whose earlier request is still running."""
    return RequestError(
        ErrorKind.DUPLICATE_IN_PROGRESS,
        "an earlier request with this key has not ended",
        ran=Ran.UNKNOWN,
        retry_after_s=RETRY_AFTER_S,
    )


def _owner_ended_error() -> RequestError:
    return RequestError(
        ErrorKind.OUTCOME_UNKNOWN,
        "the entry that claimed this key ended before it recorded an outcome",
        ran=Ran.UNKNOWN,
    )
