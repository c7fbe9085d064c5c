"""Recording of an answer while it arrives, so that several readers can relay it."""

from typing import Protocol

import curio

from ..errors import WisteriaError
from ..wire import Headers


class AnswerSink(Protocol):
    """Destination of an answer: a caller's connection or a record."""

    async def send_complete(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer that is not streamed."""

    async def start_stream(self, headers: Headers) -> None:
        """Send the head of a streamed answer, once."""

    async def send_block(self, block: bytes) -> None:
        """Send one or more complete events of a streamed answer."""

    async def end_stream(self) -> None:
        """Mark a streamed answer as complete."""


class AnswerRecord:
    """Sink that stores the answer; readers can attach at any time."""

    def __init__(self):
        self.status = 0
        self.headers: Headers = []
        self.streamed = False
        self.blocks: list[bytes] = []
        self.complete = False
        self.error: WisteriaError | None = None
        self._changed = curio.Event()

    @property
    def body(self) -> bytes:
        """Body recorded so far."""
        return b"".join(self.blocks)

    async def send_complete(self, status: int, headers: Headers, body: bytes) -> None:
        """Record a complete answer that is not streamed."""
        self.status = status
        self.headers = headers
        self.blocks = [body]
        self.complete = True
        await self._notify()

    async def start_stream(self, headers: Headers) -> None:
        """Record the head of a streamed answer."""
        self.status = 200
        self.headers = headers
        self.streamed = True
        await self._notify()

    async def send_block(self, block: bytes) -> None:
        """Record one or more complete events of a streamed answer."""
        self.blocks.append(block)
        await self._notify()

    async def end_stream(self) -> None:
        """Record that a streamed answer is complete."""
        self.complete = True
        await self._notify()

    async def fail(self, error: WisteriaError) -> None:
        """Record that the answer ended in an error."""
        self.error = error
        await self._notify()

    async def relay_to(self, sink: AnswerSink) -> None:
        """Relay the answer to ``sink`` from its start; raises the recorded error."""
        while not (self.streamed or self.complete or self.error):
            await self._changed.wait()
        if self.streamed:
            await self._relay_stream_to(sink)
        elif self.error is not None:
            raise self.error
        else:
            await sink.send_complete(self.status, self.headers, self.body)

    async def _relay_stream_to(self, sink: AnswerSink) -> None:
        await sink.start_stream(self.headers)
        sent = 0
        while True:
            while sent < len(self.blocks):
                await sink.send_block(self.blocks[sent])
                sent += 1
            if self.error is not None:
                raise self.error
            if self.complete:
                await sink.end_stream()
                return
            await self._changed.wait()

    async def _notify(self) -> None:
        await self._changed.set()
        self._changed.clear()
