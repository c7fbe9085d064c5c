"""Exception tree, the closed list of error kinds and the answer for each kind."""

from dataclasses import dataclass
from enum import StrEnum


class Ran(StrEnum):
    """Whether a failed request was run by an upstream."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ErrorKind(StrEnum):
    """Every kind of error that a caller can receive."""

    MALFORMED_REQUEST = "malformed_request"
    INVALID_JSON = "invalid_json"
    INVALID_FIELD = "invalid_field"
    HEAD_TOO_LARGE = "head_too_large"
    BODY_TOO_LARGE = "body_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    UNKNOWN_PATH = "unknown_path"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    UNKNOWN_CALLER = "unknown_caller"
    NOT_PERMITTED = "not_permitted"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    KEY_REQUIRED = "key_required"
    KEY_REUSED = "key_reused"
    DUPLICATE_IN_PROGRESS = "duplicate_in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    QUARANTINED = "quarantined"
    OVERLOADED = "overloaded"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_UPSTREAM = "no_upstream"
    UPSTREAM_FAILED = "upstream_failed"
    ANSWER_INCOMPLETE = "answer_incomplete"
    STORE_UNAVAILABLE = "store_unavailable"
    STALE_MANIFEST = "stale_manifest"
    NO_CONFIGURATION = "no_configuration"
    STALE_CONFIGURATION = "stale_configuration"
    UNKNOWN_KEY = "unknown_key"
    UNKNOWN_ROUTE = "unknown_route"
    UPSTREAM_OVERLOADED = "upstream_overloaded"
    CRASHES_UPSTREAMS = "crashes_upstreams"
    STREAM_NOT_RESUMABLE = "stream_not_resumable"
    STOPPING = "stopping"
    ENTRY_STOPPED = "entry_stopped"
    MEMORY_EXHAUSTED = "memory_exhausted"
    INTERNAL = "internal"


@dataclass(frozen=True)
class ErrorAnswer:
    """HTTP answer of an error kind; ``retry_after_s`` is None if a retry is useless."""

    status: int
    title: str
    retry_after_s: float | None = None


ANSWERS: dict[ErrorKind, ErrorAnswer] = {
    ErrorKind.MALFORMED_REQUEST: ErrorAnswer(400, "The HTTP request is malformed"),
    ErrorKind.INVALID_JSON: ErrorAnswer(400, "The body is not valid JSON"),
    ErrorKind.INVALID_FIELD: ErrorAnswer(400, "A field has an invalid value"),
    ErrorKind.HEAD_TOO_LARGE: ErrorAnswer(431, "The request head is too large"),
    ErrorKind.BODY_TOO_LARGE: ErrorAnswer(413, "The request body is too large"),
    ErrorKind.REQUEST_TIMEOUT: ErrorAnswer(408, "The request arrived too slowly", 1.0),
    ErrorKind.UNKNOWN_PATH: ErrorAnswer(404, "There is no such path"),
    ErrorKind.METHOD_NOT_ALLOWED: ErrorAnswer(405, "The path has no such method"),
    ErrorKind.UNKNOWN_CALLER: ErrorAnswer(401, "The credential is unknown"),
    ErrorKind.NOT_PERMITTED: ErrorAnswer(403, "The caller may not use this"),
    ErrorKind.UNKNOWN_MODEL: ErrorAnswer(404, "There is no such model"),
    ErrorKind.UNKNOWN_SERVICE: ErrorAnswer(404, "There is no such service"),
    ErrorKind.KEY_REQUIRED: ErrorAnswer(400, "An idempotency key is required"),
    ErrorKind.KEY_REUSED: ErrorAnswer(422, "The key was used for another body"),
    ErrorKind.DUPLICATE_IN_PROGRESS: ErrorAnswer(
        409, "The request with this key is still running", 1.0
    ),
    ErrorKind.OUTCOME_UNKNOWN: ErrorAnswer(502, "The outcome of the run is unknown"),
    ErrorKind.QUARANTINED: ErrorAnswer(422, "The request repeatedly crashed upstreams"),
    ErrorKind.OVERLOADED: ErrorAnswer(429, "The caller's share is used up", 1.0),
    ErrorKind.DEADLINE_UNREACHABLE: ErrorAnswer(
        503, "The request can't be finished in time", 1.0
    ),
    ErrorKind.DEADLINE_EXCEEDED: ErrorAnswer(504, "The deadline has passed", 1.0),
    ErrorKind.NO_UPSTREAM: ErrorAnswer(503, "No upstream can take the request", 1.0),
    ErrorKind.UPSTREAM_FAILED: ErrorAnswer(502, "The upstream failed", 1.0),
    ErrorKind.ANSWER_INCOMPLETE: ErrorAnswer(502, "The answer was cut short", 1.0),
    ErrorKind.STORE_UNAVAILABLE: ErrorAnswer(
        503, "The platform's store is unavailable", 2.0
    ),
    ErrorKind.STALE_MANIFEST: ErrorAnswer(
        503, "This entry can't confirm the manifest in force", 1.0
    ),
    ErrorKind.NO_CONFIGURATION: ErrorAnswer(
        503, "This entry has no configuration yet", 0.5
    ),
    ErrorKind.STALE_CONFIGURATION: ErrorAnswer(
        503, "This entry can't confirm the configuration in force", 1.0
    ),
    ErrorKind.UNKNOWN_KEY: ErrorAnswer(401, "The API key is missing or unknown"),
    ErrorKind.UNKNOWN_ROUTE: ErrorAnswer(404, "No route leads there"),
    ErrorKind.UPSTREAM_OVERLOADED: ErrorAnswer(
        503, "The upstreams have no room for the request", 0.5
    ),
    ErrorKind.CRASHES_UPSTREAMS: ErrorAnswer(
        503, "The request was in flight at crashes of upstreams"
    ),
    ErrorKind.STREAM_NOT_RESUMABLE: ErrorAnswer(503, "The stream can't be resumed"),
    ErrorKind.STOPPING: ErrorAnswer(503, "This entry is stopping", 0.0),
    ErrorKind.ENTRY_STOPPED: ErrorAnswer(
        502, "This entry stopped before the answer was complete"
    ),
    ErrorKind.MEMORY_EXHAUSTED: ErrorAnswer(
        503, "This entry has no memory for the request", 1.0
    ),
    ErrorKind.INTERNAL: ErrorAnswer(500, "Internal error"),
}


class WisteriaError(Exception):
    """Base of all errors raised by this package."""


class ConfigError(WisteriaError):
    """Invalid settings or manifest; the text names field, value and expectation."""


class PlacementError(ConfigError):
    """A valid manifest can't be placed on the fleet."""


