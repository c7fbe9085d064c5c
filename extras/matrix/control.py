"""Drivers of the lease, order and drain procedures under a load of streams."""

import contextlib
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from .faults import Fault
from .procedure import COMPLETION_TIMEOUT_S, Procedure, wait_for
from .traffic import Caller

ROLLOUT_TIMEOUT_S = 10.0
STREAM_TIMEOUT_S = 20.0
DRAIN_SETTLE_S = 1.0
LOAD_S = 1.5
MAX_ATTEMPTS = 3
# Faults that may truncate a stream even if every order is correct.
TRUNCATING_FAULTS = frozenset(
    (Fault.KILL, Fault.PAUSE, Fault.UPSTREAM_CRASH)
    + (Fault.ENGINE_CUT_UP, Fault.ENGINE_CUT_DOWN, Fault.ENGINE_STALL)
    + (Fault.OTHER_PAUSE,)
)


@dataclass(frozen=True)
class Journal:
    """Accepted orders and violation counts of an engine."""

    orders: tuple[dict, ...]
    conflicts: int
    stale_orders: int
    cut_streams: int

    @classmethod
    def from_json(cls, content: dict) -> "Journal":
        """Parse the journal returned by an engine."""
        counts = {
            name: content[name] for name in ("conflicts", "stale_orders", "cut_streams")
        }
        return cls(tuple(content["orders"]), **counts)


class UnderLoad(Procedure):
    """Procedure that must not truncate the streams in progress."""

    def __init__(self, *args):
        super().__init__(*args)
        self.before = self._journals()
        self.streams: list[Caller] = []
        self._streaming = threading.Event()
        self._streamer = threading.Thread(target=self._stream)

    def act(self) -> None:
        """Start the load and then the procedure itself."""
        if not self._streaming.is_set():
            self._streaming.set()
            self._streamer.start()
        self.act_under_load()

    def act_under_load(self) -> None:
        """Trigger the steps of the procedure."""
        raise NotImplementedError

    def close(self) -> None:
        """Stop the load."""
        self._streaming.clear()
        if self._streamer.is_alive():
            self._streamer.join()

    def check(self) -> None:
        """Check for conflicts, stale orders and streams truncated by an order."""
        self.close()
        for name, now in self._journals().items():
            before = self.before[name]
            for count in ("conflicts", "stale_orders", "cut_streams"):
                more = getattr(now, count) - getattr(before, count)
                self.expect(more == 0, f"{name}: {more} {count}")
            self._check_sequence(name, now.orders)
        for caller in self.streams:
            self.violations += caller.wrong_answers
            cut = caller.cuts and not TRUNCATING_FAULTS.intersection(self.faults)
            self.expect(not cut, f"{caller.cuts} cuts of {caller.prompt!r}")
            self.expect(caller.is_final(), f"no answer to {caller.prompt!r}")

    def _check_sequence(self, engine: str, orders: tuple[dict, ...]) -> None:
        for last, order in zip(orders, orders[1:], strict=False):
            self.expect(
                order["number"] > last["number"] and order["epoch"] >= last["epoch"],
                f"{engine}: order {order} was accepted after {last}",
            )
            names = ("action", "role", "incarnation")
            repeated = order["action"] == "role" and all(
                order[name] == last[name] for name in names
            )
            self.expect(not repeated, f"{engine}: role order {order} was given twice")

    def _journals(self) -> dict[str, Journal]:
        return {
            name: Journal.from_json(self.bench.journal(name))
            for name in self.bench.layout.engines
        }

    def _stream(self) -> None:
        models = sorted(self.bench.layout.models)
        while self._streaming.is_set():
            prompt = f"rollout {self.rng.getrandbits(64)}"
            model = models[len(self.streams) % len(models)]
            caller = Caller(
                self.bench, len(self.streams), prompt, stream=True, model=model
            )
            self.streams.append(caller)
            caller.run(STREAM_TIMEOUT_S)


class Rollout(UnderLoad):
    """Rollout of a new version of each model."""

    def act_under_load(self) -> None:
        """Apply new versions and wait up to ROLLOUT_TIMEOUT_S until they are loaded."""
        self.change_versions()
        self.apply()
        with contextlib.suppress(TimeoutError):
            self._wait_loaded(ROLLOUT_TIMEOUT_S)

    def change_versions(self) -> None:
        """Set a new version of each model in the bench's manifest."""
        for model in self.bench.versions:
            self.bench.versions[model] = f"v{self.rng.getrandbits(32)}"

    def settle(self) -> None:
        """Wait until every engine has loaded the versions, whoever holds the leases."""
        self.apply_until_accepted()
        self.wait_in_force()
        self._wait_loaded(COMPLETION_TIMEOUT_S)

    def _wait_loaded(self, timeout_s: float) -> None:
        try:
            wait_for(self._is_loaded, timeout_s)
        except TimeoutError as exc:
            held = {
                name: self.bench.loaded_versions(name)
                for name in self.bench.layout.engines
            }
            raise TimeoutError(f"{exc}: {held}") from exc

    def _is_loaded(self) -> bool:
        return not self.bench.head()["closures"] and all(
            self.bench.loaded_versions(name) == self._expected_versions(name)
            for name in self.bench.layout.engines
        )

    def _expected_versions(self, engine: str) -> dict[str, str]:
        layout = self.bench.layout
        return {
            model: version
            for model, version in self.bench.versions.items()
            if layout.models[model] == layout.group_of(engine)
        }


class LeaseChange(Rollout):
    """Faults at the steps of the lease while orders are issued."""

    name = "lease"


class OrderIssue(Rollout):
    """Faults at the steps of an order."""

    name = "order"


class Drain(UnderLoad):
    """An operator drains an engine and then undrains it."""

    name = "drain"

    def act_under_load(self) -> None:
        """Drain an engine."""
        self.engine = self.rng.choice(self.bench.layout.engines)
        self.bench.run_operator("drain", self.engine)

    def settle(self) -> None:
        """Check that the engine gets no new requests, then remove the drain mark."""
        self._mark_until(lambda: self.engine in self.bench.head()["marks"], "drain")
        self.wait_in_force()
        time.sleep(DRAIN_SETTLE_S)
        started = self._started()
        time.sleep(LOAD_S)
        more = self._started() - started
        self.expect(more == 0, f"{more} requests began on a draining engine")
        self._mark_until(
            lambda: self.engine not in self.bench.head()["marks"], "undrain"
        )
        self.wait_in_force()

    def _mark_until(self, condition: Callable[[], bool], command: str) -> None:
        for _ in range(MAX_ATTEMPTS):
            if condition():
                return
            self.bench.run_operator(command, self.engine)
        if not condition():
            raise TimeoutError(f"{command} was not accepted in {MAX_ATTEMPTS} tries")

    def _started(self) -> int:
        return sum(self.bench.journal(self.engine)["runs"].values())
