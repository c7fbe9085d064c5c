"""Choice of the peers with which an entry exchanges heartbeats."""

import hashlib
from collections.abc import Iterable


def choose_neighbours(
    own_id: str, entry_ids: Iterable[str], peers_max: int
) -> tuple[str, ...]:
    """Return the neighbours of ``own_id``.

    These are all other entries if ``peers_max`` allows it. Otherwise the graph is a
    ring over the hashed ids with chords of geometrically growing length. Entries that
    know the same ids choose each other, the graph is connected, and its diameter grows
    with the logarithm of the number of entries.
    """
    ring = sorted({own_id, *entry_ids}, key=_ring_position)
    if len(ring) - 1 <= peers_max:
        return tuple(name for name in ring if name != own_id)
    own_index = ring.index(own_id)
    neighbours = {}
    for offset in _chord_lengths(len(ring), max(1, peers_max // 2)):
        for index in (own_index + offset, own_index - offset):
            neighbours[ring[index % len(ring)]] = None
    return tuple(neighbours)


def is_initiator(own_id: str, peer_id: str) -> bool:
    """Whether this entry opens the connection; exactly one of the two peers does."""
    return _ring_position(own_id) < _ring_position(peer_id)


def _ring_position(entry_id: str) -> bytes:
    return hashlib.sha256(entry_id.encode()).digest()


def _chord_lengths(entries: int, count: int) -> list[int]:
    longest = (entries - 1) // 2
    ratio = longest ** (1 / count)
    lengths = {1}
    for power in range(1, count):
        lengths.add(min(longest, max(power + 1, round(ratio**power))))
    return sorted(lengths)
