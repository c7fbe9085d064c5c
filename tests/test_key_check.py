"""Admission by API keys, and calls whose keys are removed while they wait."""

import unittest
from contextlib import asynccontextmanager

import curio

from wisteriaarch.errors import ANSWERS, Ran, RequestError
from wisteriaarch.process.clock import now_s
from wisteriaarch.process.metrics import Metrics
from wisteriaarch.request.attempt_failures import AttemptFailed
from wisteriaarch.request.attempt_outcome import ABANDONED
from wisteriaarch.request.key_check import KeyCheck
from wisteriaarch.request.placer import Placement
from wisteriaarch.request.revocable_placer import POLL_INTERVAL_S, RevocablePlacer
from wisteriaarch.request.routed_call import RoutedCall
from wisteriaarch.version.customers import Customer, CustomerDirectory, key_digest
from wisteriaarch.version.route_table import CallKind, Route, RouteTable

from .customer_support import make_settings
from .template_support import render_settings

KEY = "r26t-key"
SOON_S = 5 * POLL_INTERVAL_S


def table(*customers) -> RouteTable:
    return RouteTable(1, (), {}, CustomerDirectory.from_customers(customers))


def customer(name="huka270", key=KEY, priority=None) -> Customer:
    return Customer(name, frozenset((key_digest(key),)), priority)


def make_call(key: str | None = KEY, public=False, **more) -> RoutedCall:
    route = Route("r", "", "", CallKind.IDEMPOTENT, (), 5.0, 0.5, 3, public=public)
    digest = None if key is None else key_digest(key)
    now = now_s()
    return RoutedCall(
        "c", route, "s", "GET", "/", [], b"", now, now + 5, key_digest=digest, **more
    )


class Ticket:
    def __init__(self):
        self.causes = []

    async def observe_outcome(self, outcome):
        self.causes.append(outcome.cause)


class SlowPlacer:
    """Places a call once ``free`` is set."""

    def __init__(self):
        self.free = curio.Event()
        self.ticket = Ticket()
        self.asked = 0
        self.cancelled = 0
        self.error: Exception | None = None

    async def place(self, _call):
        self.asked += 1
        try:
            await self.free.wait()
        except curio.CancelledError:
            self.cancelled += 1
            raise
        if self.error is not None:
            raise self.error
        return Placement(None, self.ticket)

    async def place_decode(self, call, _engine):
        return await self.place(call)


class KeyCheckCase(unittest.TestCase):
    def setUp(self):
        self.table = table(customer())
        self.confirmed_at_s = now_s()
        self.metrics = Metrics()
        self.configure()
        self.keys = KeyCheck(
            lambda: self.settings,
            lambda: self.table,
            lambda: self.confirmed_at_s,
            self.metrics,
        )

    def configure(self, **more):
        self.settings = make_settings(**more)

    def admit(self, call):
        self.keys.admit(call, self.table)
        return call

    def assert_refused(self, status, reason, check, *arguments):
        with self.assertRaises(RequestError) as caught:
            check(*arguments)
        self.assertEqual(ANSWERS[caught.exception.kind].status, status)
        self.assertIs(caught.exception.ran, Ran.NO)
        line = f'wisteriaarch_keys_refused_total{{reason="{reason}"}} 1'
        self.assertIn(line, self.metrics.render())


class StrictRevokeTest(KeyCheckCase):
    def test_keys_are_served_without_contact_unless_settings_forbid_it(self):
        self.confirmed_at_s = now_s() - 3600
        self.assertEqual(self.admit(make_call()).customer, "huka270")

    def test_keys_are_refused_after_the_time_without_contact(self):
        self.configure(strict_revoke=True, revoke_ms=5000)
        self.confirmed_at_s = now_s() - 4.5
        self.assertEqual(self.admit(make_call()).customer, "huka270")
        self.confirmed_at_s = now_s() - 5.1
        self.assert_refused(503, "unconfirmed", self.admit, make_call())

    def test_configuration_that_the_store_never_confirmed_admits_no_key(self):
        """A copy from another entry may be of any age."""
        self.configure(strict_revoke=True)
        self.confirmed_at_s = None
        self.assert_refused(503, "unconfirmed", self.admit, make_call())

    def test_without_contact_an_unknown_key_may_be_a_new_one(self):
        """401 isn't retried, so it must not be given to a key that was just added."""
        self.configure(strict_revoke=True)
        self.confirmed_at_s = None
        self.assert_refused(503, "unconfirmed", self.admit, make_call("new"))
        self.assert_refused(401, "missing", self.admit, make_call(None))
        self.assertEqual(self.admit(make_call(None, public=True)).customer, "")

    def test_without_customers_nothing_is_checked(self):
        self.configure(strict_revoke=True)
        self.confirmed_at_s = None
        self.table = RouteTable(1, (), {})
        self.assertEqual(self.admit(make_call(None)).customer, "")


class TemplateTest(unittest.TestCase):
    """A template that isn't JSON where a field is missing ends all entries."""

    def test_settings_are_valid_with_and_without_the_fields(self):
        for bounds, strict, revoke_ms in (
            ({}, None, None),
            ({"strict-revoke": False, "revoke-ms": 5000}, None, 5000),
            ({"strict-revoke": True, "revoke-ms": 900}, True, 900),
        ):
            content = render_settings(bounds=bounds)
            self.assertEqual(content.get("strict_revoke"), strict)
            self.assertEqual(content.get("revoke_ms"), revoke_ms)


