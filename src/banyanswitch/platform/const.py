"""Names of the platform's headers, paths, tables and environment variables."""

from typing import Final

SETTINGS_PATH_VARIABLE: Final = "BANYANSWITCH_BOOT"
"""Environment variable with the path of the settings file."""

TABLE_OPERATOR: Final = "op"
TABLE_UPSTREAMS: Final = "servers"
KEY_CONFIGURATION: Final = "config"
KEY_EVACUATION_PREFIX: Final = "evacuate/"
KEY_WEIGHTS_PREFIX: Final = "version/"

PATH_ROWS_GET: Final = "/-/rows-get"
PATH_ROWS_TRANSACT: Final = "/-/rows-tx"
PATH_ROWS_FEED: Final = "/-/rows-feed"
PATH_REPORT: Final = "/-/report"
PATH_ORDER: Final = "/-/order"
PATH_PART_EVENTS: Final = "/-/kv-events"
PATH_PART_LIST: Final = "/-/kv-list"
PATH_PART_FREE: Final = "/-/kv-free"
PATH_READINESS: Final = "/-/readiness"
PATH_RESOLVE: Final = "/-/resolve"

HEADER_ATTEMPT: Final = b"Attempt-Id"
HEADER_AUTHORIZATION: Final = b"Authorization"
HEADER_BACKUP: Final = b"Kv-Backup"
HEADER_CACHE_SALT: Final = b"Cache-Salt"
HEADER_DEADLINE: Final = b"Deadline-Ms"
HEADER_EXPECTED_UPSTREAM: Final = b"Expect-Instance"
HEADER_EXPECTED_WEIGHTS: Final = b"Expect-Version"
HEADER_FETCH: Final = b"Kv-Fetch"
HEADER_FETCH_UNTIL: Final = b"Kv-Until"
HEADER_HOLD: Final = b"Hold"
HEADER_LAST_EVENT: Final = b"Last-Event-Id"
HEADER_LEAVING: Final = b"Server-Leaving"
HEADER_LIMIT: Final = b"Server-Limit"
HEADER_LOAD: Final = b"Server-Load"
HEADER_MODEL: Final = b"Model"
HEADER_MOVED_FROM: Final = b"Kv-From"
HEADER_NOT_RUN: Final = b"Not-Run"
HEADER_PIN: Final = b"Pin-Ms"
HEADER_PROMPT_PARTS: Final = b"Prompt-Prefix"
HEADER_RANK: Final = b"Request-Priority"
HEADER_RESUMES: Final = b"Resumes"
HEADER_RETRY_AFTER: Final = b"Retry-After"
HEADER_SAVE: Final = b"Kv-Save"
HEADER_SIGNATURE: Final = b"Server-Stamp"
HEADER_STORE_ERA: Final = b"Store-Era"
HEADER_TOKENS: Final = b"Token-Usage"
HEADER_UPSTREAM: Final = b"Instance-Id"
HEADER_WEIGHTS: Final = b"Weight-Versions"
HEADER_WORKSPACE: Final = b"Tenant"

LEAVING: Final = "1"
"""Value of `HEADER_LEAVING`."""

SYSTEM_HEADERS: Final = frozenset(
    name.lower()
    for name in (
        HEADER_AUTHORIZATION,
        HEADER_BACKUP,
        HEADER_CACHE_SALT,
        HEADER_DEADLINE,
        HEADER_EXPECTED_UPSTREAM,
        HEADER_EXPECTED_WEIGHTS,
        HEADER_FETCH,
        HEADER_FETCH_UNTIL,
        HEADER_HOLD,
        HEADER_MOVED_FROM,
        HEADER_PIN,
        HEADER_RANK,
        HEADER_SAVE,
        HEADER_WORKSPACE,
    )
)
"""Headers of callers' requests that are not forwarded to upstreams: the caller's key,
and headers that only this system may send to upstreams."""

BEARER_PREFIX: Final = "Bearer "
NO_ADDRESS: Final = "-"
MILLISECONDS_PER_S: Final = 1000.0
STATE_READY: Final = "ready"
STATE_DRAINING: Final = "draining"
KIND_STREAMING: Final = "streaming"
KIND_IDEMPOTENT: Final = "idempotent"
KIND_NON_IDEMPOTENT: Final = "non_idempotent"
