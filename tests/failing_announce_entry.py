"""Entry that fails to announce its stop to the others; run by the tests."""

import sys

from curio.errors import WriteResourceBusy

from wisteriaarch.connection.prober import Prober
from wisteriaarch.process.member_list import MemberState

announce = Prober.announce


async def fail_while_leaving(self, *args, **kwargs):
    if self.members.own_record.state is MemberState.LEAVING:
        raise WriteResourceBusy("two tasks wait to write on one socket")
    await announce(self, *args, **kwargs)


Prober.announce = fail_while_leaving

if __name__ == "__main__":
    from wisteriaarch.__main__ import main

    sys.exit(main())
