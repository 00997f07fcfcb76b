"""Request headers of callers and response headers of upstreams."""

from collections.abc import Mapping, Sequence

from banyanswitch.components.forwarding.const import MAX_REQUESTS, MAX_TOKENS
from banyanswitch.components.forwarding.models import (
    PromptPart,
    RequestMetadata,
    ResponseMetadata,
    UpstreamRequestPlan,
)
from banyanswitch.components.http1.models import (
    Header,
    Headers,
    Request,
    ResponseHead,
    encode_head,
    end_to_end_headers,
)
from banyanswitch.decisions.upstream_notices import ResponseNotice
from banyanswitch.platform.const import (
    BEARER_PREFIX,
    HEADER_ATTEMPT,
    HEADER_AUTHORIZATION,
    HEADER_CACHE_SALT,
    HEADER_DEADLINE,
    HEADER_EXPECTED_UPSTREAM,
    HEADER_EXPECTED_WEIGHTS,
    HEADER_FETCH,
    HEADER_FETCH_UNTIL,
    HEADER_LAST_EVENT,
    HEADER_LEAVING,
    HEADER_LIMIT,
    HEADER_LOAD,
    HEADER_MODEL,
    HEADER_NOT_RUN,
    HEADER_PROMPT_PARTS,
    HEADER_RANK,
    HEADER_RESUMES,
    HEADER_RETRY_AFTER,
    HEADER_SAVE,
    HEADER_SIGNATURE,
    HEADER_TOKENS,
    HEADER_UPSTREAM,
    HEADER_WEIGHTS,
    HEADER_WORKSPACE,
    LEAVING,
    MILLISECONDS_PER_S,
    NO_ADDRESS,
    SYSTEM_HEADERS,
)

STATUS_MISDIRECTED = 421
LOAD_FIELDS = 3
USUAL_SLOWNESS_PERCENT = 100.0
TOKEN_FIELDS = 2
MAX_INTEGER = 2**53 - 1
MAX_DIGITS = 18


class HeaderTranslator:
    """Implementation of ``RequestTranslator`` for the platform's headers."""

    def read_request_metadata(self, request: Request) -> RequestMetadata:
        """Parse the headers of a caller's request."""
        values = _values_by_name(request.headers)
        host = _header_text(values, b"host") or ""
        prompt_tokens, output_tokens = _parse_token_counts(
            _header_text(values, HEADER_TOKENS)
        )
        return RequestMetadata(
            attempt=values.get(HEADER_ATTEMPT.lower(), b""),
            host=host.rsplit(":", 1)[0].lower() if ":" in host else host.lower(),
            key=_parse_bearer_key(_header_text(values, HEADER_AUTHORIZATION)),
            time_left_s=_parse_milliseconds(_header_text(values, HEADER_DEADLINE)),
            model=_header_text(values, HEADER_MODEL),
            parts=_parse_parts(_header_text(values, HEADER_PROMPT_PARTS)),
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            last_event=values.get(HEADER_LAST_EVENT.lower()),
            resumes=values.get(HEADER_RESUMES.lower()),
        )

    def upstream_request(self, request: Request, plan: UpstreamRequestPlan) -> bytes:
        """Encode the request to send to the upstream of ``plan``."""
        dropped = SYSTEM_HEADERS | {b"content-length", b"expect"}
        if plan.resume_after is not None:
            dropped = dropped | {HEADER_LAST_EVENT.lower()}
        headers = [
            header
            for header in end_to_end_headers(request.headers)
            if header[0].lower() not in dropped
        ]
        return _encode_request(request, headers + _plan_headers(plan))

    def peer_request(
        self,
        request: Request,
        *,
        time_left_s: float,
        resume_after: bytes | None,
        more_headers: Sequence[Header],
    ) -> bytes:
        """Encode the request to pass on to another instance."""
        dropped = {HEADER_DEADLINE.lower(), b"content-length", b"expect"}
        left_ms = max(1, int(time_left_s * MILLISECONDS_PER_S))
        headers = [(HEADER_DEADLINE, b"%d" % left_ms), *more_headers]
        if resume_after is not None:
            dropped |= {HEADER_LAST_EVENT.lower(), HEADER_RESUMES.lower()}
            values = _values_by_name(request.headers)
            begun_by = values.get(HEADER_RESUMES.lower())
            begun_by = begun_by or values.get(HEADER_ATTEMPT.lower(), b"")
            headers += [(HEADER_LAST_EVENT, resume_after), (HEADER_RESUMES, begun_by)]
        headers += [
            header
            for header in end_to_end_headers(request.headers)
            if header[0].lower() not in dropped
        ]
        return _encode_request(request, headers)

    def read_response_metadata(self, head: ResponseHead) -> ResponseMetadata:
        """Parse the headers of an upstream's response."""
        values = _values_by_name(head.headers)
        retry_after = _header_text(values, HEADER_RETRY_AFTER)
        load, slowness = _parse_load(_header_text(values, HEADER_LOAD))
        return ResponseMetadata(
            attempt=values.get(HEADER_ATTEMPT.lower()),
            is_signed=HEADER_SIGNATURE.lower() in values,
            is_not_run=HEADER_NOT_RUN.lower() in values
            or head.status == STATUS_MISDIRECTED,
            is_misdirected=head.status == STATUS_MISDIRECTED,
            answered_by=_header_text(values, HEADER_UPSTREAM),
            load=load,
            limit_per_s=_parse_number(_header_text(values, HEADER_LIMIT)),
            weight_version=_parse_integer(_header_text(values, HEADER_WEIGHTS)),
            retry_after_s=_parse_number(retry_after),
            is_leaving=_header_text(values, HEADER_LEAVING) == LEAVING,
            slowness=slowness,
        )

    def read_notice(self, status: int, headers: Headers) -> ResponseNotice:
        """Parse what a response without a request's headers says of its upstream."""
        values = _values_by_name(headers)
        return ResponseNotice(
            status=status,
            retry_after_s=_parse_number(_header_text(values, HEADER_RETRY_AFTER)),
            is_leaving=_header_text(values, HEADER_LEAVING) == LEAVING,
        )

    def caller_headers(self, head: ResponseHead) -> Headers:
        """Return the headers of an upstream's response to pass to the caller."""
        return tuple(
            header
            for header in end_to_end_headers(head.headers)
            if header[0].lower() != b"content-length"
        )

    def generated_headers(
        self, metadata: RequestMetadata | None, retry_after_s: float | None
    ) -> list[Header]:
        """Return the headers of a response that this system generates."""
        headers: list[Header] = []
        if metadata is not None and metadata.attempt:
            headers.append((HEADER_ATTEMPT, metadata.attempt))
        if retry_after_s is not None:
            headers.append((HEADER_RETRY_AFTER, b"%.3f" % retry_after_s))
        return headers


