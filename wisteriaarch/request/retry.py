"""Retry rules for failed calls: safety, backoff of upstreams and retry budgets."""

from functools import singledispatch

from ..process.clock import now_s
from .call import Call, CompletionCall, ServiceCall

SAFE_METHODS = frozenset(("GET", "HEAD", "PUT", "DELETE", "OPTIONS"))
RETRIES_PER_SUCCESS = 0.2
BUCKET_CAPACITY = 200.0
EXCLUSION_MIN_S = 0.25
EXCLUSION_MAX_S = 2.0


class ExcludedUpstreams:
    """Upstreams on which a call failed, excluded with exponential backoff.

    The exclusion ends, since an upstream that has restarted or completed an order may
    be the only one that can continue the call.
    """

    def __init__(self):
        self._until_s: dict[str, float] = {}
        self._next_delay_s: dict[str, float] = {}

    def add(self, upstream: str) -> None:
        """Exclude an upstream; each failure doubles the time, up to a maximum."""
        delay_s = self._next_delay_s.get(upstream, EXCLUSION_MIN_S)
        self._until_s[upstream] = now_s() + delay_s
        self._next_delay_s[upstream] = min(2 * delay_s, EXCLUSION_MAX_S)

    def names(self) -> set[str]:
        """Return the names of the upstreams that are currently excluded."""
        now = now_s()
        return {name for name, until_s in self._until_s.items() if now < until_s}


class RetryBudget:
    """Token buckets of retries, one for each caller and each failing upstream.

    A bucket starts full, so that all requests of one failed engine with a full batch
    can be retried. Each success adds a fraction of a retry, so that during lasting
    failures retries remain a fraction of the successful calls.
    """

    def __init__(
        self,
        refill_per_success: float = RETRIES_PER_SUCCESS,
        capacity: float = BUCKET_CAPACITY,
    ):
        self._refill_per_success = refill_per_success
        self._capacity = capacity
        self._retries_left: dict[str, float] = {}

    def record_success(self, caller: str, upstream: str) -> None:
        """Refill the budgets for a call that an upstream answered."""
        for name in _bucket_names(caller, upstream):
            left = self._retries_left.get(name)
            if left is None:
                continue
            if left + self._refill_per_success >= self._capacity:
                del self._retries_left[name]
            else:
                self._retries_left[name] = left + self._refill_per_success

    def try_spend(self, caller: str, upstream: str) -> bool:
        """Spend one retry for a call that failed on an upstream.

        Returns False if the caller or the upstream has no retries left.
        """
        names = _bucket_names(caller, upstream)
        left = [self._retries_left.get(name, self._capacity) for name in names]
        if min(left) < 1:
            return False
        for name, amount in zip(names, left, strict=True):
            self._retries_left[name] = amount - 1
        return True


@singledispatch
def may_retry(call: Call) -> bool:
    """Whether a call that may have run can safely be run again."""
    raise TypeError(f"calls of type {type(call).__name__} can't be sent")


@may_retry.register
def _(call: CompletionCall) -> bool:
    return not call.non_idempotent


@may_retry.register
def _(call: ServiceCall) -> bool:
    if call.non_idempotent:
        return False
    return call.method in SAFE_METHODS or call.key is not None


def _bucket_names(caller: str, upstream: str) -> tuple[str, str]:
    return f"caller {caller}", f"upstream {upstream}"
