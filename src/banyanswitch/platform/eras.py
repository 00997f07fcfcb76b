"""Era of the platform's store, from the headers of its responses."""

import structlog

from banyanswitch.components.http1.client import HttpResponse
from banyanswitch.components.http1.models import header_value
from banyanswitch.helpers.store_version import MAX_ERA
from banyanswitch.platform.const import HEADER_STORE_ERA

LOGGER = structlog.get_logger(__name__)


class StoreEras:
    """Highest era of the store's responses so far; 0 before the first one.

    Attributes
    ----------
    current : int
        The era.
    """

    def __init__(self) -> None:
        self.current = 0
        self._unconfirmed = 0
        self._reported_value: bytes | None = b""

    def note(self, response: HttpResponse) -> int | None:
        """Return the era of a response, or ``None`` if the response can't be used.

        A missing or invalid value counts as the current era. A response of an earlier
        era can't be used, nor the first one whose era skips some: a wrong value would
        make all later responses those of an earlier era.
        """
        value = header_value(response.headers, HEADER_STORE_ERA.lower())
        era = _parse_era(value)
        if era is None:
            if self.current:
                self._report("store_era_unreadable", value)
            return self.current
        if era < self.current:
            self._report("store_era_outdated", value)
            return None
        if self.current and era > self.current + 1 and era != self._unconfirmed:
            self._report("store_era_skipped", value)
            self._unconfirmed = era
            return None
        self._unconfirmed = 0
        if era > self.current:
            LOGGER.info("store_era", era=era, replaced=self.current or None)
            self.current = era
        return era

    def _report(self, event: str, value: bytes | None) -> None:
        """Log an unexpected value, once for values in a row that are the same."""
        if value == self._reported_value:
            return
        self._reported_value = value
        text = None if value is None else value[:40].decode("latin-1")
        LOGGER.warning(event, value=text, era=self.current)


def _parse_era(value: bytes | None) -> int | None:
    if value is None or not value.isdigit() or len(value) > len(str(MAX_ERA)):
        return None
    era = int(value)
    return era if 0 < era <= MAX_ERA else None
