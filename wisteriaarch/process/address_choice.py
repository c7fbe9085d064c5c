"""Choice of the entry addresses that a caller receives.

There are hundreds of entries of different sizes, and each caller holds only a few
connections. Entries in the caller's zone are preferred, and entries are sampled in
proportion to their CPU share, so that load follows capacity.
"""

import random
from collections.abc import Sequence

from .member_list import MemberRecord

ADDRESSES_MAX = 64
# Leaves a caller alternatives if some of the entries have failed.
ADDRESSES_MIN = 8
CORES_MIN = 0.01


def choose_entries(
    members: Sequence[MemberRecord], zone: str, rng: random.Random
) -> list[str]:
    """Return the ids of the entries to offer to a caller, at most ``ADDRESSES_MAX``.

    Entries in other zones are added if the caller's zone has fewer than
    ``ADDRESSES_MIN``.
    """
    available = [item for item in members if item.accepts_callers]
    same_zone = _weighted_sample([item for item in available if item.zone == zone], rng)
    if len(same_zone) >= ADDRESSES_MIN:
        return same_zone
    other_zones = _weighted_sample(
        [item for item in available if item.zone != zone], rng
    )
    return (same_zone + other_zones)[: max(ADDRESSES_MIN, len(same_zone))]


def _weighted_sample(items: list[MemberRecord], rng: random.Random) -> list[str]:
    """Sample entries without replacement, weighted by CPU share.

    The sample size is the total CPU share divided by the largest one, within
    ``ADDRESSES_MIN`` and ``ADDRESSES_MAX``.
    """
    if not items:
        return []
    shares = [max(CORES_MIN, item.cores) for item in items]
    count = max(ADDRESSES_MIN, round(sum(shares) / max(shares)))
    keys = {
        item.entry_id: rng.random() ** (1 / share)
        for item, share in zip(items, shares, strict=True)
    }
    by_key = sorted(keys, key=keys.get, reverse=True)
    return by_key[: min(count, ADDRESSES_MAX)]
