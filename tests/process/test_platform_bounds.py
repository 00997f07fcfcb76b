"""Platform restrictions on a running entry.

An entry may have no io_uring descriptors, child processes, writable shared mappings,
files in ``/dev/shm``, or files open for writing other than its log.
"""

import os
from pathlib import Path

import pytest
from bench.callers import Caller, completion_body
from bench.fleet import MODEL, PLAIN, Fleet
from bench.processes import ChildProcess

pytestmark = pytest.mark.process

WRITE_FLAGS = os.O_WRONLY | os.O_RDWR


def descriptors(pid: int) -> dict[str, str]:
    links: dict[str, str] = {}
    for link in Path(f"/proc/{pid}/fd").iterdir():
        try:
            links[link.name] = os.readlink(link)
        except FileNotFoundError:
            continue
    return links


def open_flags(pid: int, descriptor: str) -> int:
    lines = Path(f"/proc/{pid}/fdinfo/{descriptor}").read_text().splitlines()
    flags = next(line for line in lines if line.startswith("flags:"))
    return int(flags.split()[1], 8)


async def test_entry_respects_platform_restrictions(
    fleet: Fleet, caller: Caller
) -> None:
    for entry in fleet.entries:
        body = completion_body(MODEL, "prompt", 5)
        (await caller.async_stream(entry.url, body)).check(5)
        await caller.async_call(entry.url, f"{PLAIN}/buy", b"1", "key")
    for entry in fleet.entries:
        check_restrictions(entry)


def check_restrictions(entry: ChildProcess) -> None:
    pid = entry.process.pid
    links = descriptors(pid)
    assert not [link for link in links.values() if "io_uring" in link]
    children = [
        task.joinpath("children").read_text()
        for task in Path(f"/proc/{pid}/task").iterdir()
    ]
    assert "".join(children).strip() == ""
    maps = Path(f"/proc/{pid}/maps").read_text().splitlines()
    assert not [line for line in maps if line.split()[1].startswith("rw-s")]
    assert not [link for link in links.values() if link.startswith("/dev/shm")]
    writable_files = [
        link
        for number, link in links.items()
        if Path(link).is_file()
        and open_flags(pid, number) & WRITE_FLAGS
        and link != str(entry.log_path)
    ]
    assert writable_files == []
