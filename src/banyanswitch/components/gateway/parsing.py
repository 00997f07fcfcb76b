"""Authentication and validation of callers' requests before execution."""

import asyncio

import msgspec
from aiohttp import web

from banyanswitch.components.admission.const import MAX_WAIT_S
from banyanswitch.components.gateway.const import (
    BEARER_PREFIX,
    MAX_IDEMPOTENCY_KEY_CHARACTERS,
    MAX_OUTPUT_TOKENS,
)
from banyanswitch.components.gateway.models import CompletionBody, PromptMessage
from banyanswitch.components.routing.calls import ModelCall, PlainCall, ResumeCall
from banyanswitch.config.models import Priority, Service, ServiceKind, Workspace
from banyanswitch.const import (
    BYTES_PER_TOKEN,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_LAST_EVENT_ID,
    HEADER_PRIORITY,
)
from banyanswitch.exceptions import Finding, RefusalError
from banyanswitch.helpers.digests import key_digest
from banyanswitch.helpers.run_identity import ResumeTokenError, RunIdentityCodec
from banyanswitch.identifiers import ServiceName
from banyanswitch.interfaces import ConfigurationView

BODY_DECODER = msgspec.json.Decoder(CompletionBody)
MESSAGE_DECODER = msgspec.json.Decoder(PromptMessage)


