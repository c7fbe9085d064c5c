"""A call on a route, in the form that placement and retries work on."""

from dataclasses import dataclass, field
from functools import cached_property

from ..errors import Ran
from ..process.clock import now_s
from ..version.route_table import Route
from ..wire import Headers


@dataclass(frozen=True)
class PromptPart:
    """Part of a prompt that other requests may share; ``part_id`` names its content."""

    part_id: str
    tokens: int


@dataclass(frozen=True)
class Prompt:
    """What a completion reads and how much it may write, in tokens."""

    input_tokens: int
    output_tokens_max: int
    parts: tuple[PromptPart, ...] = ()

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Parts that other requests may share, those that most share first."""
        return self.parts[:-1]

    @property
    def last_shared_part(self) -> str:
        """Id of the part that fewest other requests share; empty where there is none.

        Who has this part in memory has all that can be shared.
        """
        return self.parts[-2].part_id if len(self.parts) > 1 else ""

    @property
    def own_tokens(self) -> int:
        """Tokens of the last part, which no other request shares."""
        return self.parts[-1].tokens if self.parts else self.input_tokens

    @cached_property
    def shared_tokens(self) -> int:
        """Tokens of the parts that other requests may share."""
        return max(0, self.input_tokens - self.own_tokens)


@dataclass
class RoutedCall:
    """One request of a caller.

    ``headers`` are those that are passed on. ``resume_after`` is the last event that a
    resuming caller has seen. ``ran``, ``attempts`` and ``prompts_read``, how often an
    engine read the prompt apart, are as of now; a ``favoured`` one's prompt goes before
    other long ones. ``zone`` is that of the entry that serves the caller,
    ``placements`` counts how often the call was placed, ``repeats_left`` is how many
    repeats its service had left then. With ``demand_noted`` its reading is counted as
    asked for already.
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
    ran: Ran = Ran.NO
    attempts: int = 0
    prompts_read: int = 0
    offered: bool = False
    favoured: bool = False
    tried: set[str] = field(default_factory=set)
    zone: str = ""
    placements: int = 0
    repeats_left: int = 0
    demand_noted: bool = False

    def remaining_s(self) -> float:
        """Return the time left until the deadline."""
        return self.deadline_at_s - now_s()
