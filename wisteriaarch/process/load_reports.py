"""Load reports of engines and how old they are."""

from dataclasses import dataclass

from .clock import now_s


@dataclass(frozen=True)
class LoadReport:
    """Load as reported by an engine; ``received_at_s`` is on this entry's clock.

    ``sampled_at_s`` is on the engine's own clock. ``excess_age_s`` is the age of the
    sample beyond that of the freshest one from this incarnation. Counters only
    increase. ``software`` is the version of the engine's software, empty if it reports
    none.
    """

    incarnation: int
    role: str
    models: dict[str, str]
    queued: int
    running: int
    prefill_tokens_left: int
    received_at_s: float
    sampled_at_s: float = 0.0
    excess_age_s: float = 0.0
    prefilled_tokens: int = 0
    cached_tokens: int = 0
    decoded_tokens: int = 0
    steps: int = 0
    software: str = ""

    @property
    def requests(self) -> int:
        """Requests running and queued."""
        return self.queued + self.running


class ReportReader:
    """Reads an engine's reports and derives their age from the engine's clock."""

    def __init__(self):
        self._incarnation: int | None = None
        self._min_offset_s = 0.0

    def read(self, item: dict) -> LoadReport:
        """Return the report; raises KeyError where a field is missing."""
        received_at_s = now_s()
        sampled_at_s = item.get("sampled_at_s", received_at_s)
        offset_s = received_at_s - sampled_at_s
        if item["incarnation"] != self._incarnation:
            self._incarnation = item["incarnation"]
            self._min_offset_s = offset_s
        self._min_offset_s = min(self._min_offset_s, offset_s)
        return LoadReport(
            incarnation=item["incarnation"],
            role=item["role"],
            models=item["models"],
            queued=item["queued"],
            running=item["running"],
            prefill_tokens_left=item["prefill_tokens_left"],
            received_at_s=received_at_s,
            sampled_at_s=sampled_at_s,
            excess_age_s=offset_s - self._min_offset_s,
            prefilled_tokens=item.get("prefilled_tokens", 0),
            cached_tokens=item.get("cached_tokens", 0),
            decoded_tokens=item.get("decoded_tokens", 0),
            steps=item.get("steps", 0),
            software=item.get("software", ""),
        )