def _encode_request(request: Request, headers: list[Header]) -> bytes:
    if request.body or _has_body_header(request.headers):
        headers = [*headers, (b"Content-Length", b"%d" % len(request.body))]
    first_line = b"%b %b HTTP/1.1" % (request.method, request.target)
    return encode_head(first_line, headers) + request.body


def _plan_headers(plan: UpstreamRequestPlan) -> list[Header]:
    left_ms = max(1, int(plan.time_left_s * MILLISECONDS_PER_S))
    headers = [
        (HEADER_DEADLINE, b"%d" % left_ms),
        (HEADER_EXPECTED_UPSTREAM, plan.upstream.encode()),
    ]
    if plan.workspace is not None:
        headers.append((HEADER_WORKSPACE, plan.workspace.encode()))
    if plan.rank is not None:
        headers.append((HEADER_RANK, b"%d" % plan.rank))
    if plan.cache_salt is not None:
        headers.append((HEADER_CACHE_SALT, plan.cache_salt.encode()))
    if plan.expected_weights is not None:
        headers.append((HEADER_EXPECTED_WEIGHTS, b"%d" % plan.expected_weights))
    if any(plan.fetches):
        headers.append((HEADER_FETCH, _encode_addresses(plan.fetches)))
    if any(plan.saves):
        headers.append((HEADER_SAVE, _encode_addresses(plan.saves)))
    if plan.fetch_until_ms is not None and any(plan.fetches):
        headers.append((HEADER_FETCH_UNTIL, b"%d" % plan.fetch_until_ms))
    if plan.resume_after is not None:
        headers.append((HEADER_LAST_EVENT, plan.resume_after))
    return headers


def _encode_addresses(addresses: tuple[str, ...]) -> bytes:
    return ",".join(address or NO_ADDRESS for address in addresses).encode()


def _has_body_header(headers: Headers) -> bool:
    names = {key.lower() for key, _ in headers}
    return b"content-length" in names or b"transfer-encoding" in names


def _values_by_name(headers: Headers) -> Mapping[bytes, bytes]:
    values: dict[bytes, bytes] = {}
    for key, value in headers:
        values.setdefault(key.lower(), value.strip())
    return values


def _header_text(values: Mapping[bytes, bytes], name: bytes) -> str | None:
    value = values.get(name.lower())
    return value.decode("latin-1") if value is not None else None


def _parse_bearer_key(value: str | None) -> str | None:
    if value is None or not value.startswith(BEARER_PREFIX):
        return None
    return value[len(BEARER_PREFIX) :].strip()


def _parse_number(value: str | None) -> float | None:
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0.0 <= number < float("inf") else None


def _parse_integer(value: str | None, max_value: int = MAX_INTEGER) -> int | None:
    """Return a number of decimal digits, at most ``max_value``."""
    if value is None or not value.isascii() or not value.isdigit():
        return None
    digits = value.lstrip("0") or "0"
    return max_value if len(digits) > MAX_DIGITS else min(int(digits), max_value)


def _parse_milliseconds(milliseconds: str | None) -> float | None:
    number = _parse_number(milliseconds)
    return None if number is None else number / MILLISECONDS_PER_S


def _parse_token_counts(value: str | None) -> tuple[int, int]:
    texts = [part.strip() for part in (value or "").split(",")]
    numbers = [_parse_integer(text, MAX_TOKENS) for text in texts]
    if len(numbers) != TOKEN_FIELDS or None in numbers:
        return 0, 0
    return numbers[0] or 0, numbers[1] or 0


def _parse_parts(value: str | None) -> tuple[PromptPart, ...]:
    parts = []
    for item in (value or "").split(","):
        name, _, tokens = item.strip().partition(":")
        count = _parse_integer(tokens, MAX_TOKENS)
        if not name or count is None:
            return ()
        parts.append(PromptPart(name, count))
    return tuple(parts)


def _parse_load(
    value: str | None,
) -> tuple[tuple[int, int, int] | None, float | None]:
    """Return the load and, if the upstream reports it, its slowness.

    An unreadable fourth figure doesn't invalidate the others, and figures after the
    fourth are ignored.
    """
    figures = [part.strip() for part in (value or "").split(",")]
    if len(figures) < LOAD_FIELDS:
        return None, None
    running, waiting, slots = (
        _parse_integer(figure, MAX_REQUESTS) for figure in figures[:LOAD_FIELDS]
    )
    if running is None or waiting is None or slots is None:
        return None, None
    percent = (
        _parse_number(figures[LOAD_FIELDS]) if len(figures) > LOAD_FIELDS else None
    )
    slowness = percent / USUAL_SLOWNESS_PERCENT if percent else None
    return (running, waiting, slots), slowness
