"""Handshake of relayed connections, encoded with Cap'n Proto."""

from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path

import capnp

from ..errors import FrameError
from ..wire import Address

SCHEMA_PATH = Path(__file__).parents[1] / "schema" / "relay.capnp"
# First byte of a connection that is to be relayed; frames are too short for it.
RELAY_MARK = b"\xff"

capnp.remove_import_hook()
_schema = capnp.load(str(SCHEMA_PATH))


class RelayOutcome(IntEnum):
    """What became of a query; CANT_TELL says nothing of the upstream."""

    OPENED = 0
    UNREACHABLE = 1
    CANT_TELL = 2


@dataclass(frozen=True)
class RelayAnswer:
    """Answer to a query for a relayed connection."""

    outcome: RelayOutcome
    detail: str = ""


def encode_query(address: Address) -> bytes:
    """Encode a query for a connection to an upstream."""
    return _schema.RelayQuery.new_message(address=str(address)).to_bytes()


def decode_query(data: bytes) -> Address:
    """Decode a query; raises FrameError."""
    try:
        with _schema.RelayQuery.from_bytes(data) as message:
            return Address.parse(message.address)
    except (capnp.KjException, ValueError) as exc:
        raise FrameError(f"malformed relay query: {exc}") from exc


def encode_answer(answer: RelayAnswer) -> bytes:
    """Encode an answer."""
    return _schema.RelayAnswer.new_message(
        outcome=int(answer.outcome), detail=answer.detail
    ).to_bytes()


def decode_answer(data: bytes) -> RelayAnswer:
    """Decode an answer; raises FrameError."""
    try:
        with _schema.RelayAnswer.from_bytes(data) as message:
            return RelayAnswer(RelayOutcome(message.outcome), message.detail)
    except (capnp.KjException, ValueError) as exc:
        raise FrameError(f"malformed relay answer: {exc}") from exc
