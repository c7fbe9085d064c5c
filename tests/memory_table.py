"""Rows in memory, in place of the store."""

from wisteriaarch.process.store import Row


class MemoryTable:
    """Rows of a store that may be away."""

    def __init__(self):
        self.rows = {}
        self.error = None

    async def read(self, table, key):
        if self.error is not None:
            raise self.error
        return self.rows.get((table, key), Row(table, key, 0, None))

    async def write(self, transaction):
        if self.error is not None:
            raise self.error
        for put in transaction.puts:
            row = Row(put.table, put.key, 1, put.value)
            self.rows[put.table, put.key] = row
