"""Load generator: replays arrivals against entries and records their outcomes."""

import json
import random
from dataclasses import dataclass

import curio

from ..connection.upstream_pool import UpstreamPool
from ..errors import WireError
from ..process.clock import now_s
from ..wire import Address
from .outcome import Ending, Outcome
from .patterns import Arrival, prompt_text
from .sites import Site

RETRY_DELAY_MAX_S = 10.0
CLIENT_TIMEOUT_FACTOR = 1.25
REFUSAL_STATUSES = (429, 503)
EVENT_SEPARATOR = b"\n\n"
STREAM_END = b"data: [DONE]\n\n"


@dataclass
class Timings:
    """Timing of the events of one streamed answer."""

    started_at_s: float
    first_token_s: float | None = None
    last_event_at_s: float = 0.0
    intervals_s: list[float] | None = None

    def record(self, events: int) -> None:
        """Record events that arrived together."""
        at_s = now_s()
        if self.first_token_s is None:
            self.first_token_s = at_s - self.started_at_s
            self.intervals_s = []
        else:
            self.intervals_s.append((at_s - self.last_event_at_s) / events)
        self.last_event_at_s = at_s


class LoadGenerator:
    """Sends requests as a site's callers do; each is retried at most once."""

    def __init__(self, site: Site, entries: list[Address], seed: int):
        self._site = site
        self.entries = entries
        self._random = random.Random(seed)
        self._pool = UpstreamPool()

    async def replay(self, arrivals: list[Arrival]) -> list[Outcome]:
        """Send every request at its time and return the outcomes in the same order."""
        started_at_s = now_s()
        tasks = []
        for arrival in arrivals:
            body = self._request_body(arrival)
            wait_s = started_at_s + arrival.at_s - now_s()
            if wait_s > 0:
                await curio.sleep(wait_s)
            tasks.append(await curio.spawn(self._request_with_retry, arrival, body))
        return [await task.join() for task in tasks]

    async def close(self) -> None:
        """Close idle connections."""
        await self._pool.close()

    def _request_body(self, arrival: Arrival) -> bytes:
        request_class = self._site.classes[arrival.class_name]
        content = {
            "model": request_class.model,
            "max_tokens": arrival.max_output_tokens,
            "stream": True,
            "prompt": prompt_text(arrival, request_class),
        }
        return json.dumps(content).encode()

    async def _request_with_retry(self, arrival: Arrival, body: bytes) -> Outcome:
        outcome = await self._request(arrival, body)
        if outcome.retry_after_s is not None:
            await curio.sleep(min(outcome.retry_after_s, RETRY_DELAY_MAX_S))
            outcome.retry = await self._request(arrival, body)
        return outcome

    async def _request(self, arrival: Arrival, body: bytes) -> Outcome:
        request_class = self._site.classes[arrival.class_name]
        timings = Timings(now_s())
        outcome = Outcome(arrival.class_name, arrival.caller, Ending.FAILED)
        entries = list(self.entries)
        self._random.shuffle(entries)
        for address in entries:
            try:
                conn = await self._pool.acquire(address, fresh=False)
            except OSError:
                continue
            async with curio.ignore_after(
                request_class.deadline_s * CLIENT_TIMEOUT_FACTOR
            ):
                await self._exchange(
                    conn, arrival, request_class, body, timings, outcome
                )
            await self._pool.release(conn)
            break
        outcome.first_token_s = timings.first_token_s
        outcome.intervals_s = timings.intervals_s or []
        return outcome

    async def _exchange(
        self, conn, arrival, request_class, body, timings, outcome
    ) -> None:
        headers = [
            ("Content-Type", "application/json"),
            ("Authorization", f"Bearer {arrival.caller}"),
            ("X-Deadline-Ms", str(int(request_class.deadline_s * 1000))),
        ]
        try:
            await conn.send_request("POST", "/v1/completions", headers, body)
            head = await conn.read_head()
            if head.status != 200:
                await _record_error(conn, head, outcome)
                return
            tail = b""
            while (block := await conn.read_block()) is not None:
                timings.record(max(1, block.count(EVENT_SEPARATOR)))
                tail = (tail + block)[-len(STREAM_END) :]
        except (OSError, WireError):
            return
        if tail == STREAM_END:
            on_time = now_s() - timings.started_at_s <= request_class.deadline_s
            outcome.ending = Ending.ON_TIME if on_time else Ending.OVERDUE


async def _record_error(conn, head, outcome: Outcome) -> None:
    error = json.loads(await conn.read_body())
    if head.status in REFUSAL_STATUSES:
        outcome.ending = Ending.REFUSED
    outcome.retry_after_s = error.get("retry_after_s")
