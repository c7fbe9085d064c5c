"""Forecast of how long an engine takes for one request."""

import math
from dataclasses import dataclass

from ..process.engine_speeds import RoleSpeeds
from ..process.upstream_view import LoadEstimate, UpstreamView


@dataclass(slots=True)
class Forecast:
    """Seconds until the first token and the end, and engine time for the request."""

    first_token_s: float
    completion_s: float
    work_s: float


def forecast_times(
    view: UpstreamView, load: LoadEstimate, uncached_tokens: int, output_tokens: int
) -> Forecast:
    """Return the forecast for a request with these sizes at this load."""
    speeds = view.role_speeds
    step, chunk = speeds.step_time, speeds.chunk_tokens
    running, waiting = _split_running_waiting(load.requests, speeds.slots)
    decode_step_s = step.base_s + step.per_sequence_s * running
    prefill_step_s = decode_step_s + step.per_token_s * chunk
    wait_s = load.prefill_tokens / chunk * prefill_step_s
    if waiting > 0:
        wait_s = max(wait_s, _slot_wait_s(speeds, waiting))
    prefill_s = math.ceil(uncached_tokens / chunk) * prefill_step_s
    first_token_s = (wait_s + prefill_s) * speeds.first_token_ratio
    interval_s = decode_step_s + step.per_sequence_s
    interval_s += step.per_token_s * view.prefill_tokens_per_step
    completion_s = first_token_s + output_tokens * interval_s
    work_s = uncached_tokens * step.per_token_s
    work_s += output_tokens * interval_s / (running + 1)
    return Forecast(first_token_s, completion_s, work_s)


def _split_running_waiting(requests: float, slots: float | None) -> tuple[float, float]:
    """Return how many requests run concurrently with a new one, and how many wait."""
    if slots is None or requests <= slots - 1:
        return requests, 0.0
    return slots - 1, requests - slots + 1


def _slot_wait_s(speeds: RoleSpeeds, waiting: float) -> float:
    """Return the time until as many sequences as ``waiting`` have finished."""
    slots = speeds.slots
    mean_sequence_s = speeds.mean_output_tokens * speeds.step_time.predict_s(slots, 0.0)
    mean_sequence_s += (
        speeds.mean_uncached_tokens * speeds.step_time.per_token_s * slots
    )
    return waiting / slots * mean_sequence_s
