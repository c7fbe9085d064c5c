"""Table rows that record the claims of non-idempotent calls."""

import base64
from dataclasses import asdict, dataclass, replace
from enum import StrEnum
from typing import Any

from ..process.store import Row
from ..wire import Headers
from .call import Call

CLAIMS_TABLE = "claims"


class ClaimState(StrEnum):
    """State of a claimed call.

    CLAIMED: the call may be running. RELEASED: it did not run and may be claimed
    again. FINISHED: its answer is recorded. UNRESOLVED: it is unknown whether it ran.
    """

    CLAIMED = "claimed"
    RELEASED = "released"
    FINISHED = "finished"
    UNRESOLVED = "unresolved"


@dataclass(frozen=True)
class StoredAnswer:
    """Answer of a finished call; a large body is kept in the object store."""

    status: int
    headers: Headers
    streamed: bool
    body: bytes | None = None
    object_name: str | None = None


@dataclass(frozen=True)
class Claim:
    """Claim of one call by one incarnation of an entry.

    ``epoch`` is the epoch of the last write of the row.
    """

    claim_id: str
    fingerprint: str
    entry_id: str
    incarnation: int
    state: ClaimState = ClaimState.CLAIMED
    answer: StoredAnswer | None = None
    epoch: int = 0

    @property
    def may_have_stored_body(self) -> bool:
        """Whether the object store may hold the answer's body."""
        if self.state is ClaimState.FINISHED:
            return self.answer.object_name is not None
        return self.state is not ClaimState.RELEASED

    @classmethod
    def from_row(cls, row: Row) -> "Claim | None":
        """Return the claim in a row, or None if the row doesn't exist."""
        if not row.exists:
            return None
        value = row.value
        return cls(
            claim_id=value["claim_id"],
            fingerprint=value["fingerprint"],
            entry_id=value["entry_id"],
            incarnation=value["incarnation"],
            state=ClaimState(value["state"]),
            answer=_answer_from_json(value["answer"]),
            epoch=value.get("epoch", 0),
        )

    def to_value(self) -> dict[str, Any]:
        """Return the value to be written to the row."""
        value = asdict(replace(self, answer=None))
        value["answer"] = _answer_to_json(self.answer)
        return value


def claim_key(call: Call) -> str:
    """Return the row key of a call's claim."""
    return f"{call.caller.name}/{call.key}"


def answer_object_name(claim_id: str) -> str:
    """Return the object store name of a claim's answer body."""
    return f"results/{claim_id}"


def _answer_to_json(answer: StoredAnswer | None) -> dict[str, Any] | None:
    if answer is None:
        return None
    content = dict(vars(answer))
    if answer.body is not None:
        content["body"] = base64.b64encode(answer.body).decode("ascii")
    return content


def _answer_from_json(content: dict[str, Any] | None) -> StoredAnswer | None:
    if content is None:
        return None
    body = content["body"]
    return StoredAnswer(
        status=content["status"],
        headers=[(name, value) for name, value in content["headers"]],
        streamed=content["streamed"],
        body=None if body is None else base64.b64decode(body),
        object_name=content["object_name"],
    )
