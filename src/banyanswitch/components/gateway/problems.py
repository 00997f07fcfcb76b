"""Problem documents (RFC 9457) for callers."""

import math

import msgspec
from aiohttp import web

from banyanswitch.components.gateway.const import PROBLEM_TYPE_PREFIX
from banyanswitch.const import CONTENT_TYPE_PROBLEM, HEADER_RETRY_AFTER
from banyanswitch.exceptions import RefusalError


class FindingDocument(msgspec.Struct, frozen=True):
    """Location and reason of one error in the request."""

    place: str
    reason: str


class ProblemDocument(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of an error response, or data of the error event of a stream.

    Parameters
    ----------
    run : str
        Whether the request may have run; the value of a `RunOutcome`.
    """

    type: str
    title: str
    status: int
    detail: str
    code: str
    run: str
    retry_after_s: float | None = None
    findings: list[FindingDocument] = []


def problem_document(refusal: RefusalError) -> ProblemDocument:
    """Return the document that describes a refusal."""
    return ProblemDocument(
        type=PROBLEM_TYPE_PREFIX + refusal.code,
        title=refusal.code.replace("_", " "),
        status=refusal.status,
        detail=refusal.detail,
        code=refusal.code,
        run=refusal.outcome.value,
        retry_after_s=refusal.retry_after_s,
        findings=[
            FindingDocument(finding.place, finding.reason)
            for finding in refusal.findings
        ],
    )


def problem_response(refusal: RefusalError) -> web.Response:
    """Return the HTTP response for a refusal."""
    headers: dict[str, str] = {}
    if refusal.retry_after_s is not None:
        headers[HEADER_RETRY_AFTER] = str(max(1, math.ceil(refusal.retry_after_s)))
    return web.Response(
        status=refusal.status,
        body=msgspec.json.encode(problem_document(refusal)),
        content_type=CONTENT_TYPE_PROBLEM,
        headers=headers,
    )
