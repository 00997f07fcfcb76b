"""Command line of ``banyanswitch-audit``: read the audit trail.

Exit statuses: 0 done; 1 there is no such record; 2 wrong usage; 5 the platform
can't be used.
"""

import asyncio
import sys
from datetime import UTC, datetime
from typing import Final, TypeVar

from banyanswitch.cli.config_output import EXIT_UNAVAILABLE, iso_time, print_json
from banyanswitch.cli.platform_access import (
    EXIT_USAGE,
    Command,
    Platform,
    async_run_command,
    fail,
    platform_urls,
    run_commands,
)
from banyanswitch.components.audit.models import AuditKind
from banyanswitch.components.audit.reader import (
    AuditQuery,
    FoundRecord,
    async_list,
    async_show,
)
from banyanswitch.exceptions import PlatformError
from banyanswitch.helpers.wall_clock import SystemWallClock

T = TypeVar("T")

EXIT_NOT_FOUND: Final = 1
SECONDS_PER_HOUR: Final = 3600.0


class AuditCommands:
    """Read the audit trail of changes.

    Exit statuses: 0 done; 1 there is no such record; 2 wrong usage; 5 the platform
    can't be used.

    Parameters
    ----------
    table_url : str
        URL of the table service; default BANYANSWITCH_TABLE_URL.
    """

    def __init__(self, table_url: str = "") -> None:
        self._table_url = table_url

    def list(
        self,
        *,
        since: str = "",
        until: str = "",
        kind: str = "",
        actor: str = "",
        limit: int = 100,
        json: bool = False,
    ) -> None:
        """Print records in chronological order.

        Parameters
        ----------
        since : str
            Earliest time in ISO 8601, UTC unless it has a zone; default 24 hours ago.
        until : str
            Latest time in ISO 8601, UTC unless it has a zone; default now.
        kind : str
            ``configuration``, ``weight_order`` or ``lease``; default all.
        actor : str
            Operator or instance; default all.
        limit : int
            Maximum number of records; the earliest ones are printed.
        json : bool
            Print them as JSON.
        """
        now_unix_s = SystemWallClock().now_unix_s()
        query = AuditQuery(
            since_unix_s=_parse_time(since, now_unix_s - 24 * SECONDS_PER_HOUR),
            until_unix_s=_parse_time(until, now_unix_s),
            kind=_parse_kind(kind),
            actor=str(actor) or None,
            limit=limit,
        )

        async def async_command(platform: Platform) -> tuple[FoundRecord, ...]:
            return await async_list(platform.table, query)

        found = self._run(async_command)
        if json:
            print_json(found)
            return
        for found_record in found:
            print(_list_line(found_record))

    def show(self, reference: str, json: bool = False) -> None:
        """Print one record.

        Parameters
        ----------
        reference : str
            Last column in the output of ``list``.
        json : bool
            Print it as JSON.
        """

        async def async_command(platform: Platform) -> FoundRecord | None:
            return await async_show(platform.table, str(reference))

        found = self._run(async_command)
        if found is None:
            fail(f"there is no record {reference}", EXIT_NOT_FOUND)
        if json:
            print_json(found)
            return
        record = found.record
        print(f"reference  {found.reference}")
        print(f"at         {iso_time(record.at_unix_s)}")
        print(f"kind       {record.kind.value}")
        print(f"actor      {record.actor}")
        print(f"subject    {record.subject}")
        print(f"detail     {record.detail}")
        print(f"identity   {record.identity}")

    def _run(self, command: Command[T]) -> T:
        urls = platform_urls(self._table_url, "")
        try:
            return asyncio.run(async_run_command(urls, command))
        except PlatformError as error:
            fail(f"the platform can't be used: {error}", EXIT_UNAVAILABLE)


def _parse_time(text: str, default_unix_s: float) -> float:
    if not text:
        return default_unix_s
    try:
        at = datetime.fromisoformat(str(text))
    except ValueError:
        fail(f"{text} is not a time in ISO 8601", EXIT_USAGE)
    if at.tzinfo is None:
        at = at.replace(tzinfo=UTC)
    return at.timestamp()


def _parse_kind(text: str) -> AuditKind | None:
    if not text:
        return None
    try:
        return AuditKind(text)
    except ValueError:
        kinds = ", ".join(kind.value for kind in AuditKind)
        fail(f"{text} is not a kind of record: {kinds}", EXIT_USAGE)


def _list_line(found: FoundRecord) -> str:
    record = found.record
    return (
        f"{iso_time(record.at_unix_s)}  {record.kind.value:<13}  {record.actor}  "
        f"{record.subject}  {record.detail}  {found.reference}"
    )


def main() -> None:
    """Run the command line."""
    run_commands(AuditCommands, "banyanswitch-audit", sys.argv[1:])


if __name__ == "__main__":
    main()
