"""Request handling: parsing, admission, routing, retries and idempotency."""
