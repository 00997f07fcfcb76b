"""Command line of ``banyanswitch-config``: check, apply and show configurations.

Exit statuses: 0 done; 1 the document is wrong; 2 wrong usage; 3 another change was
accepted first; 4 it is unknown whether the change was accepted; 5 the platform
can't be used; 6 the document differs from the active configuration.
"""

import asyncio
import sys
import uuid
from pathlib import Path
from typing import Final, TypeVar

from banyanswitch.cli.config_output import (
    EXIT_CONFLICT,
    EXIT_DIFFERENT,
    EXIT_UNAVAILABLE,
    EXIT_UNKNOWN,
    AcceptanceReport,
    DifferenceReport,
    RevisionReport,
    change_lines,
    conflict_text,
    history_line,
    print_json,
    report_findings,
)
from banyanswitch.cli.platform_access import (
    EXIT_USAGE,
    Command,
    Platform,
    async_run_command,
    fail,
    operator_name,
    platform_urls,
    run_commands,
)
from banyanswitch.components.configuration.acceptance import (
    Acceptance,
    Author,
    ConfigurationAcceptor,
)
from banyanswitch.components.configuration.errors import (
    AcceptanceUnknownError,
    RevisionConflictError,
)
from banyanswitch.components.configuration.models import Delta
from banyanswitch.components.configuration.repository import (
    EMPTY_CONTENT,
    ConfigurationRepository,
    Content,
)
from banyanswitch.config.documents import parse, render
from banyanswitch.config.models import Configuration
from banyanswitch.config.records import difference, from_records, to_records
from banyanswitch.exceptions import ConfigurationError, PlatformError
from banyanswitch.helpers.wall_clock import SystemWallClock

T = TypeVar("T")

STANDARD_INPUT: Final = "-"


class ConfigCommands:
    """Check, compare, apply and show the configuration.

    Exit statuses: 0 done; 1 the document is wrong; 2 wrong usage; 3 another change
    was accepted first; 4 it is unknown whether the change was accepted; 5 the
    platform can't be used; 6 (diff) the document differs from the active
    configuration.

    Parameters
    ----------
    table_url : str
        URL of the table service; default BANYANSWITCH_TABLE_URL.
    object_url : str
        URL of the object store; default BANYANSWITCH_OBJECT_URL, or if that is not set,
        the URL of the table service.
    """

    def __init__(self, table_url: str = "", object_url: str = "") -> None:
        self._table_url = table_url
        self._object_url = object_url

    def check(self, document: str, json: bool = False) -> None:
        """Check a document and print the findings.

        Parameters
        ----------
        document : str
            Path of the JSON document; ``-`` reads standard input.
        json : bool
            Print the findings as JSON.
        """
        _load(document, is_json=json)
        if json:
            print_json(())
            return
        print("valid")

    def diff(self, document: str, json: bool = False) -> None:
        """Print the changes that applying a document would make.

        Exits with status 6 if there are changes.

        Parameters
        ----------
        document : str
            Path of the JSON document; ``-`` reads standard input.
        json : bool
            Print the changes as JSON.
        """
        configuration = _load(document, is_json=json)
        content = self._run(_async_content)
        before = dict(content.records.items())
        changes = difference(before, to_records(configuration))
        report = DifferenceReport(content.revision, change_lines(changes, before))
        if json:
            print_json(report)
        else:
            print(f"revision {report.revision}: {len(changes)} records differ")
            for line in report.changes:
                print(f"{line.change:<7} {line.key}")
        if changes:
            raise SystemExit(EXIT_DIFFERENT)

    def apply(
        self,
        document: str,
        operator: str = "",
        expected_revision: int | None = None,
        json: bool = False,
    ) -> None:
        """Apply a document; either all of its changes are accepted or none.

        Parameters
        ----------
        document : str
            Path of the JSON document; ``-`` reads standard input.
        operator : str
            Name for the audit trail; default BANYANSWITCH_OPERATOR, or if that is not
            set, the login name.
        expected_revision : int, optional
            Revision that the document is based on; any other current revision is a
            conflict.
        json : bool
            Print the result as JSON.
        """
        configuration = _load(document, is_json=json)
        now_unix_s = SystemWallClock().now_unix_s()
        author = Author(operator_name(operator), uuid.uuid4().hex, now_unix_s)

        async def async_apply(platform: Platform) -> Acceptance:
            acceptor = ConfigurationAcceptor(platform.table, platform.objects)
            return await acceptor.async_apply(configuration, author, expected_revision)

        acceptance = self._run(async_apply)
        count = len(acceptance.changes)
        if json:
            print_json(AcceptanceReport(acceptance.revision, count, author.attempt))
            return
        print(f"revision {acceptance.revision} is in force, {count} records changed")

    def show(self, json: bool = False) -> None:
        """Print the active configuration as a document.

        Parameters
        ----------
        json : bool
            Print it together with its revision and digest.
        """
        content = self._run(_async_content)
        configuration = from_records(content.records.items())
        if not json:
            print(render(configuration), end="")
            return
        digest = content.records.digest.hex()
        print_json(RevisionReport(content.revision, digest, configuration))

    def history(self, limit: int = 20, json: bool = False) -> None:
        """Print the accepted revisions, latest first.

        Parameters
        ----------
        limit : int
            Maximum number of revisions to print.
        json : bool
            Print them as JSON.
        """

        async def async_history(platform: Platform) -> tuple[Delta, ...]:
            repository = ConfigurationRepository(platform.table, platform.objects)
            accepted = await repository.async_head()
            if accepted.head is None:
                return ()
            first = max(0, accepted.head.revision - limit)
            return await repository.async_deltas(first, limit)

        lines = [history_line(delta) for delta in reversed(self._run(async_history))]
        if json:
            print_json(lines)
            return
        for line in lines:
            count = f"{line.changed_records} records"
            print(f"{line.revision:>8}  {line.accepted_at}  {line.operator}  {count}")

    def _run(self, command: Command[T]) -> T:
        urls = platform_urls(self._table_url, self._object_url)
        try:
            return asyncio.run(async_run_command(urls, command))
        except RevisionConflictError as error:
            fail(conflict_text(error), EXIT_CONFLICT)
        except AcceptanceUnknownError as error:
            fail(f"{error}; look for it in the history", EXIT_UNKNOWN)
        except PlatformError as error:
            fail(f"the platform can't be used: {error}", EXIT_UNAVAILABLE)


async def _async_content(platform: Platform) -> Content:
    repository = ConfigurationRepository(platform.table, platform.objects)
    accepted = await repository.async_head()
    if accepted.head is None:
        return EMPTY_CONTENT
    return await repository.async_content(accepted.head, EMPTY_CONTENT)


def _load(document: str, *, is_json: bool) -> Configuration:
    try:
        return parse(_read(document))
    except OSError as error:
        fail(f"{document} can't be read: {error.strerror}", EXIT_USAGE)
    except ConfigurationError as error:
        report_findings(error, is_json=is_json)


def _read(document: str) -> bytes:
    if document == STANDARD_INPUT:
        return sys.stdin.buffer.read()
    return Path(document).read_bytes()


def main() -> None:
    """Run the command line."""
    run_commands(ConfigCommands, "banyanswitch-config", sys.argv[1:])


if __name__ == "__main__":
    main()
