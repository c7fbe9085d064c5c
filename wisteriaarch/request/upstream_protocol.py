"""Interface of the protocol that upstreams speak, and its neutral messages."""

from dataclasses import dataclass
from typing import Protocol

from ..process.upstream_loads import ReportedLoad
from ..process.upstreams import Upstream
from ..wire import Headers, HttpResponse, OutgoingRequest
from .routed_call import RoutedCall


@dataclass(frozen=True)
class PromptMemory:
    """Memory of a prompt that an engine has read, kept for one later use."""

    upstream: Upstream
    handle: str
    tokens: int


@dataclass(frozen=True)
class RunOptions:
    """What the entry decided about one attempt.

    ``memory`` is a prompt read elsewhere, ``fetch_from`` an upstream whose cache may
    hold parts of the prompt, ``resume_after`` the last event that the caller has,
    ``urgency`` 0 (first) to 9 (last).
    """

    memory: PromptMemory | None = None
    fetch_from: Upstream | None = None
    resume_after: str | None = None
    urgency: int | None = None


@dataclass(frozen=True)
class UpstreamHead:
    """Head of an upstream's answer.

    ``not_run`` is the upstream's word that it has not run the request. ``foreign``
    marks an answer to another request. ``keep_s`` is how long the upstream keeps an
    idle connection, where it says so, ``wait_s`` how long it wants to be left alone.
    ``is_leaving`` is its word that it takes no new work, ``load`` its own report.
    ``unreadable`` names headers whose values have no meaning.
    """

    status: int
    headers: Headers
    not_run: bool = False
    wrong_instance: bool = False
    foreign: bool = False
    keep_s: float | None = None
    wait_s: float = 0.0
    is_leaving: bool = False
    load: ReportedLoad | None = None
    unreadable: tuple[str, ...] = ()


class UpstreamProtocol(Protocol):
    """Turns calls into requests to an upstream and its answers into results."""

    def run_request(
        self, call: RoutedCall, upstream: Upstream, options: RunOptions
    ) -> OutgoingRequest:
        """Return the request that runs a call."""

    def prefill_request(
        self, call: RoutedCall, upstream: Upstream, options: RunOptions
    ) -> OutgoingRequest:
        """Return the request that has the call's prompt read, and not run."""

    def release_request(self, memory: PromptMemory) -> OutgoingRequest:
        """Return the request that frees the memory of a prompt."""

    def read_head(self, call: RoutedCall, head: HttpResponse) -> UpstreamHead:
        """Interpret the head of an answer."""

    def read_memory(self, upstream: Upstream, body: bytes) -> PromptMemory:
        """Interpret the answer to a prefill request; raises WireError."""
