"""Calls leave the zone of their entry where that costs less, and only then."""

import unittest
from collections import Counter
from dataclasses import replace
from unittest import mock

from wisteriaarch.errors import ConfigError
from wisteriaarch.events import Event
from wisteriaarch.process.fleet_estimates import FleetEstimates
from wisteriaarch.process.gateway_settings import GatewaySettings
from wisteriaarch.process.settings_models import parse_model
from wisteriaarch.process.transfer_sizes import TransferSizes
from wisteriaarch.process.upstreams import Stage, UpstreamRegistry
from wisteriaarch.request.candidate import Choice
from wisteriaarch.request.placement import (
    place_decode,
    place_direct,
    place_prefill,
    place_service_call,
)
from wisteriaarch.request.routed_call import RoutedCall
from wisteriaarch.request.zone_cost import (
    TransferPrice,
    ZoneCosts,
    ZoneLoad,
    zone_loads,
)
from wisteriaarch.request.zone_log import ZoneLog
from wisteriaarch.version.route_table import CallKind, Route

from .route_support import RATE, candidate, prompt, upstream
from .service_replay import Load, ServiceReplay

PRICE = TransferPrice(0.0007, 1.0, 1.0)
EVEN = {"z1": (1.0, 1.0), "z2": (1.0, 1.0)}
SERVICE_S = 0.072


def make_call(zone="z1", **more) -> RoutedCall:
    route = Route("r", "h", "/", CallKind.IDEMPOTENT, (), 2.0, 1.0)
    return RoutedCall(
        "id", route, "s", "GET", "/", [], b"", 0.0, 2.0, zone=zone, **more
    )


def costs(price=PRICE, size=0) -> ZoneCosts:
    sizes = TransferSizes()
    if size:
        sizes.observe("s", "r", size)
    items = ZoneCosts(sizes, lambda: 0.0)
    items.price = price
    return items


class MarginalCostTest(unittest.TestCase):
    """Two zones of one upstream with 8 slots each, 72 ms a call."""

    def choose(self, items, own_demand=0.0, other_demand=0.0, waiting=0.0, **price):
        demand = {"z1": own_demand, "z2": other_demand}
        zones = costs(**price)
        loads = zone_loads(
            items,
            SERVICE_S,
            0.0,
            lambda zone: demand.get(zone, 0.0),
            lambda zone: waiting if zone == "z1" else 0.0,
        )
        transfer = zones.for_plain_call(make_call(), loads)
        choice = place_service_call(items, "z1", SERVICE_S, transfer)
        return choice.candidate.upstream.zone

    def items(self, own, other):
        return [
            candidate("a", zone="z1", requests=own, occupied=own),
            candidate("b", zone="z2", requests=other, occupied=other),
        ]

    def test_nothing_leaves_while_a_slot_is_free(self):
        for own in range(8):
            self.assertEqual(self.choose(self.items(own, 0), 6.0), "z1")

    def test_call_leaves_a_full_zone(self):
        self.assertEqual(self.choose(self.items(9, 2), 7.0, 2.0), "z2")

    def test_call_stays_if_the_bytes_cost_more_than_the_wait(self):
        """A wait of 20 ms, and 100 MB at a price of 1 a gigabyte."""
        items = self.items(9, 2)
        self.assertEqual(self.choose(items, 7.0, 2.0, size=100_000_000), "z1")
        self.assertEqual(self.choose(items, 7.0, 2.0, 2.0, size=100_000_000), "z2")

    def test_call_stays_if_callers_of_the_other_zone_need_its_slots(self):
        self.assertEqual(self.choose(self.items(9, 7), 6.0, 7.9), "z1")
        self.assertEqual(self.choose(self.items(9, 7), 6.0, 0.5), "z2")

    def test_clearly_faster_upstream_is_worth_the_transfer(self):
        slow, fast = self.items(0, 0)
        slow = replace(slow, usual_slowdown=1.8)
        self.assertEqual(self.choose([slow, fast]), "z2")
        slow = replace(slow, usual_slowdown=1.1)
        self.assertEqual(self.choose([slow, fast]), "z1")

    def test_calls_that_have_ended_unheard_do_not_fill_a_zone(self):
        """Ends are known as late as a call takes: half of those in flight are over."""
        loads = zone_loads(
            self.items(8, 0), SERVICE_S, SERVICE_S, lambda _zone: 0.0, lambda _zone: 0.0
        )
        self.assertAlmostEqual(loads["z1"].free_slots, 4.0)

    def test_zone_without_capacity_has_an_endless_wait(self):
        self.assertGreater(ZoneLoad(SERVICE_S).wait_s, 1e6)


