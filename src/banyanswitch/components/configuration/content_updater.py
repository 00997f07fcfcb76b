"""Verification and activation of new content on this instance."""

from collections import OrderedDict

import structlog

from banyanswitch.components.configuration.const import MAX_KNOWN_DIGESTS
from banyanswitch.components.configuration.delta_log import DeltaLog
from banyanswitch.components.configuration.errors import ContentError
from banyanswitch.components.configuration.models import Delta
from banyanswitch.components.configuration.repository import Content
from banyanswitch.components.configuration.view import ActiveConfiguration
from banyanswitch.core import MessageBus, callback
from banyanswitch.interfaces import ConfigurationChanged

LOGGER = structlog.get_logger(__name__)


class ContentUpdater:
    """Activate later revisions whose content matches the digest of the revision.

    Parameters
    ----------
    active : ActiveConfiguration
        Configuration that is replaced.
    bus : MessageBus
        Receives ``ConfigurationChanged``.
    """

    def __init__(self, active: ActiveConfiguration, bus: MessageBus) -> None:
        self._active = active
        self._bus = bus
        self._log = DeltaLog()
        self._digests: OrderedDict[int, bytes] = OrderedDict()

    @property
    def content(self) -> Content:
        """Active content."""
        return Content(self._active.revision, self._active.records)

    @callback
    def deltas_after(self, revision: int, digest: bytes) -> tuple[Delta, ...]:
        """Return the deltas that follow a content; see `DeltaLog.after`."""
        return self._log.after(revision, digest)

    @callback
    def record_digest(self, revision: int, digest: bytes) -> None:
        """Store the digest of a revision as read from the platform."""
        self._digests[revision] = digest
        self._trim_digests()

    @callback
    def is_consistent(self, revision: int, digest: bytes) -> bool:
        """Return whether a digest matches the known digest of its revision.

        The first digest received for a revision is stored as the known one.
        """
        if revision == self._active.revision:
            expected = self._active.records.digest
        else:
            expected = self._digests.setdefault(revision, digest)
            self._trim_digests()
        if expected != digest:
            LOGGER.error("configuration_digest_differs", revision=revision)
        return expected == digest

    @callback
    def apply_deltas(self, deltas: tuple[Delta, ...]) -> bool:
        """Activate consecutive deltas; return whether the revision changed.

        Deltas up to the active revision are skipped. The first delta that does not
        apply to the content ends the sequence.
        """
        content = self.content
        applied: list[Delta] = []
        for delta in deltas:
            if delta.revision <= content.revision:
                continue
            updated = content.with_delta(delta)
            if updated is None or not self.is_consistent(delta.revision, delta.digest):
                LOGGER.warning("configuration_delta_refused", revision=delta.revision)
                break
            content = updated
            applied.append(delta)
        if not self._replace(content):
            return False
        for delta in applied:
            self._log.append(delta)
        return True

    @callback
    def apply_content(self, content: Content) -> bool:
        """Activate a complete content; return whether the revision changed."""
        if not self.is_consistent(content.revision, content.records.digest):
            return False
        if not self._replace(content):
            return False
        self._log.clear()
        return True

    def _replace(self, content: Content) -> bool:
        try:
            is_replaced = self._active.replace(content.revision, content.records)
        except ContentError as error:
            LOGGER.error(
                "configuration_not_usable",
                revision=content.revision,
                reason=str(error),
            )
            return False
        if not is_replaced:
            return False
        LOGGER.info("configuration_in_force", revision=content.revision)
        self._bus.publish(ConfigurationChanged(content.revision))
        return True

    def _trim_digests(self) -> None:
        while len(self._digests) > MAX_KNOWN_DIGESTS:
            self._digests.popitem(last=False)
