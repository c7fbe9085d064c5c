"""Requests that crash upstreams, for the tests of what is known of them."""

from wisteriaarch.request.crash_history import CRASHES_MAX
from wisteriaarch.request.routed_call import RoutedCall
from wisteriaarch.version.route_table import CallKind, Route


def call(body=b"x", path="/a", host="h", customer="", credentials=None):
    """Return a request as one caller repeats it."""
    route = Route("r", host, "/", CallKind.IDEMPOTENT, (), 1.0, 1.0)
    headers = [("Authorization", credentials)] if credentials else []
    return RoutedCall(
        "id", route, "s", "POST", path, headers, body, 0.0, 0.0, customer=customer
    )


def crash(history, request):
    """Record as many crashes of a request as lead to its refusal."""
    for number in range(CRASHES_MAX):
        history.record_crash(request, f"u{number}")
