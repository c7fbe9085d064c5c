"""Quarantine of prompt blocks that crash the engines which decode them.

Requests that share such a block are no two alike, so records of whole requests
(``crash_history``, ``quarantine``) don't recognize them. ``block_evidence`` has the
rule by which a block is presumed the cause. Entries exchange the crashes and the
answers that this is derived from. A block leaves the quarantine only by an answer:
while several blocks may be the cause, the entries let about two requests a second
through that have only some of them; what nothing tells apart any more gets a few
trials, at one entry, in case it was quarantined by mistake, for example after all
engines had lost power.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..errors import ErrorKind, Ran, RequestError
from ..event_log import EventLog
from ..events import Event
from ..process.clock import now_s
from ..process.digest import NO_BLOCK_RECORDS, BlockRecords
from .block_evidence import (
    CRASHES_MIN,
    CrashedRequest,
    collect_evidence,
    presumed_causes,
)
from .block_history import BlockHistory
from .block_trial import BlockTrial

# Times of the trials, from the first crashes that suffice for the quarantine.
TRIAL_DELAYS_S = (8.0, 60.0, 600.0)
# Time between two probes of all entries together, while there are several suspects.
PROBE_INTERVAL_S = 0.5
# Answers are announced from this number of crashes on: one more may be needed for a
# verdict, and most blocks in flight at a crash have no part in another one.
ANNOUNCED_CRASHES_MIN = 2


@dataclass
class _Verdict:
    """Quarantine of one block since the crash that sufficed for it.

    ``group`` are the blocks that nothing tells apart from this one, itself included;
    empty while other blocks are presumed the cause.
    """

    since_s: float
    next_probe_at_s: float
    group: frozenset[str] = frozenset()
    trials_granted: int = 0

    def is_probe(self, present: frozenset[str]) -> bool:
        """Whether a request with these blocks would tell the suspects apart."""
        return not (self.group and self.group <= present)


@dataclass(frozen=True)
class TrialPolicy:
    """Which entries let requests through to test a verdict.

    ``is_owner`` returns whether this entry runs the trials of a block, and
    ``count_entries`` the number of entries that share the probes.
    """

    is_owner: Callable[[str], bool] = lambda _block: True
    count_entries: Callable[[], int] = lambda: 1


class BlockQuarantine:
    """Crashes, answers and verdicts on prompt blocks; one instance per entry.

    Requests are refused with ``error_kind``.
    """

    def __init__(
        self,
        log: EventLog,
        error_kind: ErrorKind,
        trials: TrialPolicy,
        clock: Callable[[], float] = now_s,
        rng: random.Random | None = None,
    ):
        self._log = log
        self._error_kind = error_kind
        self._trials = trials
        self._clock = clock
        self._rng = rng or random.Random()
        self._history = BlockHistory(clock)
        self._verdicts: dict[str, _Verdict] = {}
        self._crash_counts: dict[str, int] = {}
        self._judged_version = 0

    @property
    def has_evidence(self) -> bool:
        """Whether any block was in flight at a crash that is still remembered."""
        return bool(self._history)

    @property
    def version(self) -> int:
        """Number that rises with each change from which verdicts are derived."""
        return self._history.version

    def check(self, blocks: Iterable[str], trial: BlockTrial, ran: Ran) -> None:
        """Raise RequestError if a request has a block that is in quarantine.

        A request that is let through to test the verdict passes, and goes on passing
        until it is in flight at another crash.
        """
        if not self._history or trial.is_granted:
            return
        self._update_verdicts()
        present = frozenset(block for block in blocks if block in self._verdicts)
        if not present:
            return
        if not all(self._may_test(block, present) for block in present):
            raise RequestError(
                self._error_kind,
                "a block of the prompt was in flight at several crashes of upstreams",
                ran=ran,
            )
        self._grant_trial(present, trial)

    def _may_test(self, block: str, present: frozenset[str]) -> bool:
        verdict = self._verdicts[block]
        if verdict.is_probe(present):
            return self._clock() >= verdict.next_probe_at_s
        return self._is_trial_due(block, verdict)

    def _is_trial_due(self, block: str, verdict: _Verdict) -> bool:
        """Whether this entry must test a block that nothing else accuses or excuses.

        A crash since a trial became due is the result of that trial, wherever it ran.
        """
        age_s = self._clock() - verdict.since_s
        due = sum(age_s >= delay_s for delay_s in TRIAL_DELAYS_S)
        if due <= verdict.trials_granted:
            return False
        due_at_s = verdict.since_s + TRIAL_DELAYS_S[due - 1]
        if any(item.at_s >= due_at_s for item in self._history.crashes_of(block)):
            return False
        return self._trials.is_owner(min(verdict.group))

    def _grant_trial(self, present: frozenset[str], trial: BlockTrial) -> None:
        trial.is_granted = True
        next_probe_at_s = self._clock() + self._probe_interval_s()
        for block in present:
            verdict = self._verdicts[block]
            verdict.trials_granted += not verdict.is_probe(present)
            verdict.next_probe_at_s = next_probe_at_s
        self._log.write(Event.BLOCK_TRIED, blocks=sorted(present))

    def _probe_interval_s(self) -> float:
        return PROBE_INTERVAL_S * max(1, self._trials.count_entries())

    def record_crash(
        self, request: str, blocks: tuple[str, ...], crash_id: str
    ) -> None:
        """Record that a request with these blocks was in flight at a crash."""
        self._history.add_crash(request, crash_id, blocks)

    def record_answer(self, blocks: Iterable[str]) -> bool:
        """Record a complete answer; returns whether to tell the other entries."""
        self._update_verdicts()
        counts = self._crash_counts
        is_news = False
        for block in blocks:
            crashes = counts.get(block, 0)
            is_news = is_news or crashes >= ANNOUNCED_CRASHES_MIN
            self._history.add_answer(block, is_accused=crashes > 0)
        return is_news

    def export(self, count: int) -> BlockRecords:
        """Return up to ``count`` crashes and as many answers for other entries."""
        if not self._history:
            return NO_BLOCK_RECORDS
        self._update_verdicts()
        return self._history.export(count, self._is_proof)

    def _is_proof(self, record: CrashedRequest) -> bool:
        return any(block in self._verdicts for block in record.blocks)

    def merge(self, records: BlockRecords) -> None:
        """Merge what another entry knows."""
        self._history.merge(records)

    def _update_verdicts(self) -> None:
        """Derive the verdicts anew if anything has changed."""
        history = self._history
        history.remove_expired()
        if history.version == self._judged_version:
            return
        self._judged_version = history.version
        evidence = collect_evidence(history.crashes, history.answered_at_s)
        self._crash_counts = {
            block: len(item.crash_ids) for block, item in evidence.items()
        }
        for block in list(self._verdicts):
            if block not in evidence or not evidence[block].is_sufficient:
                self._release(block)
        self._judge(presumed_causes(evidence, history.answered_at_s))

    def _judge(self, groups: Iterable[frozenset[str]]) -> None:
        for verdict in self._verdicts.values():
            verdict.group = frozenset()
        for blocks in groups:
            for block in blocks:
                verdict = self._verdicts.get(block) or self._quarantine(block)
                verdict.group = blocks

    def _quarantine(self, block: str) -> _Verdict:
        records = self._history.crashes_of(block)
        verdict = _Verdict(
            since_s=_sufficient_at_s(records),
            next_probe_at_s=self._clock()
            + self._rng.uniform(0.0, self._probe_interval_s()),
        )
        self._verdicts[block] = verdict
        self._log.write(
            Event.BLOCK_QUARANTINED,
            block=block,
            crashes=len({item.crash_id for item in records}),
            requests=len({item.request for item in records}),
        )
        return verdict

    def _release(self, block: str) -> None:
        del self._verdicts[block]
        self._log.write(Event.BLOCK_RELEASED, block=block)


def _sufficient_at_s(records: Iterable[CrashedRequest]) -> float:
    """Return the time of the crash with which there were enough of them.

    Entries that learn of the crashes at different times compute the same.
    """
    first_at_s: dict[str, float] = {}
    for item in records:
        at_s = first_at_s.get(item.crash_id, item.at_s)
        first_at_s[item.crash_id] = min(at_s, item.at_s)
    return sorted(first_at_s.values())[:CRASHES_MIN][-1]
