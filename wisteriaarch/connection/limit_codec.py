"""Request limits of upstreams in messages between entries, for both schemas."""

import math

from ..errors import FrameError
from ..process.digest import LimitRecord
from ..process.request_limits import UNLIMITED

MS_PER_S = 1000
AGE_MAX_MS = 0xFFFFFFFF


def limit_fields(record: LimitRecord) -> dict:
    """Return the fields of a ``Limit`` struct."""
    has_ended = record.per_s == UNLIMITED
    return {
        "upstream": record.upstream,
        "perS": 0.0 if has_ended else record.per_s,
        "hasEnded": has_ended,
        "ageMs": min(AGE_MAX_MS, int(record.age_s * MS_PER_S) + 1),
    }


def limit_from(item) -> LimitRecord:
    """Return the record of a ``Limit`` struct; raises FrameError if it is malformed."""
    if not item.upstream:
        raise FrameError("the upstream is missing from a request limit")
    if not (math.isfinite(item.perS) and item.perS >= 0):
        raise FrameError(f"expected a finite, non-negative limit, got {item.perS}")
    per_s = UNLIMITED if item.hasEnded else item.perS
    return LimitRecord(item.upstream, per_s, item.ageMs / MS_PER_S)