class RequestParser:
    """Convert HTTP requests to validated calls.

    Parameters
    ----------
    configuration : ConfigurationView
        Active configuration.
    identities : RunIdentityCodec
        Verifies resume tokens.
    """

    def __init__(
        self, configuration: ConfigurationView, identities: RunIdentityCodec
    ) -> None:
        self._configuration = configuration
        self._identities = identities

    def authenticate(self, request: web.Request) -> Workspace:
        """Return the workspace that the bearer key of the request belongs to.

        Raises
        ------
        RefusalError
            If the key is missing or unknown, or no configuration is loaded yet.
        """
        if self._configuration.revision == 0:
            raise RefusalError(
                "not_ready",
                "this instance has no configuration yet",
                status=503,
                retry_after_s=1.0,
            )
        authorization = request.headers.get("Authorization", "")
        if not authorization.startswith(BEARER_PREFIX):
            raise _unauthenticated("a bearer key is required")
        digest = key_digest(authorization.removeprefix(BEARER_PREFIX).strip())
        workspace = self._configuration.workspace_by_key_digest(digest)
        if workspace is None:
            raise _unauthenticated("the bearer key is not known")
        return workspace

    async def async_model_call(self, request: web.Request) -> ModelCall:
        """Parse and validate a completion request.

        Raises
        ------
        RefusalError
            If authentication or validation fails.
        """
        workspace = self.authenticate(request)
        body = await _async_body(request)
        completion = _decode_completion(body)
        service = self._service(completion.model, ServiceKind.MODEL, "model")
        prompt = _prompt_bytes(completion)
        prompt_tokens = max(1, len(prompt) // BYTES_PER_TOKEN)
        max_tokens = _checked_max_tokens(completion)
        default_priority = Priority.INTERACTIVE
        if prompt_tokens > service.piece_tokens:
            default_priority = Priority.BATCH
        priority = _priority(request, workspace, default_priority)
        if prompt_tokens > service.max_prompt_tokens:
            finding = Finding(
                "messages",
                f"about {prompt_tokens} tokens, more than {service.max_prompt_tokens}",
            )
            raise RefusalError(
                "prompt_too_long",
                str(finding),
                status=413,
                findings=[finding],
            )
        return ModelCall(
            workspace=workspace,
            service=service,
            path=request.path,
            body=body,
            prompt=prompt,
            prompt_tokens=prompt_tokens,
            max_tokens=max_tokens,
            is_stream=completion.stream,
            priority=priority,
            latest_start_s=_latest_start_s(priority),
        )

    def resume_call(self, request: web.Request) -> ResumeCall:
        """Parse and validate a request to resume a stream.

        Raises
        ------
        RefusalError
            If authentication fails, or the resume token is forged, malformed or
            of another workspace.
        """
        workspace = self.authenticate(request)
        event_id = request.headers.get(HEADER_LAST_EVENT_ID, "")
        try:
            position = self._identities.parse_event_id(event_id)
        except ResumeTokenError as error:
            raise _bad_resume_token(str(error)) from error
        if position.identity.workspace != workspace.name:
            raise _bad_resume_token("the stream is not of this workspace")
        return ResumeCall(workspace, position)

    async def async_plain_call(self, request: web.Request) -> PlainCall:
        """Parse and validate a request for a plain service.

        Raises
        ------
        RefusalError
            If authentication or validation fails.
        """
        workspace = self.authenticate(request)
        service = self._service(
            request.match_info["service"], ServiceKind.PLAIN, "path"
        )
        idempotency_key = request.headers.get(HEADER_IDEMPOTENCY_KEY)
        if idempotency_key is not None:
            _check_idempotency_key(idempotency_key)
        priority = _priority(request, workspace, Priority.INTERACTIVE)
        path = "/" + request.match_info["path"]
        if request.query_string:
            path = f"{path}?{request.query_string}"
        return PlainCall(
            workspace=workspace,
            service=service,
            method=request.method,
            path=path,
            content_type=request.headers.get(
                "Content-Type", "application/octet-stream"
            ),
            body=await _async_body(request),
            idempotency_key=idempotency_key,
            priority=priority,
            latest_start_s=_latest_start_s(priority),
        )

    def _service(self, name: str, kind: ServiceKind, place: str) -> Service:
        service = self._configuration.service(ServiceName(name))
        if service is None or service.kind is not kind:
            finding = Finding(place, f"there is no {kind.value} service {name!r}")
            raise RefusalError(
                "unknown_service", str(finding), status=404, findings=[finding]
            )
        return service


async def _async_body(request: web.Request) -> bytes:
    try:
        return await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        raise RefusalError(
            "body_too_large", "the request body is too large", status=413
        ) from error


def _decode_completion(body: bytes) -> CompletionBody:
    try:
        return BODY_DECODER.decode(body)
    except msgspec.ValidationError as error:
        raise _invalid_body(str(error)) from error
    except msgspec.DecodeError as error:
        raise RefusalError(
            "not_json", f"the body is not JSON: {error}", status=400
        ) from error


def _prompt_bytes(completion: CompletionBody) -> bytes:
    if completion.messages:
        return b"\x1e".join(_message_bytes(raw) for raw in completion.messages)
    if completion.prompt is not None:
        return bytes(completion.prompt)
    raise _invalid_body("messages or prompt is required")


def _message_bytes(raw: msgspec.Raw) -> bytes:
    try:
        message = MESSAGE_DECODER.decode(raw)
    except msgspec.DecodeError as error:
        raise _invalid_body(f"messages: {error}") from error
    content = message.content
    text = content.encode() if isinstance(content, str) else bytes(raw)
    return message.role.encode() + b"\x1f" + text


def _checked_max_tokens(completion: CompletionBody) -> int:
    max_tokens = completion.max_tokens
    if max_tokens is None:
        return MAX_OUTPUT_TOKENS
    if 1 <= max_tokens <= MAX_OUTPUT_TOKENS:
        return max_tokens
    raise _invalid_body(f"max_tokens: must be from 1 to {MAX_OUTPUT_TOKENS}")


def _priority(
    request: web.Request, workspace: Workspace, default_priority: Priority
) -> Priority:
    """Return the requested priority, limited to that of the workspace.

    Parameters
    ----------
    default_priority : Priority
        Priority of a request without a priority header.
    """
    requested = request.headers.get(HEADER_PRIORITY, default_priority.value)
    try:
        priority = Priority(requested)
    except ValueError as error:
        names = " or ".join(item.value for item in Priority)
        raise RefusalError(
            "invalid_priority",
            f"must be {names}",
            status=400,
            findings=[Finding(HEADER_PRIORITY, f"must be {names}")],
        ) from error
    if workspace.priority is Priority.BATCH:
        return Priority.BATCH
    return priority


def _latest_start_s(priority: Priority) -> float:
    return asyncio.get_running_loop().time() + MAX_WAIT_S[priority]


def _check_idempotency_key(key: str) -> None:
    if 0 < len(key) <= MAX_IDEMPOTENCY_KEY_CHARACTERS and key.isprintable():
        return
    raise RefusalError(
        "invalid_idempotency_key",
        f"must have 1 to {MAX_IDEMPOTENCY_KEY_CHARACTERS} printable characters",
        status=400,
        findings=[Finding(HEADER_IDEMPOTENCY_KEY, "length or characters")],
    )


def _invalid_body(reason: str) -> RefusalError:
    return RefusalError(
        "invalid_request", reason, status=400, findings=[Finding("body", reason)]
    )


def _unauthenticated(reason: str) -> RefusalError:
    return RefusalError(
        "unauthenticated",
        reason,
        status=401,
        findings=[Finding("Authorization", reason)],
    )


def _bad_resume_token(reason: str) -> RefusalError:
    return RefusalError(
        "invalid_resume_token",
        reason,
        status=400,
        findings=[Finding(HEADER_LAST_EVENT_ID, reason)],
    )
