"""Header names, paths and values of the platform's protocols."""

ATTEMPT_ID = "Attempt-Id"
DEADLINE = "Deadline-Remaining"
EXPECT_INSTANCE = "Expect-Instance"
NOT_EXECUTED = "not-executed"
STAGE = "Stage"
KV_FETCH = "Kv-Fetch"
KV_SOURCE = "Kv-Source"
SERVER_LEAVING = "server-leaving"
SERVER_LOAD = "server-load"
SERVER_LIMIT = "server-limit"
RETRY_AFTER = "retry-after"
STORE_ERA = "Store-Era"
URGENCY = "Request-Urgency"
TENANT = "Tenant"
LAST_EVENT_ID = "Last-Event-Id"
RESUMES = "resumes"
MODEL = "model"
TOKEN_COUNTS = "token-counts"
PREFIX_HASH = "prefix-hash"

PREFILL = "prefill"
STAGES = frozenset((PREFILL, "decode"))

REPORT_PATH = "/api/report"
ORDER_PATH = "/api/order"
USAGE_PATH = "/usage"
SCALE_PATH = "/scale"
DUTY_HOLDER = "Duty-Holder"
FENCING_TOKEN = "Fencing-Token"

# Only the system sets these headers; a caller's values are removed, so that they
# never reach an upstream.
SYSTEM_HEADERS = frozenset(
    (
        "deadline-remaining",
        "expect-instance",
        "expect-version",
        "instance-id",
        "kv-backup",
        "kv-fetch",
        "kv-hold",
        "kv-source",
        "not-executed",
        "pin-ms",
        "request-urgency",
        "server-seal",
        "stage",
        "wait-ms",
        "weight-versions",
    )
)

# Removed as well where the configuration has customers.
CUSTOMER_HEADERS = frozenset(("authorization", "tenant"))

MS_PER_S = 1000