class RequestError(WisteriaError):
    """A caller's request failed; carries the contents of the error answer."""

    def __init__(
        self,
        kind: ErrorKind,
        detail: str,
        *,
        ran: Ran = Ran.NO,
        field: str | None = None,
        value: str | None = None,
        expected: str | None = None,
        retry_after_s: float | None = None,
    ):
        super().__init__(detail)
        self.kind = kind
        self.detail = detail
        self.ran = ran
        self.field = field
        self.value = value
        self.expected = expected
        self.retry_after_s = retry_after_s


def cut_error(ran: Ran) -> RequestError:
    """Return the error of a request that is ended as its entry stops."""
    if ran is Ran.NO:
        return RequestError(ErrorKind.STOPPING, "this entry is stopping")
    return RequestError(
        ErrorKind.ENTRY_STOPPED, "the entry stopped before the call ended", ran=ran
    )


class WireError(WisteriaError):
    """An HTTP peer violated the protocol or closed the connection early."""


class MemoryExhausted(WireError):
    """A message was given up since it held too much of the process's memory."""


class ConnectionClosed(WireError):
    """The connection ended before a message was complete."""


class PlatformError(WisteriaError):
    """The platform's table, object store or instance list gave no valid response."""


class StoreUnavailable(PlatformError):
    """The store refused or could not be reached; nothing was written."""


class HistoryUnavailable(PlatformError):
    """The store no longer retains the changes since the requested version."""


class WriteOutcomeUnknown(PlatformError):
    """A write's response was lost, and reading back did not reveal the outcome."""


class WriteConflict(PlatformError):
    """A condition of a transaction did not hold; nothing was written."""


class LeaseLost(WisteriaError):
    """The lease that an operation requires is no longer held."""


class OrderError(WisteriaError):
    """An upstream did not execute an order."""


class UpstreamReassigned(OrderError):
    """A newer generation of the head assigned the upstream to another group."""


class OrderRefused(OrderError):
    """An upstream refused an order, for example for its outdated fencing token."""


class OrderFenced(OrderRefused):
    """An upstream has seen a greater fencing token; this one is no longer valid."""


class OrderUnconfirmed(OrderError):
    """It is unknown whether an upstream received an order."""


class UpstreamError(WisteriaError):
    """An attempt on an upstream failed."""


class UpstreamUnreachable(UpstreamError):
    """The upstream was not reached; no byte of the request was sent."""


class UpstreamRefused(UpstreamError):
    """The upstream reported that it did not run the request."""


class UpstreamDisconnected(UpstreamError):
    """The upstream broke the connection after bytes of the request were sent."""


class FrameError(WisteriaError):
    """A frame from a peer is oversized or malformed."""
