"""Numbered log events.

Numbers: 1xx entry, 2xx manifest and store, 3xx requests, 4xx leases and orders, 5xx
claims and quarantine, 6xx peers, 7xx admission and roles.
docs/EVENTS.md lists every event, which a test verifies. Credentials and prompts must
never be logged as fields of an event.
"""

from enum import Enum

import logbook

from .event_kind import EventKind
from .log_budget import Importance


class Event(Enum):
    """Every event that the program logs."""

    ENTRY_STARTED = EventKind(100, logbook.INFO, "entry started")
    ENTRY_READY = EventKind(101, logbook.INFO, "entry is ready for callers")
    ENTRY_DRAINING = EventKind(
        102, logbook.INFO, "entry is draining; it takes no new callers"
    )
    ENTRY_STOPPED = EventKind(103, logbook.INFO, "entry stopped")
    ENTRY_STOP_TIMED_OUT = EventKind(104, logbook.WARNING, "stop timeout reached")
    ENTRY_FAILED = EventKind(
        108, logbook.ERROR, "entry ends because of an error", Importance.REQUIRED
    )
    HANDSHAKE_FILTER_FAILED = EventKind(
        107,
        logbook.WARNING,
        "can't drop new handshakes; connections may be reset during shutdown",
    )
    LOG_LINES_SUPPRESSED = EventKind(
        118, logbook.WARNING, "log lines suppressed by the log budget, by event"
    )
    LOG_LINES_DROPPED = EventKind(
        119, logbook.WARNING, "log lines dropped; the reader of the log was too slow"
    )
    ACCEPT_FAILED = EventKind(
        121, logbook.WARNING, "connection can't be accepted; retrying"
    )
    LIBRARY_MESSAGE = EventKind(120, logbook.WARNING, "log message of a library")
    STOP_STEP_FAILED = EventKind(
        111, logbook.ERROR, "step of the stop failed; the stop goes on"
    )
    TASK_FAILED = EventKind(110, logbook.ERROR, "task failed; restarting it")
    MANIFEST_IN_FORCE = EventKind(200, logbook.INFO, "manifest is in force")
    MANIFEST_FETCH_FAILED = EventKind(201, logbook.WARNING, "manifest can't be fetched")
    MANIFEST_UNCONFIRMED = EventKind(
        202, logbook.WARNING, "manifest can't be confirmed"
    )
    MANIFEST_CONFIRMED = EventKind(203, logbook.INFO, "manifest is confirmed again")
    TABLE_UNREACHABLE = EventKind(
        204, logbook.WARNING, "no entry reaches the table; serving continues"
    )
    SETTINGS_CONFLICT = EventKind(
        205, logbook.WARNING, "settings conflict with the manifest in force"
    )
    STORE_UNAVAILABLE = EventKind(210, logbook.WARNING, "platform store unavailable")
    STORE_AVAILABLE = EventKind(211, logbook.INFO, "platform store available again")
    STORE_RESTORED = EventKind(
        214, logbook.WARNING, "platform store was restored from an older snapshot"
    )
    STREAM_VERSIONS_CHANGED = EventKind(
        215, logbook.INFO, "software versions that streams may have begun on changed"
    )
    STREAM_VERSIONS_UNRECORDED = EventKind(
        216, logbook.WARNING, "software versions of streams can't be recorded"
    )
    CONFIGURATION_IN_FORCE = EventKind(206, logbook.INFO, "configuration is in force")
    CONFIGURATION_INVALID = EventKind(
        207,
        logbook.WARNING,
        "configuration is invalid; the previous one stays in force",
    )
    CUSTOMERS_INVALID = EventKind(
        208,
        logbook.ERROR,
        "customers of the configuration are invalid; the others are in force",
    )
    WATCH_RESTARTED = EventKind(
        212, logbook.INFO, "change history unavailable; reading all rows"
    )
    UPSTREAM_REGISTERED = EventKind(220, logbook.INFO, "upstream registered")
    UPSTREAM_DEREGISTERED = EventKind(221, logbook.INFO, "upstream deregistered")
    REGISTRATION_INVALID = EventKind(222, logbook.WARNING, "registration is invalid")
    UPSTREAM_SUSPENDED = EventKind(223, logbook.WARNING, "upstream suspended")
    UPSTREAM_BACKOFF_REQUESTED = EventKind(
        224, logbook.INFO, "upstream requested a backoff"
    )
    UPSTREAM_DRAINING = EventKind(
        225, logbook.INFO, "upstream reported that it is draining"
    )
    UPSTREAM_HEADER_INVALID = EventKind(
        226, logbook.WARNING, "upstream sent an invalid header; the header is ignored"
    )
    REQUEST_LIMIT_CHANGED = EventKind(
        227, logbook.INFO, "upstream stated another request limit"
    )
    REQUEST_LIMIT_ENDED = EventKind(
        228, logbook.INFO, "upstream states no request limit any more"
    )
    UPSTREAMS_LOST = EventKind(
        230, logbook.WARNING, "this entry can't reach any upstream"
    )
    UPSTREAMS_FOUND = EventKind(231, logbook.INFO, "this entry reaches upstreams again")
    UPSTREAM_RELAYED = EventKind(
        232,
        logbook.INFO,
        "connected another entry to an upstream",
        Importance.PROGRESS,
    )
    SETTINGS_RELOADED = EventKind(105, logbook.INFO, "settings reloaded")
    SETTINGS_INVALID = EventKind(
        106,
        logbook.WARNING,
        "changed settings are invalid; the previous ones stay in force",
    )
    REQUEST_CUT = EventKind(
        305,
        logbook.WARNING,
        "request cut as its entry ends",
        Importance.REQUIRED,
    )
    CLIENT_LIMIT_REACHED = EventKind(
        306, logbook.WARNING, "limit on clients took effect"
    )
    ATTEMPT_PLACED = EventKind(
        310, logbook.INFO, "attempt placed on an upstream", Importance.PROGRESS
    )
    ATTEMPT_FAILED = EventKind(311, logbook.INFO, "attempt failed", Importance.FAILURE)
    CALL_ANSWERED = EventKind(312, logbook.INFO, "call answered", Importance.PROGRESS)
    CALL_WAITED_FOR_PREFIX = EventKind(
        314,
        logbook.INFO,
        "call waited for the prefill of a shared prefix",
        Importance.PROGRESS,
    )
    CALL_QUEUED = EventKind(
        315, logbook.INFO, "call waited for a free upstream", Importance.PROGRESS
    )
    CALL_LEFT_ZONE = EventKind(
        318, logbook.INFO, "call placed outside its zone", Importance.PROGRESS
    )
    STREAM_RESUMED = EventKind(
        316, logbook.INFO, "attempt resumes a stream", Importance.FAILURE
    )
    STREAM_NOT_RESUMED = EventKind(
        317,
        logbook.INFO,
        "stream can't go on at its software version",
        Importance.FAILURE,
    )
    KV_CACHE_RELEASE_FAILED = EventKind(
        313, logbook.INFO, "unused KV cache can't be released", Importance.PROGRESS
    )
    REQUEST_ROUTED = EventKind(300, logbook.INFO, "request routed", Importance.PROGRESS)
    REQUEST_RETRIED = EventKind(
        301, logbook.INFO, "attempt failed; retrying", Importance.FAILURE
    )
    REQUEST_ANSWERED = EventKind(
        302, logbook.INFO, "request answered", Importance.PROGRESS
    )
    REQUEST_REFUSED = EventKind(
        303, logbook.INFO, "request answered with an error", Importance.FAILURE
    )
    REQUEST_CANCELLED = EventKind(
        304, logbook.INFO, "caller closed the connection", Importance.FAILURE
    )
    LEASE_ACQUIRED = EventKind(400, logbook.INFO, "lease acquired")
    LEASE_LOST = EventKind(401, logbook.WARNING, "lease lost to another entry")
    LEASE_RELEASED = EventKind(402, logbook.INFO, "lease released")
    LEASE_WRITE_FAILED = EventKind(403, logbook.WARNING, "lease can't be written")
    LEASE_READ_FAILED = EventKind(404, logbook.WARNING, "lease can't be read")
    PLACEMENT_DECIDED = EventKind(410, logbook.INFO, "placement decided")
    PLACEMENT_INCOMPLETE = EventKind(
        411, logbook.WARNING, "not all replicas can be placed"
    )
    MODEL_CLOSED = EventKind(412, logbook.INFO, "models closed on an upstream")
    MODEL_REOPENED = EventKind(413, logbook.INFO, "models reopened on an upstream")
    ORDER_RECORDED = EventKind(420, logbook.INFO, "order recorded")
    ORDER_ACCEPTED = EventKind(421, logbook.INFO, "upstream accepted an order")
    ORDER_CONFIRMED = EventKind(422, logbook.INFO, "order confirmed by its upstream")
    ORDER_ABANDONED = EventKind(423, logbook.WARNING, "order abandoned")
    ORDER_UNCONFIRMED = EventKind(424, logbook.WARNING, "order's outcome is unknown")
    ORDER_NOT_EXECUTED = EventKind(
        425, logbook.INFO, "recorded order was never executed"
    )
    ENGINE_RESTARTED = EventKind(426, logbook.WARNING, "upstream has restarted")
    ENGINE_UNREACHABLE = EventKind(427, logbook.WARNING, "upstream is unreachable")
    CONTROL_INTERRUPTED = EventKind(428, logbook.WARNING, "control loop interrupted")
    UPSTREAM_TAKEN_OVER = EventKind(
        440, logbook.INFO, "upstream taken over from another group"
    )
    EPOCH_RAISED = EventKind(441, logbook.INFO, "epoch raised above another group's")
    UPSTREAM_REASSIGNED = EventKind(
        442, logbook.INFO, "upstream belongs to another group"
    )
    DUTY_TAKEN = EventKind(450, logbook.INFO, "duty taken")
    DUTY_CALL_ENDED = EventKind(451, logbook.INFO, "call of a duty ended")
    DUTY_RECORD_FAILED = EventKind(
        452, logbook.WARNING, "record of a duty can't be read or written"
    )
    USAGE_REPORT_FAILED = EventKind(
        453, logbook.WARNING, "usage report not accepted, or windows skipped"
    )
    USAGE_REPORT_LATE = EventKind(454, logbook.WARNING, "usage report is late")
    DUTY_RECORDS_LOST = EventKind(456, logbook.WARNING, "duty's records may be lost")
    USAGE_COUNTS_CHOSEN = EventKind(
        455, logbook.INFO, "counts of a usage report chosen"
    )
    ROLE_CHANGE_DECIDED = EventKind(430, logbook.INFO, "role change decided")
    ROLE_CHANGE_DEFERRED = EventKind(
        432,
        logbook.INFO,
        "role change deferred; it would leave a model without upstream",
    )
    ROLE_CHANGE_ENDED = EventKind(431, logbook.INFO, "role change ended")
    STAGE_UNSTAFFED = EventKind(
        433, logbook.WARNING, "no engine responds in a stage of the service"
    )
    STAGE_STAFFED = EventKind(
        434, logbook.INFO, "engines respond again in a stage of the service"
    )
    SCALING_INVALID = EventKind(
        460, logbook.WARNING, "scaling of a service is invalid; it isn't scaled"
    )
    SCALING_DECIDED = EventKind(
        461, logbook.INFO, "change of a service's servers decided"
    )
    SCALING_ORDER_FAILED = EventKind(
        462,
        logbook.WARNING,
        "order for servers isn't carried out, or its outcome is unknown",
    )
    CLAIM_WRITTEN = EventKind(500, logbook.INFO, "claim written", Importance.PROGRESS)
    CLAIM_OUTCOME_WRITTEN = EventKind(
        501, logbook.INFO, "outcome of a claim written", Importance.PROGRESS
    )
    CLAIM_WRITE_UNKNOWN = EventKind(
        502,
        logbook.WARNING,
        "outcome of a claim's write is unknown; the call is not run",
    )
    CLAIM_OUTCOME_WRITE_FAILED = EventKind(
        503, logbook.WARNING, "outcome of a claim can't be written yet"
    )
    CLAIMS_UNAVAILABLE = EventKind(
        504, logbook.WARNING, "claims refused; the table is unavailable"
    )
    CLAIMS_AVAILABLE = EventKind(505, logbook.INFO, "claims accepted again")
    CLAIMS_EXPIRED = EventKind(506, logbook.INFO, "expired claims removed")
    CRASH_RECORDED = EventKind(510, logbook.WARNING, "request was in flight at a crash")
    REQUEST_ISOLATED = EventKind(511, logbook.INFO, "suspect request runs in isolation")
    REQUEST_QUARANTINED = EventKind(512, logbook.WARNING, "request quarantined")
    SUSPECT_CLEARED = EventKind(
        513, logbook.INFO, "suspect request completed without a crash"
    )
    REQUEST_RELEASED = EventKind(
        514, logbook.INFO, "request released; another request explains its crashes"
    )
    BLOCK_QUARANTINED = EventKind(
        515, logbook.WARNING, "block of prompts quarantined; it crashes upstreams"
    )
    BLOCK_RELEASED = EventKind(
        516, logbook.WARNING, "block of prompts released from quarantine"
    )
    BLOCK_TRIED = EventKind(
        517, logbook.INFO, "request runs as a trial of a quarantined block"
    )
    RECORDS_READ = EventKind(518, logbook.INFO, "records read from the store")
    PEER_CONNECTED = EventKind(
        600, logbook.INFO, "heartbeat connection to a peer established"
    )
    PEER_DISCONNECTED = EventKind(
        601, logbook.INFO, "heartbeat connection to a peer lost"
    )
    PEER_SEND_FAILED = EventKind(
        604, logbook.WARNING, "datagram to another entry can't be sent"
    )
    PEER_FRAME_REFUSED = EventKind(602, logbook.WARNING, "frame from a peer refused")
    MANIFEST_COPY_REFUSED = EventKind(
        603, logbook.WARNING, "manifest copy from a peer refused"
    )
    SCHEDULER_DISCONNECTED = EventKind(
        610, logbook.INFO, "connection to a scheduler lost"
    )
    SCHEDULER_UNRESPONSIVE = EventKind(
        611, logbook.WARNING, "scheduler doesn't answer; backing off from it"
    )
    ROW_COPY_FETCH_FAILED = EventKind(
        612, logbook.INFO, "row copy can't be fetched from a peer"
    )
    ENTRY_DECLARED_DEAD = EventKind(613, logbook.WARNING, "entry declared dead")
    INTERNAL_ERROR = EventKind(399, logbook.ERROR, "internal error")
    ADMISSION_REFUSED = EventKind(
        700, logbook.INFO, "request can't be admitted", Importance.FAILURE
    )
