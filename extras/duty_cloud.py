"""The cloud's address in memory, which checks the rules of duties, and its client."""

from dataclasses import dataclass

from wisteriaarch.connection.duty_client import DutyClient
from wisteriaarch.platform.duties import PlatformDuties
from wisteriaarch.process.duty_messages import DutyResult
from wisteriaarch.process.duty_settings import (
    AUTOSCALE_DUTY,
    USAGE_DUTY,
)
from wisteriaarch.wire import load_json

from .duty_simulation import sleep

TERM_S = 3.0
LATE_SHARES = {USAGE_DUTY: 0.15, AUTOSCALE_DUTY: 0.04}
LOST_ANSWERS_SHARE = 0.03
LATE_RANGES_S = {USAGE_DUTY: (1.0, 6.0), AUTOSCALE_DUTY: (2.0, 12.0)}


@dataclass(frozen=True)
class Arrival:
    """Call as it reached the cloud's address."""

    at_s: float
    holder: str
    token: int


class Cloud:
    """The cloud's address; ``violations`` lists the broken rules."""

    def __init__(self, sim, require_fence):
        self.sim = sim
        self.require_fence = require_fence
        self.faults = True
        self.violations = []
        self.reports = {}
        self.accepted_at_s = {}
        self._arrivals = {}

    def arrivals(self, name):
        """Return the calls of a duty in the order of their arrival."""
        return self._arrivals.get(name, [])

    def receive(self, name, req, process):
        """Execute a call and return its result."""
        headers = {key.lower(): value for key, value in req.headers}
        content = load_json(req.body)
        arrival = Arrival(self.sim.now_s, process.name, int(headers["fencing-token"]))
        known = self._arrivals.setdefault(name, [])
        self._check(name, known, arrival)
        newest = max((item.token for item in known), default=0)
        known.append(arrival)
        if self.require_fence and arrival.token < newest:
            return DutyResult.FENCED
        if name == USAGE_DUTY:
            self._check_report(content["window-id"], content["counts"])
        return DutyResult.ACCEPTED

    def _check(self, name, known, new):
        for item in known:
            if item.token == new.token and item.holder != new.holder:
                self.violations.append(f"{name}: equal tokens {item} {new}")
            if not self.require_fence and item.token > new.token:
                self.violations.append(f"{name}: lower token after {item} {new}")
        own = [index for index, item in enumerate(known) if item.holder == new.holder]
        if own and own[-1] < len(known) - 1:
            last = known[own[-1]]
            if new.at_s - last.at_s <= TERM_S:
                self.violations.append(f"{name}: A, B, A {known[own[-1] :]} {new}")

    def _check_report(self, window, counts):
        if self.reports.setdefault(window, counts) != counts:
            self.violations.append(f"two reports of window {window}")
        self.accepted_at_s.setdefault(window, self.sim.now_s)


class Client(DutyClient):
    """Client whose calls go to the cloud in memory."""

    def __init__(self, cloud, process, log):
        super().__init__(None, float("inf"), cloud.require_fence, PlatformDuties(), log)
        self.cloud = cloud
        self.process = process

    async def _exchange(self, duty, token, req):
        sim, cloud = self.cloud.sim, self.cloud
        await sleep(sim.rng.uniform(0.001, 0.02))
        if "cloud" in self.process.cut:
            await sleep(0.5)
            return DutyResult.UNAVAILABLE
        if cloud.faults and sim.rng.random() < 0.05:
            self.process.paused_until_s = sim.now_s + sim.rng.uniform(1.0, 18.0)
            await sleep(0.0)
        duty.require_token(token)
        duty.times.record_sent()
        result = []

        def arrive():
            result.append(cloud.receive(duty.name, req, self.process))

        if sim.rng.random() < LATE_SHARES[duty.name]:
            sim.at(sim.rng.uniform(*LATE_RANGES_S[duty.name]), arrive)
            await sleep(1.5)
            return DutyResult.UNKNOWN
        sim.at(sim.rng.uniform(0.001, 0.3), arrive)
        await sleep(0.31)
        is_lost = sim.rng.random() < LOST_ANSWERS_SHARE
        return DutyResult.UNKNOWN if is_lost else result[0]


async def answer_at_once(client, duty, token, req):
    """Exchange without delays and faults, in place of that of ``Client``."""
    duty.require_token(token)
    duty.times.record_sent()
    return client.cloud.receive(duty.name, req, client.process)


class Link:
    """Connection for counts to another entry of the drill."""

    def __init__(self, address):
        self._world, self._source, self._name = address
        self._receiver = None
        self.is_new = True
        self.confirmed_change = self.confirmed_close = 0

    async def open(self):
        """Connect to the present process of that entry."""
        receiver = self._world.entries.get(self._name)
        if receiver is not self._receiver:
            self._receiver = receiver
            self.is_new = True
            self.confirmed_change = self.confirmed_close = 0
        return receiver is not None

    async def send(self, update):
        """Deliver an update; returns None if it isn't confirmed."""
        await sleep(0.005)
        receiver = self._receiver
        cut = self._source.cut | receiver.process.cut
        is_paused = receiver.process.paused_until_s > self._world.sim.now_s
        if "peers" in cut or not receiver.process.alive or is_paused:
            await sleep(0.8)
            await self.close()
            return None
        receiver.totals.apply(update)
        return receiver.usage.holder_id

    async def close(self):
        """Forget what was confirmed."""
        self._receiver = None