class PromptTest(unittest.TestCase):
    """Prompts that several engines can take; the other zone's is less loaded."""

    def test_fixed_penalty_applies_without_a_price(self):
        zones = costs(None)
        self.assertIsNone(zones.for_prefill(make_call()))
        self.assertIsNone(zones.for_direct(make_call()))
        self.assertIsNone(zones.for_decode(make_call(), upstream("p")))

    def test_prefill_and_direct_leave_by_the_price_of_their_bytes(self):
        long = prompt(4_000)
        call = make_call(prompt=long)
        for place, stage in ((place_prefill, Stage.PREFILL), (place_direct, None)):
            busy = candidate("a", stage, "z1", prompt_tokens=4_000)
            idle = candidate("b", stage, "z2")
            for size, zone in ((10_000, "z2"), (10_000_000_000, "z1")):
                with self.subTest(place=place.__name__, size=size):
                    zones = costs(size=size)
                    is_prefill = place is place_prefill
                    transfer = (
                        zones.for_prefill(call)
                        if is_prefill
                        else zones.for_direct(call)
                    )
                    choice = place([busy, idle], long, RATE, "z1", 0, transfer)
                    self.assertEqual(choice.candidate.upstream.zone, zone)

    def test_moved_kv_cache_costs_its_bytes(self):
        long = prompt(4_000)
        call = make_call(prompt=long)
        items = [
            candidate("a", Stage.DECODE, "z1", requests=5),
            candidate("b", Stage.DECODE, "z2"),
        ]
        source = upstream("p", Stage.PREFILL, "z1")
        for kv_bytes, zone in ((0, "z2"), (131_072, "z1")):
            zones = costs(replace(PRICE, kv_bytes_per_token=kv_bytes))
            transfer = zones.for_decode(call, source)
            choice = place_decode(items, long, RATE, "z1", transfer)
            self.assertEqual(choice.candidate.upstream.zone, zone)


class WavesTest(unittest.TestCase):
    """Waves of +-55% out of phase; ends are known up to 100 ms late."""

    @classmethod
    def setUpClass(cls):
        cls.load = Load(
            SERVICE_S, EVEN, {"z1": 0.75, "z2": 0.75}, length_s=15.0, report_max_s=0.1
        )
        cls.result = play(cls.load)
        cls.away = {zone: away_by_second(cls.result, zone) for zone in EVEN}

    def test_all_calls_are_served_in_time(self):
        self.assertGreater(self.result.share("in time"), 0.99)

    def test_share_that_leaves_follows_the_wave(self):
        """z1 has its peak in the first half of the wave, z2 in the second."""
        for zone, peak, calm in (("z1", (2, 6), (9, 13)), ("z2", (10, 14), (2, 6))):
            with self.subTest(zone=zone):
                shares = self.away[zone]
                self.assertGreater(mean(shares[slice(*peak)]), 0.1)
                self.assertLess(mean(shares[slice(*calm)]), 0.03)

    def test_share_does_not_swing_between_all_and_nothing(self):
        for zone, shares in self.away.items():
            with self.subTest(zone=zone):
                self.assertLess(max(shares), 0.6)
                steps = [abs(b - a) for a, b in zip(shares, shares[1:], strict=False)]
                self.assertLess(max(steps), 0.25)

    def test_both_directions_are_not_used_at_once(self):
        """Traffic that crosses in both directions in one second is paid in vain."""
        both = [min(pair) for pair in zip(*self.away.values(), strict=True)]
        self.assertLess(mean(both[1:]), 0.05)


class UnscheduledTest(unittest.TestCase):
    """Ten entries a zone place their own calls, by reports up to 100 ms old.

    They reach no scheduler and don't know what the others send.
    """

    def load(self, demand, amplitude, length_s) -> Load:
        return Load(
            SERVICE_S,
            EVEN,
            {"z1": demand, "z2": demand},
            amplitude=amplitude,
            length_s=length_s,
            report_max_s=0.1,
            entries_by_zone=10,
        )

    def test_share_that_leaves_follows_the_wave_and_does_not_swing(self):
        result = play(self.load(0.75, 0.55, 15.0))
        self.assertGreater(result.share("in time"), 0.99)
        for zone, peak, calm in (("z1", (2, 6), (9, 13)), ("z2", (10, 14), (2, 6))):
            with self.subTest(zone=zone):
                shares = away_by_second(result, zone)
                self.assertGreater(mean(shares[slice(*peak)]), 0.1)
                self.assertLess(mean(shares[slice(*calm)]), 0.05)
                self.assertLess(max(shares), 0.6)

    def test_nothing_leaves_in_calm(self):
        self.assertEqual(crossings(play(self.load(0.3, 0.0, 5.0))), 0)


