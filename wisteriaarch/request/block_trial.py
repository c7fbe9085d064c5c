"""Trials of quarantined prompt blocks: which call and which entry runs one."""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

HASH_BYTES = 8


@dataclass
class BlockTrial:
    """Whether a call runs as a trial of quarantined blocks."""

    is_granted: bool = False


def choose_trial_owner(block: str, entry_ids: Iterable[str]) -> str:
    """Return the entry that runs the trials of a block (rendezvous hashing)."""

    def rank(entry_id: str) -> bytes:
        name = f"{block}@{entry_id}".encode()
        return hashlib.blake2b(name, digest_size=HASH_BYTES).digest()

    return max(entry_ids, key=rank)
