"""Run identifiers: signed tokens that identify one run.

They name upstream, service, workspace and weight version. A run identifier is also the
resume token of its stream. Any instance that has the signing key can check it and reach
the upstream, so no session is stored.
"""

import base64
import binascii
from dataclasses import dataclass

import msgspec

from banyanswitch.exceptions import BanyanswitchError
from banyanswitch.helpers.signing import SigningKeys
from banyanswitch.identifiers import (
    RunId,
    ServiceName,
    UpstreamId,
    WeightVersion,
    WorkspaceId,
)

PURPOSE = b"run-identity"
MAC_BYTES = 16
MAX_RUN_ID_CHARACTERS = 512
EVENT_ID_SEPARATOR = ":"


class ResumeTokenError(BanyanswitchError):
    """A resume token is malformed or its signature is wrong."""


@dataclass(frozen=True, slots=True)
class RunIdentity:
    """Content of a run identifier.

    Parameters
    ----------
    nonce : int
        Random number that distinguishes attempts.
    """

    upstream: UpstreamId
    service: ServiceName
    workspace: WorkspaceId
    weight_version: WeightVersion
    nonce: int


@dataclass(frozen=True, slots=True)
class StreamPosition:
    """A run and the offset of the last event that the caller received."""

    run_id: RunId
    identity: RunIdentity
    offset: int


class RunIdentityCodec:
    """Encode and verify run identifiers.

    Parameters
    ----------
    keys : SigningKeys
        Signing keys shared by the instances.
    """

    def __init__(self, keys: SigningKeys) -> None:
        self._keys = keys

    def encode(self, identity: RunIdentity) -> RunId:
        """Return the identifier as URL-safe base64, which is also valid in headers."""
        payload = msgspec.msgpack.encode(_payload_fields(identity))
        mac = self._keys.sign(PURPOSE, payload)[:MAC_BYTES]
        return RunId(base64.urlsafe_b64encode(mac + payload).decode().rstrip("="))

    def decode(self, run_id: str) -> RunIdentity:
        """Verify an identifier and return its content.

        Raises
        ------
        ResumeTokenError
            If the identifier is malformed or its signature is wrong.
        """
        if len(run_id) > MAX_RUN_ID_CHARACTERS:
            raise ResumeTokenError("the token is too long")
        try:
            raw = base64.b64decode(
                run_id + "=" * (-len(run_id) % 4), altchars=b"-_", validate=True
            )
        except (binascii.Error, ValueError) as error:
            raise ResumeTokenError("the token is not base64") from error
        mac = raw[:MAC_BYTES]
        payload = raw[MAC_BYTES:]
        if not self._keys.is_valid_prefix(PURPOSE, payload, mac):
            raise ResumeTokenError("the signature of the token is wrong")
        fields = msgspec.msgpack.decode(payload, type=tuple[str, str, str, str, int])
        return RunIdentity(
            UpstreamId(fields[0]),
            ServiceName(fields[1]),
            WorkspaceId(fields[2]),
            WeightVersion(fields[3]),
            fields[4],
        )

    def parse_event_id(self, event_id: str) -> StreamPosition:
        """Parse ``<run id>:<offset>`` as callers send it in ``Last-Event-ID``.

        Raises
        ------
        ResumeTokenError
            If the token or the offset is invalid.
        """
        run_id, separator, offset = event_id.rpartition(EVENT_ID_SEPARATOR)
        if not separator:
            raise ResumeTokenError("an event id is <run id>:<offset>")
        if not (offset.isascii() and offset.isdigit()):
            raise ResumeTokenError("the offset is not a number")
        identity = self.decode(run_id)
        return StreamPosition(RunId(run_id), identity, int(offset))


def _payload_fields(identity: RunIdentity) -> tuple[str, str, str, str, int]:
    return (
        identity.upstream,
        identity.service,
        identity.workspace,
        identity.weight_version,
        identity.nonce,
    )
