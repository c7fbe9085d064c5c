"""Crashes and answers of prompt blocks, as far as this entry knows them.

Entries exchange these records, from which each derives its verdicts on blocks; see
``block_quarantine``.
"""

from collections.abc import Callable, Iterable

from ..process.clock import now_s
from ..process.digest import BlockAnswer, BlockCrash, BlockRecords
from .block_evidence import NEVER_S, CrashedRequest

RETENTION_S = 1800.0
RECORDS_MAX = 1024
ANSWERS_MAX = 4 * RECORDS_MAX
BLOCKS_PER_RECORD_MAX = 32
# Entries that missed a crash or an answer hear of it by pings for this time; the
# crashes that prove a verdict are repeated for as long as it holds.
RECENT_S = 10.0


class BlockHistory:
    """Records of one entry; ``version`` is incremented where verdicts may change.

    ``answered_at_s`` are the times of the last answers, by block.
    """

    def __init__(self, clock: Callable[[], float] = now_s):
        self._clock = clock
        self._crashes: dict[tuple[str, str], CrashedRequest] = {}
        self._exonerated_at_s: dict[str, float] = {}
        self.answered_at_s: dict[str, float] = {}
        self.version = 0

    def __bool__(self) -> bool:
        return bool(self._crashes)

    @property
    def crashes(self) -> Iterable[CrashedRequest]:
        """Requests that were in flight at crashes."""
        return self._crashes.values()

    def crashes_of(self, block: str) -> list[CrashedRequest]:
        """Return the crashes that accuse a block since it was last answered."""
        answered_at_s = self.answered_at_s.get(block, NEVER_S)
        return [
            item
            for item in self._crashes.values()
            if block in item.blocks and item.at_s > answered_at_s
        ]

    def add_crash(
        self, request: str, crash_id: str, blocks: tuple[str, ...], age_s: float = 0.0
    ) -> None:
        """Add a request that was in flight at a crash; a known one keeps its time."""
        key = (request, crash_id)
        if not blocks or key in self._crashes:
            return
        at_s = self._clock() - age_s
        self._crashes[key] = CrashedRequest(
            request, crash_id, blocks[:BLOCKS_PER_RECORD_MAX], at_s
        )
        self.version += 1
        while len(self._crashes) > RECORDS_MAX:
            del self._crashes[next(iter(self._crashes))]

    def add_answer(self, block: str, is_accused: bool, age_s: float = 0.0) -> None:
        """Add a complete answer; the blocks that were answered longest ago yield."""
        at_s = self._clock() - age_s
        known_at_s = self.answered_at_s.pop(block, NEVER_S)
        self.answered_at_s[block] = max(at_s, known_at_s)
        while len(self.answered_at_s) > ANSWERS_MAX:
            del self.answered_at_s[next(iter(self.answered_at_s))]
        if is_accused and at_s > known_at_s:
            self._exonerated_at_s[block] = at_s
            self.version += 1

    def remove_expired(self) -> None:
        """Remove old records, oldest first; the order is that of their arrival."""
        before_s = self._clock() - RETENTION_S
        while self._crashes:
            key, record = next(iter(self._crashes.items()))
            if record.at_s >= before_s:
                return
            del self._crashes[key]
            self.version += 1
        self._exonerated_at_s.clear()

    def export(
        self, count: int, is_proof: Callable[[CrashedRequest], bool]
    ) -> BlockRecords:
        """Return up to ``count`` crashes and as many answers for other entries.

        Half of the crashes are the newest of the last RECENT_S, the others proofs of
        verdicts, oldest first, if there are enough.
        """
        now = self._clock()
        by_age = sorted(self._crashes.values(), key=lambda item: -item.at_s)
        newest = [item for item in by_age if item.at_s >= now - RECENT_S]
        chosen = newest[: count // 2]
        proofs = [item for item in reversed(by_age) if is_proof(item)]
        for item in (*proofs, *newest):
            if len(chosen) < count and item not in chosen:
                chosen.append(item)
        return BlockRecords(
            tuple(
                BlockCrash(item.request, item.crash_id, item.blocks, now - item.at_s)
                for item in chosen
            ),
            self._export_answers(count, now),
        )

    def _export_answers(self, count: int, now: float) -> tuple[BlockAnswer, ...]:
        recent = [
            (now - at_s, block)
            for block, at_s in self._exonerated_at_s.items()
            if now - at_s < RECENT_S
        ]
        return tuple(
            BlockAnswer(block, age_s) for age_s, block in sorted(recent)[:count]
        )

    def merge(self, records: BlockRecords) -> None:
        """Merge what another entry knows."""
        for item in records.crashes:
            if item.age_s < RETENTION_S:
                self.add_crash(item.request, item.crash_id, item.blocks, item.age_s)
        if self._crashes:
            for item in records.answers:
                self.add_answer(item.block, is_accused=True, age_s=item.age_s)
