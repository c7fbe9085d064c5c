"""First calls of a new entry, which hasn't read all registrations yet.

Another entry schedules them, and chooses upstreams that are unknown here.
"""

import curio

from wisteriaarch.process.clock import now_s
from wisteriaarch.process.upstreams import REGISTRATION_GRACE_S
from wisteriaarch.request.attempt_failures import AttemptFailed

from .route_support import prompt
from .test_scheduling import Entry, SchedulingCase, make_call

READ_AFTER_S = 0.15


class NewEntryTest(SchedulingCase):
    """Calls of ``one``, which has read no registrations."""

    def setUp(self):
        super().setUp()
        self.one = Entry("one", [])

    async def read_registrations(self):
        await curio.sleep(READ_AFTER_S)
        self.one.registry.update(self.two.registry.listed())

    def test_call_waits_for_the_registration_of_the_chosen_upstream(self):
        async def scenario(one, _two):
            reading = await curio.spawn(self.read_registrations)
            placement = await one.place(make_call(prompt=prompt(300)))
            upstream = placement.plan.decode.candidate.upstream
            self.assertIs(upstream, self.one.registry.get(upstream.upstream_id))
            await reading.join()

        self.play(scenario)

    def test_call_waits_for_the_registrations_of_both_stages(self):
        async def scenario(one, _two):
            reading = await curio.spawn(self.read_registrations)
            placement = await one.place(make_call(prompt=prompt(17_000, 13_000)))
            self.assertIsNotNone(placement.plan.prefill)
            await reading.join()

        self.play(scenario)

    def test_caller_that_leaves_meanwhile_is_no_longer_counted(self):
        async def scenario(one, _two):
            placing = await curio.spawn(one.place, make_call(prompt=prompt(300)))
            await curio.sleep(READ_AFTER_S)
            self.assertEqual(sum(self.in_flight().values()), 1)
            await placing.cancel()
            await self.settle()
            self.assertEqual(sum(self.in_flight().values()), 0)

        self.play(scenario)

    def test_call_does_not_wait_once_all_registrations_were_read(self):
        self.one.registry._first_listed_at_s -= REGISTRATION_GRACE_S

        async def scenario(one, _two):
            asked_at_s = now_s()
            with self.assertRaises(AttemptFailed):
                await one.place(make_call(prompt=prompt(300)))
            self.assertLess(now_s() - asked_at_s, READ_AFTER_S)

        self.play(scenario)
