"""Whether a table's rows may be those of an older copy of the store."""

import asyncio

import structlog

from banyanswitch.components.table_mirror.const import REWRITE_S
from banyanswitch.components.table_mirror.mirror import TableMirror
from banyanswitch.core import callback

LOGGER = structlog.get_logger(__name__)


class ReturnWatch:
    """Tell whether an instance that has just started may have read outdated rows.

    A store that returns from an older copy lacks what was written last. Its operators
    write it again within `REWRITE_S`, and instances that were running know it. One that
    starts meanwhile can't see that the store has just returned, so until then it takes
    its rows for outdated, unless a running instance has confirmed the store's era.

    Parameters
    ----------
    mirror : TableMirror
        Copy of the table.
    """

    def __init__(self, mirror: TableMirror) -> None:
        self._mirror = mirror
        self._is_current = False

    @callback
    def confirm(self) -> None:
        """Record that the store returned at least `REWRITE_S` ago, or never."""
        self._is_current = True

    @callback
    def is_current(self) -> bool:
        """Return whether the copy has all that operators have written."""
        if self._is_current:
            return True
        began_at_s = self._mirror.first_era_at_s
        # Without any content or era there is nothing that could be outdated.
        if began_at_s is None:
            return True
        self._is_current = (
            self._mirror.has_seen_return
            or asyncio.get_running_loop().time() >= began_at_s + REWRITE_S
        )
        return self._is_current
