"""Log lines on parts of a configuration that are invalid and left out."""

from ..event_log import EventLog
from ..events import Event
from ..version.route_table import RouteTable

# Bounds the line about invalid customers; the rest is counted.
CUSTOMER_ERRORS_LOGGED_MAX = 10


def log_invalid_parts(table: RouteTable, log: EventLog) -> None:
    """Log the customers that are left out, and the services that aren't scaled."""
    errors = table.customers.errors if table.customers is not None else ()
    if errors:
        log.write(
            Event.CUSTOMERS_INVALID,
            version=table.version,
            left_out=len(errors),
            errors=errors[:CUSTOMER_ERRORS_LOGGED_MAX],
        )
    for service in table.services.values():
        if service.scaling_error:
            log.write(
                Event.SCALING_INVALID,
                service=service.name,
                error=service.scaling_error,
            )
