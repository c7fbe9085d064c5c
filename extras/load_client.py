"""Load client: requests completions from one address and prints latencies."""

import argparse
import json
import time

import curio
from hdrh.histogram import HdrHistogram

from wisteriaarch.http_client import HttpClientConnection
from wisteriaarch.process.clock import now_s
from wisteriaarch.wire import Address

HISTOGRAM_MAX_US = 600_000_000
HISTOGRAM_DIGITS = 3
US_PER_S = 1_000_000
EVENT_END = b"\n\n"


class LoadClient:
    """Keeps a number of requests in flight on one address for a duration."""

    def __init__(self, address: Address, headers, body: bytes, *, stream: bool):
        self._address = address
        self._headers = [*headers, ("Content-Type", "application/json")]
        self._body = body
        self._stream = stream
        self.tokens = 0
        self.completed = 0
        self.failed = 0
        self.first_byte_latency = HdrHistogram(1, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS)
        self.total_latency = HdrHistogram(1, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS)

    async def run(self, in_flight: int, duration_s: float) -> None:
        """Send requests back to back on ``in_flight`` connections."""
        end_at = now_s() + duration_s
        async with curio.TaskGroup() as group:
            for index in range(in_flight):
                await group.spawn(self._run_connection, end_at, index)

    async def _run_connection(self, end_at: float, index: int) -> None:
        await curio.sleep(0.002 * index)
        async with await HttpClientConnection.connect(self._address) as conn:
            while now_s() < end_at:
                await self._request(conn, end_at)
                if not conn.start_next_cycle():
                    return

    async def _request(self, conn: HttpClientConnection, end_at: float) -> None:
        sent_at = now_s()
        await conn.send_request("POST", "/v1/completions", self._headers, self._body)
        head = await conn.read_head()
        first = True
        while (block := await conn.read_block()) is not None:
            if first:
                first = False
                _record(self.first_byte_latency, now_s() - sent_at)
            if now_s() < end_at:
                self.tokens += block.count(EVENT_END)
        _record(self.total_latency, now_s() - sent_at)
        if head.status == 200:
            self.completed += 1
        else:
            self.failed += 1

    def summary(self) -> dict:
        """Return counts, and latency percentiles in microseconds."""
        return {
            "tokens": self.tokens,
            "completed": self.completed,
            "failed": self.failed,
            "first_byte_p50_us": self.first_byte_latency.get_value_at_percentile(50),
            "first_byte_p99_us": self.first_byte_latency.get_value_at_percentile(99),
            "whole_p50_us": self.total_latency.get_value_at_percentile(50),
            "whole_p99_us": self.total_latency.get_value_at_percentile(99),
        }


def _record(histogram: HdrHistogram, duration_s: float) -> None:
    histogram.record_value(max(1, int(duration_s * US_PER_S)))


def main() -> None:
    """Run the client with the options of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True)
    parser.add_argument("--credential", default="")
    parser.add_argument("--model", required=True)
    parser.add_argument("--prompt", default="a reference")
    parser.add_argument("--max-tokens", type=int, default=100)
    parser.add_argument("--stream", action="store_true")
    parser.add_argument("--in-flight", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=5.0)
    options = parser.parse_args()
    body = {
        "model": options.model,
        "prompt": options.prompt,
        "max_tokens": options.max_tokens,
        "stream": options.stream,
    }
    headers = []
    if options.credential:
        headers.append(("Authorization", f"Bearer {options.credential}"))
    client = LoadClient(
        Address.parse(options.address),
        headers,
        json.dumps(body).encode(),
        stream=options.stream,
    )
    cpu_before_s = time.process_time()
    curio.run(client.run, options.in_flight, options.seconds)
    cpu_used_s = time.process_time() - cpu_before_s
    print(json.dumps({**client.summary(), "cpu_s": cpu_used_s}))


if __name__ == "__main__":
    main()
