"""Timeouts for attempts on upstreams that send nothing.

An upstream may become unresponsive or lose answers while its registration still reports
it as ready; another may merely be slow under load.
"""

from .routed_call import RoutedCall

ANSWER_TIMEOUT_SHARE = 0.45
ANSWER_TIMEOUT_MIN_S = 0.35
COMPLETION_TIMEOUT_MIN_S = 1.0
PREFILL_TIMEOUT_MIN_S = 0.5
PREFILL_TIMEOUT_FACTOR = 2.0
# Time reserved to run the call after its prompt is prefilled on another engine.
PREFILL_RETRY_MARGIN_S = 0.3


def answer_timeout_s(call: RoutedCall) -> float:
    """Return how long to wait for the head of an answer.

    Only an attempt that may be retried times out before the call's deadline.
    """
    if not call.route.retryable or call.attempts + 1 >= call.route.attempts_max:
        return max(0.001, call.remaining_s())
    timeout_min_s = (
        ANSWER_TIMEOUT_MIN_S if call.prompt is None else COMPLETION_TIMEOUT_MIN_S
    )
    return max(timeout_min_s, ANSWER_TIMEOUT_SHARE * call.remaining_s())


def prefill_timeout_s(call: RoutedCall, predicted_s: float, retries_left: int) -> float:
    """Return how long to wait for an engine that prefills a prompt (disaggregated).

    Prefill doesn't run the call, so any call's prompt can be prefilled on another
    engine while retries and time are left. ``predicted_s`` is the expected duration.
    """
    left_s = max(0.001, call.remaining_s())
    timeout_s = PREFILL_TIMEOUT_MIN_S + PREFILL_TIMEOUT_FACTOR * predicted_s
    if retries_left <= 0 or left_s - timeout_s < predicted_s + PREFILL_RETRY_MARGIN_S:
        return left_s
    return timeout_s
