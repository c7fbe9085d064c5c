"""Validated calls, the form in which requests are routed and run."""

import hashlib
import uuid
from dataclasses import dataclass, field
from functools import cached_property

from ..process.clock import now_s
from ..process.sent_request import SentRequest
from ..version.manifest import DEFAULT_ATTEMPTS_MAX, CallerSpec, ModelSpec, ServiceSpec
from ..wire import Headers
from .block_trial import BlockTrial
from .prefix_assignments import prefix_digests, prefix_keys


@dataclass(kw_only=True)
class Call:
    """Common fields of all calls; times are on the clock of ``now_s``.

    ``key`` is the caller's idempotency key. ``sent`` is the load monitor's record of
    the current attempt. The call fails after ``attempts_max`` failed attempts; attempts
    that the upstream refused don't count. ``block_trial`` states whether the call tests
    a quarantined block.
    """

    caller: CallerSpec
    deadline_at_s: float
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    key: str | None = None
    non_idempotent: bool = False
    request_id: str = field(default_factory=lambda: f"req-{uuid.uuid4().hex}")
    received_at_s: float = field(default_factory=now_s)
    sent_request: SentRequest | None = None
    attempts_max: int = DEFAULT_ATTEMPTS_MAX
    block_trial: BlockTrial = field(default_factory=BlockTrial)
    _fingerprint: str | None = field(default=None, repr=False)

    def remaining_s(self) -> float:
        """Return the seconds until the deadline."""
        return self.deadline_at_s - now_s()

    @property
    def block_keys(self) -> tuple[str, ...]:
        """Keys of what calls may have in common, equal at all entries."""
        return ()

    def fingerprint(self) -> str:
        """Return a digest that is equal for every retry of a request by its caller."""
        if self._fingerprint is None:
            digest = hashlib.sha256(self.caller.name.encode())
            digest.update(self.method.encode() + self.target.encode() + b"\0")
            digest.update(self.body)
            self._fingerprint = digest.hexdigest()
        return self._fingerprint


@dataclass(kw_only=True)
class CompletionCall(Call):
    """Call for a completion by a model.

    ``version`` is the model version that the current attempt requests. Once part of
    the answer has been delivered, ``version_pinned`` is true and later attempts must
    use the same version, and engines with the same version of their ``software``.
    """

    model: ModelSpec
    stream: bool
    prompt_tokens: int
    max_tokens: int
    version: str | None = None
    version_pinned: bool = False
    software: str | None = None

    @cached_property
    def prefixes(self) -> tuple[int, ...]:
        """Prefix keys of the prompt's leading blocks."""
        return prefix_keys(self.body)

    @cached_property
    def block_keys(self) -> tuple[str, ...]:
        """Keys of the prompt's prefixes, equal at all entries."""
        return prefix_digests(self.model.name, self.body)


@dataclass(kw_only=True)
class ServiceCall(Call):
    """Call for a plain HTTP service.

    ``upstream_target`` is the request target sent to the upstream. ``header_list``
    holds the headers as received, including repeated ones.
    """

    service: ServiceSpec
    upstream_target: str
    header_list: Headers
