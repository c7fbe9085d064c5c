"""Runs an entry that takes the name of a call's customer from the header Customer."""

import sys

from wisteriaarch.__main__ import main
from wisteriaarch.platform import callers

decode_call = callers.decode_call


def decode_call_of_customer(req, table, rng):
    """Decode a call as the platform does, with its customer."""
    call = decode_call(req, table, rng)
    call.customer = req.headers.get("customer", "")
    return call


callers.decode_call = decode_call_of_customer

if __name__ == "__main__":
    sys.exit(main())