class OtherLoadsTest(unittest.TestCase):
    def test_nothing_leaves_in_calm(self):
        for service_s in (0.022, SERVICE_S):
            load = Load(
                service_s,
                EVEN,
                {"z1": 0.3, "z2": 0.3},
                amplitude=0.0,
                length_s=5.0,
                report_max_s=0.1,
            )
            result = play(load)
            for zone in EVEN:
                with self.subTest(service_s=service_s, zone=zone):
                    self.assertEqual(sum(away_by_second(result, zone)), 0)

    def test_everything_leaves_a_zone_without_upstreams(self):
        load = Load(SERVICE_S, {"z1": (1.0, 1.0)}, {"z1": 0.3, "z2": 0.4}, length_s=5.0)
        result = play(load)
        self.assertEqual(result.share("in time"), 1.0)
        self.assertEqual(min(away_by_second(result, "z2")), 1.0)
        self.assertEqual(max(away_by_second(result, "z1")), 0.0)

    def test_less_traffic_crosses_than_with_the_fixed_penalty(self):
        load = Load(SERVICE_S, EVEN, {"z1": 0.75, "z2": 0.75}, length_s=15.0)
        crossed = {price: crossings(play(load, price)) for price in (None, PRICE)}
        self.assertLess(crossed[PRICE], 0.7 * crossed[None])

    def test_costly_transfer_waits_for_a_deep_queue(self):
        load = Load(SERVICE_S, EVEN, {"z1": 0.75, "z2": 0.75}, length_s=15.0)
        cheap, costly = play(load), play(load, replace(PRICE, delay_s=0.2))
        self.assertLess(crossings(costly), 0.6 * crossings(cheap))
        self.assertGreater(costly.share("in time"), 0.95)

    def test_overloaded_zones_exchange_little(self):
        """Both zones ask for 1.4 times their capacity."""
        load = Load(
            SERVICE_S, EVEN, {"z1": 1.4, "z2": 1.4}, amplitude=0.0, length_s=8.0
        )
        result = play(load)
        self.assertLess(crossings(result), 0.2 * result.attempts)
        self.assertLess(result.declined_share, 0.005)


class LogTest(unittest.TestCase):
    """Operators see why a call was placed outside its zone."""

    def write(self, listed, chosen, price=PRICE, suspended=()):
        log = mock.Mock()
        registry = UpstreamRegistry(lambda: None, mock.Mock())
        registry.update(listed)
        estimates = FleetEstimates.from_registry(registry)
        for name in suspended:
            estimates.loads.of(name).health.record_unreachable(1e12)
        choice = Choice(candidate(chosen.upstream_id, zone=chosen.zone), 0.1)
        ZoneLog(costs(price), estimates, log).write(make_call(), choice)
        return [
            (item.args[0], item.kwargs["reason"]) for item in log.write.call_args_list
        ]

    def test_reason(self):
        own, other = upstream("a"), upstream("b", zone="z2")
        left = Event.CALL_LEFT_ZONE
        self.assertEqual(self.write([own, other], other), [(left, "lower cost")])
        self.assertEqual(
            self.write([other], other), [(left, "no upstream in the zone")]
        )
        self.assertEqual(
            self.write([own, other], other, suspended=["a"]),
            [(left, "none available in the zone")],
        )
        self.assertEqual(self.write([own, other], own), [])
        self.assertEqual(self.write([own, other], other, price=None), [])


class SettingsTest(unittest.TestCase):
    REQUIRED = (
        '"entry_id": "10.0.0.1", "zone": "z1", "front": "10.0.0.1:80",'
        '"ready": "10.0.0.1:81", "directory": "10.0.0.1:82",'
        '"store": "10.0.1.1:80", "peer_port": 83'
    )

    def parse(self, more=""):
        text = "{" + self.REQUIRED + more + "}"
        return parse_model(GatewaySettings, text, "settings.json")

    def test_price_is_absent_unless_stated(self):
        self.assertIsNone(TransferPrice.from_config(self.parse().zone_transfer))
        cfg = self.parse(
            ', "zone_transfer": {"delay_ms": 0.7, "price_per_gb": 2, "value_per_s": 4}'
        )
        price = TransferPrice.from_config(cfg.zone_transfer)
        self.assertAlmostEqual(price.transfer_s(1_000_000_000), 0.0014 + 0.5)

    def test_value_of_waiting_must_be_positive(self):
        with self.assertRaises(ConfigError):
            self.parse(
                ', "zone_transfer": '
                '{"delay_ms": 1, "price_per_gb": 2, "value_per_s": 0}'
            )


def play(load, price=PRICE):
    return ServiceReplay(
        load, 1, configure=lambda parts: setattr(parts.zone_costs, "price", price)
    ).run()


def away_by_second(result, zone):
    """Return the share of a zone's attempts that left it, by second."""
    sent, away = Counter(), Counter()
    for (second, caller_zone, upstream_zone), count in result.sent.items():
        if caller_zone == zone:
            sent[second] += count
            away[second] += count * (upstream_zone != zone)
    return [away[second] / sent[second] for second in sorted(sent)]


def crossings(result):
    return sum(
        count for (_, zone, other), count in result.sent.items() if zone != other
    )


def mean(values):
    return sum(values) / len(values)