class RemovedKeyTest(KeyCheckCase):
    def test_call_that_cannot_have_run_is_refused(self):
        call = self.admit(make_call())
        self.keys.check_again(call)
        self.table = table()
        self.assert_refused(401, "removed", self.keys.check_again, call)

    def test_call_that_may_have_run_goes_on(self):
        call = self.admit(make_call())
        self.table = table()
        for ran in (Ran.UNKNOWN, Ran.YES):
            call.ran = ran
            self.keys.check_again(call)
            self.assertEqual(call.customer, "huka270")

    def test_newest_configuration_names_customer_and_priority(self):
        call = self.admit(make_call())
        self.assertEqual(call.priority, 3)
        self.table = table(customer("taro", priority=0))
        self.keys.check_again(call)
        self.assertEqual((call.customer, call.priority), ("taro", 0))

    def test_call_of_a_public_route_goes_on_without_its_customer(self):
        call = self.admit(make_call(public=True))
        self.assertEqual(call.customer, "huka270")
        self.table = table()
        self.keys.check_again(call)
        self.assertEqual(call.customer, "")

    def test_call_that_began_without_customers_goes_on(self):
        call = make_call(None)
        self.keys.check_again(call)
        self.assertEqual(call.customer, "")

    def test_calls_go_on_where_the_customers_are_taken_out(self):
        call = self.admit(make_call())
        self.table = RouteTable(2, (), {})
        self.keys.check_again(call)


class WaitingCallTest(KeyCheckCase):
    def setUp(self):
        super().setUp()
        self.inner = SlowPlacer()
        self.placer = RevocablePlacer(self.inner, self.keys)

    def run_waiting(self, main):
        async def run():
            sweep = await curio.spawn(self.placer.run, daemon=True)
            try:
                async with curio.timeout_after(5):
                    await main()
            finally:
                await sweep.cancel()

        curio.run(run)
        self.assertEqual(self.placer._waiting, {})

    @asynccontextmanager
    async def waiting(self, place, *arguments):
        async def place_call():
            try:
                return await place(*arguments)
            except (RequestError, AttemptFailed) as exc:
                return exc

        task = await curio.spawn(place_call)
        await curio.sleep(0.01)
        self.assertFalse(task.terminated)
        yield task
        await task.cancel()

    def test_waiting_call_is_refused_soon_after_its_key_is_removed(self):
        async def main():
            for place, more in (
                (self.placer.place, ()),
                (self.placer.place_decode, (None,)),
            ):
                self.table = table(customer())
                call = self.admit(make_call())
                async with self.waiting(place, call, *more) as task:
                    self.table = table()
                    async with curio.timeout_after(SOON_S):
                        exc = await task.join()
                    self.assertIsInstance(exc, RequestError)
                    self.assertEqual(ANSWERS[exc.kind].status, 401)
            self.assertEqual(self.inner.cancelled, 2)

        self.run_waiting(main)

    def test_next_attempt_of_a_removed_key_is_not_placed(self):
        """The first attempt was declined; the key is removed before the second."""

        async def main():
            call = self.admit(make_call())
            await self.inner.free.set()
            self.assertIsInstance(await self.placer.place(call), Placement)
            self.table = table()
            with self.assertRaises(RequestError) as caught:
                await self.placer.place(call)
            self.assertEqual(ANSWERS[caught.exception.kind].status, 401)
            self.assertEqual(self.inner.asked, 1)

        self.run_waiting(main)

    def test_only_calls_of_the_removed_key_are_refused(self):
        async def main():
            self.table = table(customer(), customer("taro", "other"))
            kept = self.admit(make_call("other"))
            async with self.waiting(self.placer.place, kept) as task:
                self.table = table(customer("taro", "other"))
                await curio.sleep(SOON_S)
                self.assertFalse(task.terminated)
                await self.inner.free.set()
                self.assertIsInstance(await task.join(), Placement)

        self.run_waiting(main)

    def test_call_that_may_have_run_waits_on(self):
        async def main():
            call = self.admit(make_call())
            call.ran = Ran.UNKNOWN
            async with self.waiting(self.placer.place, call) as task:
                self.table = table()
                await curio.sleep(SOON_S)
                await self.inner.free.set()
                self.assertIsInstance(await task.join(), Placement)

        self.run_waiting(main)

    def test_call_without_a_key_is_placed_directly(self):
        async def main():
            async with self.waiting(self.placer.place, make_call(None)) as task:
                self.assertEqual(self.placer._waiting, {})
                await self.inner.free.set()
                self.assertIsInstance(await task.join(), Placement)

        self.run_waiting(main)

    def test_errors_of_the_placement_are_passed_on(self):
        async def main():
            self.inner.error = AttemptFailed.nothing_sent("none")
            async with self.waiting(self.placer.place, self.admit(make_call())) as task:
                await self.inner.free.set()
                self.assertIs(await task.join(), self.inner.error)

        self.run_waiting(main)

    def test_deadline_ends_the_placement(self):
        async def main():
            call = self.admit(make_call())
            with self.assertRaises(curio.TaskTimeout):
                async with curio.timeout_after(0.05):
                    await self.placer.place(call)
            self.assertEqual(self.inner.cancelled, 1)

        self.run_waiting(main)

    def test_placement_that_comes_with_the_cancellation_is_given_back(self):
        """Its upstream would count a request in flight that is never sent."""

        async def main():
            call = self.admit(make_call())
            async with self.waiting(self.placer.place, call) as task:
                await self.inner.free.set()
                await task.cancel()
            self.assertEqual(self.inner.ticket.causes, [ABANDONED])

        self.run_waiting(main)

    def test_key_that_is_back_at_once_is_a_failed_attempt(self):
        async def main():
            call = self.admit(make_call())
            async with self.waiting(self.placer.place, call) as task:
                (placing,) = self.placer._waiting
                await placing.cancel()
                self.assertIsInstance(await task.join(), AttemptFailed)

        self.run_waiting(main)
