"""Calls of duties over real connections to the stand-in of the cloud's address."""

import unittest
from unittest import mock

import curio

from extras.cluster import Cluster, wait_until
from extras.ports import free_port
from wisteriaarch.connection.duty_client import DutyClient
from wisteriaarch.errors import LeaseLost
from wisteriaarch.platform.duties import PlatformDuties
from wisteriaarch.process.duty import Duty
from wisteriaarch.process.duty_context import DutyContext
from wisteriaarch.process.duty_messages import DutyResult, ScalingOrder, UsageReport
from wisteriaarch.process.duty_settings import (
    AUTOSCALE_DUTY,
    USAGE_DUTY,
    DutySettings,
)
from wisteriaarch.process.lease_record import Contender
from wisteriaarch.process.settings_models import LeaseSettings
from wisteriaarch.process.store_era import StoreEra

from .lease_support import FakeTable

LEASE = LeaseSettings(term_s=30.0, renew_every_s=10.0, drift_margin_s=0.1)


class DutyClientTest(unittest.TestCase):
    def setUp(self):
        self.cluster = self.enterContext(Cluster())
        self.table = FakeTable()
        self.protocol = PlatformDuties()

    def start(self, *options):
        self.server = self.cluster.start("duties", "emulate", "duties", *options)
        return self.client(self.server.address, bool(options))

    def client(self, address, require_fence=False):
        cfg = DutySettings(
            address=address, calls_per_s=100, require_fence=require_fence
        )
        return DutyClient.from_config(cfg, self.protocol, mock.Mock())

    def duty(self, name=USAGE_DUTY, subject=""):
        context = DutyContext(
            "node-1",
            Contender("e1", "1"),
            self.table,
            LEASE,
            lambda: ["e1"],
            StoreEra(),
            mock.Mock(),
        )
        return Duty.from_config(context, name, subject)

    async def report(self, duty, client, window=7):
        if not duty.is_held:
            await duty.step()
        report = UsageReport(window, {"huka270": 412})
        req = self.protocol.usage_request(report, duty.authority())
        return await client.call(duty, req)

    def record(self):
        return self.table.rows["duties", "duty-usage"].value

    def calls(self, **faults):
        return self.server.request("POST", "/emulate", faults).json()["calls"]

    def test_accepted_call_is_settled(self):
        """Guards against a successor that waits without need."""
        client = self.start()
        self.assertIs(curio.run(self.report, self.duty(), client), DutyResult.ACCEPTED)
        call = self.calls()[0]
        self.assertEqual((call["holder"], call["token"]), ("node-1", 1))
        content = {"window-id": 7, "counts": {"huka270": 412}}
        self.assertEqual(call["content"], content)
        self.assertFalse(self.record()["unsettled"])

    def test_unanswered_call_stays_recorded(self):
        """Guards against a successor that overtakes a late call."""
        client = self.start()
        self.calls(late=1, late_s=0.3)
        self.assertIs(curio.run(self.report, self.duty(), client), DutyResult.UNKNOWN)
        self.assertTrue(self.record()["unsettled"])
        wait_until(lambda: len(self.calls()) == 1)

    def test_unreachable_address_and_throttled_call(self):
        """Guards against waits for calls that were certainly not executed."""
        address = f"127.0.0.1:{free_port()}"
        result = curio.run(self.report, self.duty(), self.client(address))
        self.assertIs(result, DutyResult.UNAVAILABLE)
        self.assertFalse(self.record()["unsettled"])
        self.table.rows.clear()
        client = self.start()
        self.calls(refuse=429)
        result = curio.run(self.report, self.duty(), client)
        self.assertIs(result, DutyResult.THROTTLED)
        self.assertFalse(self.record()["unsettled"])

    def test_refused_token_is_replaced(self):
        """Guards against a second call with a token that was refused as too low."""
        client, duty = self.start("--require-fence"), self.duty()
        self.calls(refuse=409)
        self.assertIs(curio.run(self.report, duty, client), DutyResult.FENCED)
        self.calls(refuse=0)
        curio.run(duty.step)
        self.assertIs(curio.run(self.report, duty, client), DutyResult.ACCEPTED)
        self.assertEqual([item["token"] for item in self.calls()], [2])

    def test_no_servers_available(self):
        """Guards against a token that is replaced where tokens aren't compared."""
        client, duty = self.start(), self.duty(AUTOSCALE_DUTY, "llm/z1")
        self.calls(refuse=409)

        async def order():
            await duty.step()
            authority = duty.authority()
            req = self.protocol.scale_request(
                ScalingOrder("llm", "z1", 6, spot=True), authority
            )
            return await client.call(duty, req), authority, duty.authority()

        result, before, after = curio.run(order)
        self.assertIs(result, DutyResult.UNAVAILABLE)
        self.assertEqual(before, after)

    def test_request_with_an_outdated_token_is_not_sent(self):
        """Guards against a request that was built before the token changed."""
        client, duty = self.start(), self.duty()

        async def call():
            await duty.step()
            authority = duty.authority()
            req = self.protocol.usage_request(UsageReport(7), authority)
            await duty.replace_token(authority.token)
            await duty.step()
            await client.call(duty, req)

        with self.assertRaises(LeaseLost):
            curio.run(call)
        self.assertEqual(self.calls(), [])


if __name__ == "__main__":
    unittest.main()
