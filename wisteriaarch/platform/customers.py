"""Decoding of customers, and removal of their API keys from stored configurations."""

import json
import re
from typing import Any

from ..version.customers import Customer, CustomerDirectory, key_digest
from ..wire import INVALID_CONTENT_ERRORS, Headers, load_json

CUSTOMERS_FIELD = "tenants"
KEYS_FIELD = "api-keys"
# Replaces KEYS_FIELD in the rows that this entry holds and sends to others.
DIGESTS_FIELD = "api-key-digests"
# Fields besides the keys that are kept; an unknown one may hold a key by mistake.
KEPT_FIELDS = ("name", "priority")
BEARER = "bearer"
# A customer's name is sent as a header value.
NAME_PATTERN = re.compile(r"[!-~](?:[ -~]{0,198}[!-~])?")
# The greatest number of the scheduler's query stands for "not stated".
PRIORITY_MAX = 65_534


def decode_customers(content: dict[str, Any]) -> CustomerDirectory | None:
    """Return a configuration's customers; None if it has none and checks no keys."""
    if CUSTOMERS_FIELD not in content:
        return None
    items = content[CUSTOMERS_FIELD]
    if not isinstance(items, list):
        return CustomerDirectory(errors=(f"{CUSTOMERS_FIELD} is not a list",))
    customers, errors = [], []
    for index, item in enumerate(items):
        try:
            customers.append(_customer(item))
        except INVALID_CONTENT_ERRORS as exc:
            errors.append(f"{CUSTOMERS_FIELD}[{index}]: {exc}")
    return CustomerDirectory.from_customers(customers, errors)


def _customer(item: Any) -> Customer:
    """Return one customer; raises TypeError or ValueError, whose texts hold no key."""
    if not isinstance(item, dict):
        raise TypeError("it is not an object")
    name = item.get("name")
    if not isinstance(name, str) or not NAME_PATTERN.fullmatch(name):
        raise ValueError("its name is not 1 to 200 printable ASCII characters")
    priority = item.get("priority")
    if priority is not None and (
        type(priority) is not int or not 0 <= priority <= PRIORITY_MAX
    ):
        raise ValueError(
            f"the priority of {name!r} is no integer from 0 to {PRIORITY_MAX}"
        )
    return Customer(name, _key_digests(name, item), priority)


def _key_digests(name: str, item: dict[str, Any]) -> frozenset[str]:
    if DIGESTS_FIELD in item and KEYS_FIELD not in item:
        return frozenset(_strings(name, item[DIGESTS_FIELD]))
    return frozenset(key_digest(key) for key in _strings(name, item.get(KEYS_FIELD)))


def _strings(name: str, values: Any) -> list[str]:
    if not isinstance(values, list) or not all(
        isinstance(value, str) and value for value in values
    ):
        raise TypeError(f"the keys of {name!r} are not a list of non-empty strings")
    return values


def without_keys(value: bytes) -> bytes:
    """Return the value of a configuration row with digests in place of API keys.

    A value without customers is returned unchanged. One that may contain keys but can't
    be read is emptied, since errors may quote it.
    """
    try:
        content = load_json(value)
        items = content.get(CUSTOMERS_FIELD)
    except INVALID_CONTENT_ERRORS:
        has_keys = KEYS_FIELD.encode() in value or CUSTOMERS_FIELD.encode() in value
        return b"" if has_keys else value
    if not items:
        return value
    replaced = [_without_keys(item) for item in items] if type(items) is list else None
    return json.dumps({**content, CUSTOMERS_FIELD: replaced}).encode()


def _without_keys(item: Any) -> Any:
    """Return an entry without keys; keys that can't be read leave it without any."""
    if not isinstance(item, dict):
        return None
    known = {name: item[name] for name in KEPT_FIELDS if name in item}
    try:
        digests = _key_digests("", item)
    except TypeError:
        return known
    return {**known, DIGESTS_FIELD: sorted(digests)}


def read_key_digest(headers: Headers) -> str | None:
    """Return the digest of a request's API key; None if it has none or several."""
    values = [value for name, value in headers if name.lower() == "authorization"]
    if len(values) != 1:
        return None
    scheme, _, key = values[0].strip().partition(" ")
    key = key.strip()
    if scheme.lower() != BEARER or not key:
        return None
    # Headers are decoded as Latin-1, JSON as UTF-8; keys beyond ASCII match by bytes.
    return key_digest(key.encode("latin-1").decode("utf-8", "surrogateescape"))
