"""How long an attempt waits for an upstream that sends nothing.

Load pattern: upstreams go dark or lose answers while their registrations say that they
are ready, and others are busy and just take their time.
"""

from .routed_call import RoutedCall

SILENT_SHARE = 0.45
SILENT_MIN_S = 0.35
SILENT_PROMPT_MIN_S = 1.0
READING_MIN_S = 0.5
READING_FACTOR = 2.0
# What must be left for reading a prompt elsewhere and running it.
READING_AGAIN_S = 0.3


def silent_after_s(call: RoutedCall) -> float:
    """Return how long to wait for the head of an answer.

    Only a call that may run again is given up before its deadline.
    """
    if not call.route.repeatable or call.attempts + 1 >= call.route.attempts_max:
        return max(0.001, call.remaining_s())
    least_s = SILENT_MIN_S if call.prompt is None else SILENT_PROMPT_MIN_S
    return max(least_s, SILENT_SHARE * call.remaining_s())


def reading_silent_after_s(
    call: RoutedCall, predicted_s: float, repeats_left: int
) -> float:
    """Return how long to wait for an engine that reads a prompt apart.

    Reading runs nothing, so that any call's prompt can be read elsewhere, as long as
    repeats and time are left. ``predicted_s`` is how long it should take.
    """
    left_s = max(0.001, call.remaining_s())
    patience_s = READING_MIN_S + READING_FACTOR * predicted_s
    if repeats_left <= 0 or left_s - patience_s < predicted_s + READING_AGAIN_S:
        return left_s
    return patience_s
