"""Content in force on this instance, and what may replace it."""

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


class ContentKeeper:
    """Put later revisions in force, each only with its own digest.

    Parameters
    ----------
    held : ActiveConfiguration
        Content in force.
    bus : MessageBus
        Gets ``ConfigurationChanged``.
    """

    def __init__(self, held: ActiveConfiguration, bus: MessageBus) -> None:
        self._held = held
        self._bus = bus
        self._log = DeltaLog()
        self._digests: OrderedDict[int, bytes] = OrderedDict()

    @property
    def content(self) -> Content:
        """Content in force."""
        return Content(self._held.revision, self._held.records)

    @callback
    def deltas_after(self, revision: int, digest: bytes) -> tuple[Delta, ...]:
        """Return deltas for an instance with this content; empty if it is too old."""
        return self._log.after(revision, digest)

    @callback
    def learn_digest(self, revision: int, digest: bytes) -> None:
        """Note the digest that the platform names for a revision."""
        self._digests[revision] = digest
        self._trim_digests()

    @callback
    def is_consistent(self, revision: int, digest: bytes) -> bool:
        """Return whether a digest agrees with what was heard of its revision.

        The first digest that is heard of a revision is remembered.
        """
        if revision == self._held.revision:
            expected = self._held.records.digest
        else:
            expected = self._digests.setdefault(revision, digest)
            self._trim_digests()
        if expected != digest:
            LOGGER.error("configuration_digest_differs", revision=revision)
        return expected == digest

    @callback
    def take_deltas(self, deltas: tuple[Delta, ...]) -> bool:
        """Put the deltas that follow in force; return whether there were any."""
        content = self.content
        applied: list[Delta] = []
        for delta in deltas:
            if delta.revision <= content.revision:
                continue
            following = content.after(delta)
            if following is None or not self.is_consistent(
                delta.revision, delta.digest
            ):
                LOGGER.warning("configuration_delta_refused", revision=delta.revision)
                break
            content = following
            applied.append(delta)
        if not self._replace(content):
            return False
        for delta in applied:
            self._log.append(delta)
        return True

    @callback
    def take_content(self, content: Content) -> bool:
        """Put a whole content in force; return whether it is a later one."""
        if not self.is_consistent(content.revision, content.records.digest):
            return False
        if not self._replace(content):
            return False
        self._log.clear()
        return True

    def _replace(self, content: Content) -> bool:
        try:
            is_replaced = self._held.replace(content.revision, content.records)
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
