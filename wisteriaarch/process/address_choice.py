"""Which entries a caller is told to connect to.

Load pattern: hundreds of entries of unlike size, and callers who each hold a few
connections. Those of the caller's zone come first, and large ones are named more often
than small ones, as their share of a processor is the larger.
"""

import random
from collections.abc import Sequence

from .member_list import MemberRecord

ADDRESSES_MAX = 64
# Named at least, so that a caller can turn elsewhere where some have gone.
ADDRESSES_MIN = 8
CORES_MIN = 0.01


def choose_entries(
    living: Sequence[MemberRecord], zone: str, rng: random.Random
) -> list[str]:
    """Return the ids of the entries to name, at most ``ADDRESSES_MAX``.

    Those of other zones are named where the caller's zone has too few.
    """
    usable = [item for item in living if item.takes_callers]
    near = _draw([item for item in usable if item.zone == zone], rng)
    if len(near) >= ADDRESSES_MIN:
        return near
    far = _draw([item for item in usable if item.zone != zone], rng)
    return (near + far)[: max(ADDRESSES_MIN, len(near))]


def _draw(items: list[MemberRecord], rng: random.Random) -> list[str]:
    """Draw entries without repetition, by their shares of a processor.

    As many as there are shares of the largest one's size in the sum, so that the
    largest are always among them and others in proportion.
    """
    if not items:
        return []
    shares = [max(CORES_MIN, item.cores) for item in items]
    count = max(ADDRESSES_MIN, round(sum(shares) / max(shares)))
    keys = {
        item.entry_id: rng.random() ** (1 / share)
        for item, share in zip(items, shares, strict=True)
    }
    drawn = sorted(keys, key=keys.get, reverse=True)
    return drawn[: min(count, ADDRESSES_MAX)]
