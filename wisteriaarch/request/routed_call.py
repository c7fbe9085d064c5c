"""Calls on routes, as placement and retries process them.

They are served by an entry on a platform (``gateway``). The module ``call`` has the
calls of an ``Entry``, which are validated against a manifest.
"""

import hashlib
from dataclasses import dataclass, field
from functools import cached_property

from ..errors import Ran
from ..process.clock import now_s
from ..version.route_table import Route
from ..wire import Headers
from .block_trial import BlockTrial

BLOCK_KEY_BYTES = 10
# Streams of this size last for seconds, beside the prefill of many prompts.
LONG_OUTPUT_TOKENS = 2048


def block_key(scope: str, content: str | bytes) -> str:
    """Return the key of a prompt block; ``scope`` is what its engines have in common.

    Keys tell blocks apart in logs and between entries without their content.
    """
    digest = hashlib.blake2b(scope.encode() + b"\0", digest_size=BLOCK_KEY_BYTES)
    digest.update(content.encode() if isinstance(content, str) else content)
    return digest.hexdigest()


@dataclass(frozen=True)
class PromptBlock:
    """Block of a prompt that others may share; ``block_id`` identifies its content."""

    block_id: str
    tokens: int


@dataclass(frozen=True)
class Prompt:
    """Size of a completion's prompt and limit of its output, in tokens."""

    input_tokens: int
    output_tokens_max: int
    blocks: tuple[PromptBlock, ...] = ()

    @property
    def shared_blocks(self) -> tuple[PromptBlock, ...]:
        """Prefix blocks that other requests may share, the most widely shared first."""
        return self.blocks[:-1]

    @property
    def last_shared_block_id(self) -> str:
        """Id of the least widely shared prefix block; empty if there is none.

        An engine that has this block cached has the complete shared prefix.
        """
        return self.blocks[-2].block_id if len(self.blocks) > 1 else ""

    @property
    def own_tokens(self) -> int:
        """Tokens of the last block, which no other request shares."""
        return self.blocks[-1].tokens if self.blocks else self.input_tokens

    @property
    def has_long_output(self) -> bool:
        """Whether the output may be long, so that pauses between its tokens matter."""
        return self.output_tokens_max >= LONG_OUTPUT_TOKENS

    @cached_property
    def shared_tokens(self) -> int:
        """Tokens of the prefix blocks that other requests may share."""
        return max(0, self.input_tokens - self.own_tokens)


@dataclass
class RoutedCall:
    """One request of a caller.

    ``headers`` are the forwarded ones. ``resume_after`` is the id of the last event
    that a resuming caller has received, ``resumes`` the id of the call that brought its
    first event. A stream that has begun only goes on at upstreams of the version
    ``software``; one that hasn't may be placed on ``usable_software``, None for all,
    and rather on ``preferred_software``, that of the attempt before.

    ``ran`` states whether any attempt so far may have run. ``attempts`` counts the
    attempts that an upstream answered, and one that may have run unanswered if none
    before it may have. ``prefills`` counts disaggregated prefills and ``placements``
    placements. A ``prioritized`` prompt is
    placed before other long ones. ``zone`` is the zone of the entry that serves the
    caller, ``retries_left`` the number of retries that its service had left at the last
    placement. ``demand_recorded`` is set once the prefill of its prompt is counted as
    demand. With ``may_be_placed`` a scheduler may have placed it without being heard.
    ``block_trial`` states whether it tests a quarantined block.

    ``key_digest`` identifies the API key of the request, None without one; it is set
    only where the configuration has customers. ``customer`` is the name of the key's
    customer, empty for none, and ``priority`` that customer's, else the route's.
    ``urgencies`` are those of its priority at engines, None without customers.
    """

    call_id: str
    route: Route
    service: str
    method: str
    target: str
    headers: Headers
    body: bytes
    arrived_at_s: float
    deadline_at_s: float
    prompt: Prompt | None = None
    resume_after: str | None = None
    resumes: str = ""
    software: str | None = None
    preferred_software: str | None = None
    usable_software: frozenset[str] | None = None
    ran: Ran = Ran.NO
    attempts: int = 0
    prefills: int = 0
    send_started: bool = False
    prioritized: bool = False
    tried_upstreams: set[str] = field(default_factory=set)
    zone: str = ""
    placements: int = 0
    retries_left: int = 0
    demand_recorded: bool = False
    may_be_placed: bool = False
    block_trial: BlockTrial = field(default_factory=BlockTrial)
    key_digest: str | None = field(default=None, repr=False)
    customer: str = ""
    priority: int | None = None
    urgencies: range | None = None

    def __post_init__(self):
        if self.priority is None:
            self.priority = self.route.priority

    @cached_property
    def block_keys(self) -> tuple[str, ...]:
        """Keys of the blocks that other prompts may share, equal at all entries."""
        blocks = self.prompt.shared_blocks if self.prompt else ()
        return tuple(block_key(self.service, item.block_id) for item in blocks)

    @property
    def work(self) -> float:
        """Weight of the call among those of its service: the tokens of its prompt."""
        return self.prompt.input_tokens if self.prompt else 1.0

    def may_run_on(self, software: str) -> bool:
        """Whether upstreams of a software version may run the call."""
        if self.software is not None:
            return software == self.software
        return self.usable_software is None or software in self.usable_software

    @property
    def known_ran(self) -> Ran:
        """Whether it ran, as far as is known while an attempt may be under way."""
        is_unsent = self.ran is Ran.NO and not self.send_started
        return Ran.NO if is_unsent else Ran.UNKNOWN

    def remaining_s(self) -> float:
        """Return the time left until the deadline."""
        return self.deadline_at_s - now_s()
