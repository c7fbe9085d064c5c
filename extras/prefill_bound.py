"""Upper bound on the long prompts that any scheduler could answer in time.

Reads the JSON log lines of entries (event "attempt placed on an upstream", stage
prefill) and answers two questions. Which prompts take longer to prefill than
their objective, even on an idle engine? And which of the others fit into the prefill
stage, modelled as one engine of the combined rate that is never idle while work is
queued, switches between prompts at no cost and drops the largest prompts first? No real
scheduler does better than both together; the difference to what was served in time is
the gap.
"""

import argparse
import heapq
import json
import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime

PLACED_EVENT = 310
ANSWERED_EVENT = 312
LONG_TOKENS = 2048
HELD = "held"


@dataclass(frozen=True)
class PrefillRecord:
    """One long prompt: its arrival, the tokens to prefill and its first event.

    Times in seconds; ``first_s`` is None where no answer began.
    """

    arrived_at_s: float
    tokens: int
    first_s: float | None = None


@dataclass(frozen=True)
class Bound:
    """Numbers of prompts: all, too long by themselves, in time at best and in fact."""

    prompts: int
    too_long: int
    at_best: int
    served: int

    def __str__(self) -> str:
        return (
            f"{self.prompts} long prompts; {self.too_long} take longer than the "
            f"objective by themselves; in time at best {self.at_best} "
            f"({self.at_best / max(1, self.prompts):.3f}), in fact {self.served} "
            f"({self.served / max(1, self.prompts):.3f})"
        )


def read_log(lines: Iterable[str]) -> list[PrefillRecord]:
    """Return the long prompts of a log in the order of their arrival."""
    first: dict[str, dict] = {}
    answered: dict[str, float] = {}
    for content in _contents(lines):
        name = content.get("request")
        if content["event"] == PLACED_EVENT and content.get("stage") == "prefill":
            first.setdefault(name, content)
        elif content["event"] == ANSWERED_EVENT and content.get("status") == 200:
            answered[name] = content["first_s"]
    prefills = [
        PrefillRecord(_seconds(content["time"]), _tokens(content), answered.get(name))
        for name, content in first.items()
        if content["input_tokens"] >= LONG_TOKENS
    ]
    return sorted(prefills, key=lambda item: item.arrived_at_s)


def bound(
    prefills: list[PrefillRecord],
    engines: int,
    rate: float,
    objective_s: float,
    rest_s: float,
) -> Bound:
    """Return the bound; ``rest_s`` is the time from the prefill to the first event.

    ``rate`` is the tokens that one engine reads in a second.
    """
    time_s = objective_s - rest_s
    possible = [item for item in prefills if item.tokens / rate <= time_s]
    served = sum(
        item.first_s is not None and item.first_s <= objective_s for item in prefills
    )
    return Bound(
        prompts=len(prefills),
        too_long=len(prefills) - len(possible),
        at_best=_pooled(possible, engines * rate, time_s),
        served=served,
    )


def _pooled(prefills: list[PrefillRecord], rate: float, time_s: float) -> int:
    """Count the prompts in time on one engine; the largest are dropped first.

    All have the same time, so that they are due in the order of their arrival.
    """
    kept: list[int] = []
    free_at_s = 0.0
    dropped = 0
    for item in prefills:
        if free_at_s <= item.arrived_at_s:
            kept.clear()
            free_at_s = item.arrived_at_s
        heapq.heappush(kept, -item.tokens)
        free_at_s += item.tokens / rate
        if free_at_s > item.arrived_at_s + time_s:
            free_at_s += heapq.heappop(kept) / rate
            dropped += 1
    return len(prefills) - dropped


def _contents(lines: Iterable[str]) -> Iterator[dict]:
    for line in lines:
        start = line.find('{"time"')
        if start < 0:
            continue
        try:
            yield json.loads(line[start:])
        except ValueError:
            print(f"not read: {line[:80]!r}", file=sys.stderr)


def _tokens(content: dict) -> int:
    shared = content.get("holding") == HELD or content.get("copied_from")
    return content["own_tokens"] if shared else content["input_tokens"]


def _seconds(text: str) -> float:
    return datetime.fromisoformat(text).timestamp()


def main() -> int:
    """Print the bound for a log."""
    parser = argparse.ArgumentParser(prog="prefill_bound", description=__doc__)
    parser.add_argument("file", type=argparse.FileType(encoding="utf-8"))
    parser.add_argument("--engines", type=int, required=True, help="that read prompts")
    parser.add_argument("--rate", type=float, required=True, help="tokens/s of one")
    parser.add_argument("--objective-s", type=float, required=True)
    parser.add_argument("--rest-s", type=float, default=0.06)
    options = parser.parse_args()
    prefills = read_log(options.file)
    result = bound(
        prefills, options.engines, options.rate, options.objective_s, options.rest_s
    )
    print(result)
    return 0


if __name__ == "__main__":
    sys.exit(main())
