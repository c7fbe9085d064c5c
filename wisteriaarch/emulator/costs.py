"""Cost model of the engine emulator; no other code reads it."""

from dataclasses import dataclass


@dataclass(frozen=True)
class RoleProfile:
    """Factors that a role applies to the engine's constants."""

    prefill_rate_factor: float
    prefill_chunk_factor: float
    batch_factor: float
    step_factor: float


ROLE_PROFILES = {
    "mixed": RoleProfile(
        prefill_rate_factor=1.0,
        prefill_chunk_factor=1.0,
        batch_factor=1.0,
        step_factor=1.0,
    ),
    "prefill": RoleProfile(
        prefill_rate_factor=1.6,
        prefill_chunk_factor=2.0,
        batch_factor=0.5,
        step_factor=1.2,
    ),
    "decode": RoleProfile(
        prefill_rate_factor=0.6,
        prefill_chunk_factor=0.25,
        batch_factor=2.0,
        step_factor=0.8,
    ),
}


@dataclass
class EngineCosts:
    """Constants of the cost model, in tokens and seconds.

    A step prefills at most one chunk and decodes one token of each running sequence, so
    a prefill slows down every stream of the same engine. ``cache_blocks`` is the
    capacity of the prefix cache. One in ``report_gap_every`` load samples is dropped; 0
    drops none. ``time_scale`` multiplies all durations.
    """

    prefill_tokens_per_s: float = 8000.0
    prefill_chunk_tokens: int = 512
    step_base_s: float = 0.004
    step_per_sequence_s: float = 0.0003
    batch_max: int = 32
    cache_blocks: int = 512
    restart_s: float = 1.0
    load_s: float = 0.5
    role_change_s: float = 1.0
    report_gap_every: int = 0
    time_scale: float = 1.0

    def step_s(self, role: str, prefill_tokens: int, sequences: int) -> float:
        """Return the duration of one step."""
        profile = ROLE_PROFILES[role]
        prefill_s = prefill_tokens / (
            self.prefill_tokens_per_s * profile.prefill_rate_factor
        )
        decode_s = self.step_base_s + self.step_per_sequence_s * sequences
        return (prefill_s + decode_s * profile.step_factor) * self.time_scale

    def max_chunk_tokens(self, role: str) -> int:
        """Return the maximum number of prompt tokens that one step prefills."""
        return int(self.prefill_chunk_tokens * ROLE_PROFILES[role].prefill_chunk_factor)

    def max_batch_sequences(self, role: str) -> int:
        """Return the maximum number of sequences in the batch."""
        return max(1, int(self.batch_max * ROLE_PROFILES[role].batch_factor))
