"""Checked calls, as the request path sees them."""

import hashlib
import uuid
from dataclasses import dataclass, field
from functools import cached_property

from ..process.clock import now_s
from ..process.work import SentRequest
from ..version.manifest import ATTEMPTS_MAX, CallerSpec, ModelSpec, ServiceSpec
from ..wire import Headers
from .prefixes import prompt_prefixes


@dataclass(kw_only=True)
class Call:
    """What every call has; times are on the clock of ``now_s``.

    ``sent`` is the current attempt as the load board counts it; after ``attempts_max``
    of them broke there is no further one.
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
    sent: SentRequest | None = None
    attempts_max: int = ATTEMPTS_MAX
    _fingerprint: str | None = field(default=None, repr=False)

    def remaining_s(self) -> float:
        """Return the seconds left until the deadline."""
        return self.deadline_at_s - now_s()

    def fingerprint(self) -> str:
        """Return a digest that is the same when the caller sends the request again."""
        if self._fingerprint is None:
            digest = hashlib.sha256(self.caller.name.encode())
            digest.update(self.method.encode() + self.target.encode() + b"\0")
            digest.update(self.body)
            self._fingerprint = digest.hexdigest()
        return self._fingerprint


@dataclass(kw_only=True)
class CompletionCall(Call):
    """Call for a completion by a model.

    ``version`` is the model's version that the current attempt asks for; it is bound
    once a part of the answer was delivered.
    """

    model: ModelSpec
    stream: bool
    prompt_tokens: int
    max_tokens: int
    version: str | None = None
    version_bound: bool = False

    @cached_property
    def prefixes(self) -> tuple[int, ...]:
        """Keys of the prompt's leading blocks."""
        return prompt_prefixes(self.body)


@dataclass(kw_only=True)
class ServiceCall(Call):
    """Call for a plain service; ``upstream_target`` is the path that it receives.

    ``header_list`` has the headers as they came, repeated ones included.
    """

    service: ServiceSpec
    upstream_target: str
    header_list: Headers
