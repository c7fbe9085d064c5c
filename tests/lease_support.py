"""Table for tests of leases, in memory."""

from wisteriaarch.errors import WriteConflict
from wisteriaarch.process.store import Row


class FakeTable:
    """Rows in memory; each write takes ``write_s`` on the test's clock."""

    def __init__(self):
        self.now_s = 100.0
        self.write_s = 0.0
        self.rows = {}

    async def read(self, table, key):
        return self.rows.get((table, key), Row(table, key, 0, None))

    async def write(self, transaction):
        for item in (*transaction.puts, *transaction.checks):
            row = await self.read(item.table, item.key)
            if row.version != item.expected_version:
                raise WriteConflict(item.key)
        for put in transaction.puts:
            version = put.expected_version + 1
            self.rows[put.table, put.key] = Row(put.table, put.key, version, put.value)
        self.now_s += self.write_s
