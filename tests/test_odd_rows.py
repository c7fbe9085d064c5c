"""One odd entry among the servers ended the watch of the list (LOST)."""

import json
import unittest
from unittest import mock

import curio

from wisteriaarch.connection.prober import Prober
from wisteriaarch.errors import ConfigError
from wisteriaarch.platform.rows import decode_configuration, decode_upstream
from wisteriaarch.platform.store import _decode_rows
from wisteriaarch.process.entry_list import EntryList
from wisteriaarch.process.http_store import HttpInstanceList
from wisteriaarch.process.rows import RowsRead, StoredRow
from wisteriaarch.process.store_era import StoreEra
from wisteriaarch.wire import Address

SERVER = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "slots": 4,
    "state": "ready",
    "stage": "decode",
    "cold-left-ms": 0,
    "born": 1,
}
ODD_VALUES = {
    "too large": "1" + "0" * 400,
    "infinite": "1e999",
    "not a number": "NaN",
    "too many digits": "9" * 5000,
    "nested": "[" * 900 + "]" * 900,
    "nested too deeply": "[" * 100_000 + "]" * 100_000,
    "port out of range": '"10.0.0.1:99999"',
    "no text": '"\\ud800"',
}
INSTANCE = {"id": "e1", "kind": "engine", "zone": "z", "address": "127.0.0.1:80"}


def row_with(name, value) -> bytes:
    rest = {key: item for key, item in SERVER.items() if key != name}
    return f'{json.dumps(rest)[:-1]}, "{name}": {value}}}'.encode()


class OddRowTest(unittest.TestCase):
    def test_odd_numbers_name_no_server(self):
        for name in ("slots", "cold-left-ms", "born"):
            for case, value in ODD_VALUES.items():
                with self.subTest(name=name, case=case):
                    with self.assertRaises(ConfigError):
                        decode_upstream(StoredRow("k", 1, row_with(name, value)))

    def test_other_odd_values_name_no_server_or_do_no_harm(self):
        for name in (*SERVER, "more"):
            for case, value in ODD_VALUES.items():
                with self.subTest(name=name, case=case):
                    try:
                        found = decode_upstream(
                            StoredRow("k", 1, row_with(name, value))
                        )
                    except ConfigError:
                        continue
                    self.assertEqual(str(found.address), SERVER["address"])

    def test_odd_numbers_in_a_configuration_are_refused(self):
        for version in ("1e999", "1" + "0" * 5000):
            value = f'{{"version": {version}, "routes": [], "services": []}}'
            with self.subTest(version=version[:5]), self.assertRaises(ConfigError):
                decode_configuration(StoredRow("config", 1, value.encode()))

    def test_row_with_unreadable_content_leaves_the_others(self):
        good = {"key": "a", "ver": 1, "value": "e30="}
        content = {"ver": 2, "rows": [good, {"key": "b", "ver": 2, "value": "!"}]}
        read = _decode_rows(content)
        self.assertEqual([item.value for item in read.rows], [b"{}", b""])

    def test_entries_are_addresses(self):
        names = ["10.0.0.7", "a" * 200, "..", "10.0.0.256", "host", "", "10.0.0.9\0"]
        source = mock.AsyncMock()
        source.read_all.return_value = RowsRead(
            tuple(StoredRow(name, 1, b"{}") for name in names), 1
        )
        entries = EntryList(source, "10.0.0.1", "z", 1, 2, (), StoreEra())
        listed = curio.run(entries.list)
        self.assertEqual(
            {item.instance_id for item in listed}, {"10.0.0.1", "10.0.0.7"}
        )

    def test_odd_instance_leaves_the_others_of_the_own_interface(self):
        odd = [
            {},
            7,
            {**INSTANCE, "id": []},
            {**INSTANCE, "id": "e2", "address": "127.0.0.1:99999"},
            {**INSTANCE, "id": "e3", "address": 4},
            {**INSTANCE, "id": "e4", "kind": None},
        ]
        response = mock.Mock()
        response.json.return_value = {"instances": [*odd, INSTANCE]}
        listing = HttpInstanceList(Address("127.0.0.1", 1))
        path = "wisteriaarch.process.http_store._ask"
        with mock.patch(path, mock.AsyncMock(return_value=response)):
            listed = curio.run(listing.list)
        self.assertEqual([item.instance_id for item in listed], ["e1"])

    def test_name_that_is_no_address_does_not_end_the_prober(self):
        prober = Prober(mock.Mock(), list, 7000, mock.Mock(), mock.Mock())
        prober._sock = mock.Mock(
            sendto=mock.AsyncMock(side_effect=UnicodeError("label too long"))
        )
        curio.run(prober._send, b"", ("a" * 70, 7000))
