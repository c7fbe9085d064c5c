"""Entry whose role policy gives one engine the decode role; run by the tests."""

import sys

import curio

from wisteriaarch.entry import Entry
from wisteriaarch.log_handler import open_log
from wisteriaarch.process.settings import EntrySettings
from wisteriaarch.version.roles import Role, RoleChange

UPSTREAM = "engine-1"


class DecodePolicy:
    """Wants UPSTREAM to decode, as soon as every engine reports."""

    def decide(self, observations, now):
        roles = {item.name: item.role for item in observations}
        if len(roles) < 2 or roles.get(UPSTREAM) in (None, Role.DECODE):
            return None
        return RoleChange(UPSTREAM, Role.DECODE, "wanted by the test")


async def serve(settings):
    async with Entry(settings) as entry:
        entry.control._new_role_policy = DecodePolicy
        await entry.run(lambda address: print(f"listening on {address}", flush=True))


if __name__ == "__main__":
    entry_settings = EntrySettings.from_file(sys.argv[-1])
    with open_log("json", "info", sys.stderr).applicationbound():
        curio.run(serve, entry_settings)
