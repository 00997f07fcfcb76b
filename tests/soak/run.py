"""One seeded soak run: real processes, injected faults, checks of guarantees."""

import asyncio
import contextlib
import itertools
import json
import random
import re
import signal
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
from aiohttp import web

from banyanswitch_standins.users_platform.second_answers import SecondAnswers
from banyanswitch_standins.users_platform.upstream import (
    CrashingRequest,
    PlatformUpstream,
)
from tests.process.platform_fleet import HOSTS, PROMPT, Platform, registry_entry
from tests.soak.proxy import Proxy
from tests.soak.schedule import (
    Action,
    BrokenStream,
    Fault,
    LateOrders,
    Limit,
    LinkFault,
    NewWeights,
    PowerLoss,
    ProcessFault,
    Silence,
    StoreReturn,
    generate_broken_streams,
    generate_faults,
    generate_limits,
    generate_sequences,
    generate_store_returns,
    names_answering_twice,
)

RUN_LENGTH_S = 6.0
WORKERS = 6
CALL_PAUSE_S = 0.02
ENTRY_UPDATE_INTERVAL_S = 0.5
CALL_TIMEOUT_S = 6.0
RESTART_DELAY_S = 0.3
STOP_TIMEOUT_S = 6.0
RECOVERY_TIMEOUT_S = 8.0
ROLLOUT_TIMEOUT_S = 12.0
"""The users' bound on the rollout of weights, in calm."""

NEWEST_WEIGHTS = 3
"""Version after those that a run names, also by `generate_sequences`."""

LAST_LINES = 5
STREAM_EVENTS = 6
FAULTY_PROXIES = 3
"""Proxies with link faults: those of the store, i-1 and i-2. The number is part of what
a seed stands for."""
STREAM_TRIES = 4
CRASHING_PART = "bad"
CRASHING_PAUSE_S = 0.3
CRASH_DOWN_S = 0.6
STABLE_S = 3.0
COUNTED_CRASHES = 5
CRASHING_REQUEST = CrashingRequest("/again/crashing", "ws", b"crashing")
COUNTED_CRASHES_OF_REQUEST = 3
LIMIT_WINDOW_S = 4.0
MAX_LATE_REQUESTS = 3
EVENT = re.compile(rb"id: (\d+)\ndata: event \d+ (v\d) to [^\n]*\n\n")
MAX_ATTEMPTS = 2
SECOND_FAILURE_STATUS = 500
DISCONNECT_ERRORS = (aiohttp.ServerDisconnectedError, aiohttp.ClientOSError)
SIGNALS = {
    Action.KILL: signal.SIGKILL,
    Action.STOP: signal.SIGTERM,
    Action.PAUSE: signal.SIGSTOP,
    Action.HANG_UP: signal.SIGHUP,
}


@dataclass
class Outcome:
    """Results of one run."""

    seed: int
    statuses: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)


@dataclass
class ReadStream:
    """What a caller has of one stream, over all its tries.

    Parameters
    ----------
    request : bytes
        Body of the request, the same in all tries.
    begun_by : str or None
        Attempt that brought the first event.
    tries : int
        Number of tries, from the one that brought the first event.
    is_refused : bool
        Whether the last try was answered with an error.
    """

    request: bytes
    is_complete: bool = False
    is_refused: bool = False
    begun_by: str | None = None
    tries: int = 1
    body: bytes = b""
    attempts: list[str] = field(default_factory=list)
    _source: str = ""

    def headers(self) -> dict[str, str]:
        """Return the headers of the next try."""
        if self.begun_by is None:
            return PROMPT
        last = str(self._events()[-1][0])
        return {**PROMPT, "Last-Event-Id": last, "Resumes": self.begun_by}

    def feed(self, attempt: str, part: bytes) -> None:
        """Add received bytes; the start of an event that broke off is dropped."""
        if self.is_refused:
            return
        if self._source != attempt:
            self._source = attempt
            self.body = self.body[: self.body.rfind(b"\n\n") + 2]
        self.body += part
        if self.begun_by is None and self._events():
            self.begun_by = attempt

    def violations(self) -> list[str]:
        """Return what breaks the order of the events or mixes software versions."""
        events = self._events()
        expected = b"".join(
            b"id: %d\ndata: event %d %b to %b\n\n"
            % (number, number, version.encode(), self.request)
            for number, version in events
        )
        found = []
        if not self.body.startswith(expected) or self.body.count(b"\n\n") > len(events):
            found.append(f"bytes that are no event: {self.body!r}")
        if [number for number, _ in events] != list(range(1, len(events) + 1)):
            found.append(f"events out of order: {self.body!r}")
        if len({version for _, version in events}) > 1:
            found.append(f"events of several software versions: {self.body!r}")
        is_whole = len(events) == STREAM_EVENTS and self.body == expected
        if self.is_complete and not is_whole:
            found.append(f"framed as complete: {self.body!r}")
        return found

    def _events(self) -> list[tuple[int, str]]:
        return [
            (int(number), version.decode())
            for number, version in EVENT.findall(self.body)
        ]


@dataclass
class LimitedUpstream:
    """Upstream that names a limit.

    Parameters
    ----------
    named_at_s : float
        Loop time from which its responses name the limit.
    ended_at_s : float
        Loop time from which they don't.
    """

    upstream: PlatformUpstream
    limit_per_s: float
    named_at_s: float
    ended_at_s: float = float("inf")

    def violations(self) -> list[str]:
        """Return whether more requests arrived than the limit allows."""
        first_s = min(
            (at_s for at_s in self.upstream.arrived_at_s if at_s >= self.named_at_s),
            default=self.named_at_s,
        )
        since_s = first_s + STABLE_S
        arrived = self.upstream.most_arrivals(LIMIT_WINDOW_S, since_s, self.ended_at_s)
        allowed = 1.5 * LIMIT_WINDOW_S * self.limit_per_s + 5
        if arrived <= allowed:
            return []
        return [f"{arrived} requests under a limit of {self.limit_per_s} per second"]


class SoakPlatform(Platform):
    """Platform with a proxy before each stand-in; it can also inject process faults.

    Parameters
    ----------
    seed : int
        With an odd seed, one of the upstreams has another software version, and with
        every other pair of seeds one sends streams without a length. With every fourth
        seed, one part of a prompt crashes all of them, and with every eighth one a
        request without a prompt does. With every seventh, one or two answer some
        requests twice.
    """

    def __init__(self, folder: Path, seed: int) -> None:
        super().__init__(folder)
        self.upstreams["i-3"] = PlatformUpstream("i-3")
        if seed % 2:
            self.upstreams["i-3"].software_version = "v2"
        if seed // 2 % 2:
            self.upstreams["i-2"].is_unframed = True
        self.crashed_at_s: list[float] = []
        self.limited: LimitedUpstream | None = None
        self.has_crashing_part = seed % 4 == 1
        self.has_crashing_request = seed % 8 == 0
        self._replacements = itertools.count(4)
        self.proxies: list[Proxy] = []
        self.is_stopping = False
        self._restarted_pids: set[int] = set()
        for upstream in self.upstreams.values():
            upstream.events = STREAM_EVENTS
            upstream.names_version = True
            upstream.echoes_body = True
            self._let_crash(upstream)
        for name in names_answering_twice(seed, sorted(self.upstreams)):
            self.upstreams[name].second_answers = SecondAnswers(f"{name} {seed}")

    def _name_limit(self, name: str, limit_per_s: float | None) -> None:
        """Let an upstream name a limit, unless it has crashed."""
        upstream = self.upstreams.get(name)
        if upstream is None:
            return
        if limit_per_s is not None:
            now_s = asyncio.get_running_loop().time()
            self.limited = LimitedUpstream(upstream, limit_per_s, now_s)
        elif self.limited is not None:
            self.limited.ended_at_s = asyncio.get_running_loop().time()
        upstream.limit_per_s = limit_per_s

    def _let_crash(self, upstream: PlatformUpstream) -> None:
        if self.has_crashing_part:
            upstream.crashing_part = CRASHING_PART
        if self.has_crashing_request:
            upstream.crashing_request = CRASHING_REQUEST
        upstream.on_crash = lambda: self._on_crash(upstream)

    def _on_crash(self, upstream: PlatformUpstream) -> None:
        if upstream.name not in self.upstreams:
            return
        self.crashed_at_s.append(asyncio.get_running_loop().time())
        replacement = PlatformUpstream(
            f"i-{next(self._replacements)}",
            software_version=upstream.software_version,
            is_unframed=upstream.is_unframed,
            events=STREAM_EVENTS,
            names_version=True,
            echoes_body=True,
            second_answers=upstream.second_answers,
        )
        self._let_crash(replacement)
        self.crash(upstream.name, replacement, CRASH_DOWN_S)

    def crashing_arrivals(self) -> int:
        """Return the number of requests that reached upstreams and may crash them."""
        if self.has_crashing_part:
            return self.arrivals_of(CRASHING_PART)
        return sum(
            (seen.target, seen.body) == (CRASHING_REQUEST.target, CRASHING_REQUEST.body)
            for upstream in self.all_upstreams()
            for seen in upstream.received
        )

    async def async_update_entries(self) -> None:
        """Update each upstream's registry entry when its weight version changes."""
        written_versions: dict[str, int] = {}
        while True:
            await asyncio.sleep(ENTRY_UPDATE_INTERVAL_S)
            for name, upstream in tuple(self.upstreams.items()):
                if written_versions.get(name, 1) == upstream.weight_version:
                    continue
                written_versions[name] = upstream.weight_version
                version = upstream.software_version
                document = json.loads(
                    registry_entry(name, self._addresses[name], version=version)
                )
                document["models"][0]["version"] = upstream.weight_version
                self._entries += 1
                document["sequence"] = self._entries
                content = json.dumps(document).encode()
                await self.store.async_put("servers", name, content)

    def last_log_lines(self, host: str) -> list[str]:
        """Return the last lines that a process has written."""
        return (self.folder / f"{host}.log").read_text().splitlines()[-LAST_LINES:]

    def logged_requests(self) -> set[str]:
        """Return the IDs of the requests in the logs of the processes."""
        found: set[str] = set()
        for host in HOSTS:
            text = (self.folder / f"{host}.log").read_text()
            found.update(re.findall(r'"request":"([^"]*)"', text))
        return found

    async def async_apply(self, fault: Fault) -> None:
        """Apply one fault and wait until it is over."""
        match fault:
            case LinkFault(proxy=number, mode=None):
                self.proxies[number].reset()
            case LinkFault(proxy=number, mode=mode, for_s=for_s):
                self.proxies[number].mode = mode
                await asyncio.sleep(for_s)
                self.proxies[number].mode = type(mode).PASS
            case NewWeights(version=version):
                content = b'{"model": "m", "version": %d}' % version
                await self.store.async_put("op", "version/m", content)
            case BrokenStream(upstream=number, after=after):
                for upstream in tuple(self.upstreams.values())[number : number + 1]:
                    upstream.aborts_after = after
            case Limit(upstream=name, limit_per_s=limit_per_s):
                self._name_limit(name, limit_per_s)
            case StoreReturn(copy_age_s=copy_age_s, down_s=down_s):
                await self.async_run_drill(copy_age_s, down_s)
            case ProcessFault():
                await self._async_signal(fault)
            case _:
                await self._async_apply_sequence(fault)

    async def _async_apply_sequence(self, fault: Fault) -> None:
        """Apply a fault that only harms in a certain order."""
        match fault:
            case PowerLoss():
                await self._async_lose_power(fault)
            case LateOrders(count=count):
                await self._async_carry_out_late(count)
            case Silence():
                for proxy in self.proxies:
                    proxy.silence()

    async def _async_carry_out_late(self, count: int) -> None:
        """Let some upstreams fall back once all have the newest weights."""
        ends_at_s = asyncio.get_running_loop().time() + ROLLOUT_TIMEOUT_S
        while asyncio.get_running_loop().time() < ends_at_s:
            upstreams = list(self.upstreams.values())
            if all(u.weight_version == NEWEST_WEIGHTS for u in upstreams):
                for upstream in upstreams[:count]:
                    upstream.carry_out_late(NEWEST_WEIGHTS - 1)
                return
            await asyncio.sleep(CALL_PAUSE_S)

    async def _async_lose_power(self, fault: PowerLoss) -> None:
        """Let all processes end while the store loses the entry of an upstream."""
        self.store.take_copy()
        name = f"i-{next(self._replacements)}"
        upstream = PlatformUpstream(
            name,
            software_version="v2",
            events=STREAM_EVENTS,
            names_version=True,
            echoes_body=True,
        )
        self._let_crash(upstream)
        self.upstreams[name] = upstream
        await self._async_start_upstream(name)
        await asyncio.sleep(fault.joined_s)
        self.store.go_away()
        kills = [ProcessFault(0.0, n, Action.KILL, 0.0) for n in range(len(HOSTS))]
        restarts = [asyncio.create_task(self._async_signal(kill)) for kill in kills]
        await asyncio.sleep(fault.down_s)
        if fault.has_copy:
            await self.store.async_return_from_copy()
        else:
            self.store.faults.is_down = False
            for known in self.upstreams:
                await self.store.async_put("servers", known, None)
            for known in self.upstreams:
                if known != name:
                    await self.async_register(known)
        await asyncio.sleep(fault.rewrite_s)
        if name in self.upstreams:
            await self.async_register(name)
        await asyncio.gather(*restarts)

    async def _async_signal(self, fault: ProcessFault) -> None:
        host = HOSTS[fault.process]
        process = self.processes[host]
        if process.returncode is not None:
            return
        process.send_signal(SIGNALS[fault.action])
        if fault.action is Action.PAUSE:
            await asyncio.sleep(fault.for_s)
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
        if fault.action in (Action.KILL, Action.STOP):
            try:
                await asyncio.wait_for(process.wait(), STOP_TIMEOUT_S)
            except TimeoutError:
                # A paused process does not handle SIGTERM; the users' platform then
                # kills it.
                process.kill()
                await process.wait()
            # Several signals may end the same process; it is restarted only once.
            if process.pid in self._restarted_pids or self.is_stopping:
                return
            self._restarted_pids.add(process.pid)
            await asyncio.sleep(RESTART_DELAY_S)
            await self.async_start_process(host)

    async def _async_listen(self, app: web.Application) -> str:
        host, _, port = (await super()._async_listen(app)).rpartition(":")
        proxy = Proxy(host, int(port))
        self.proxies.append(proxy)
        return await proxy.async_start()

    async def async_stop(self) -> None:
        self.is_stopping = True
        for proxy in self.proxies:
            proxy.stop()
        await super().async_stop()


class SoakRun:
    """Load, faults and checks of one run.

    The kinds of requests are the routes of the test configuration: ``once`` is
    non-idempotent, ``again`` is idempotent and ``stream`` is resumable.
    """

    def __init__(self, platform: SoakPlatform, seed: int) -> None:
        self._platform = platform
        self._random = random.Random(seed)
        self._seed = seed
        self._calls = 0
        self._is_load_finished = False
        self._disconnected: set[str] = set()
        self._arrivals_in_time = 0
        self.outcome = Outcome(seed)

    async def async_run(self) -> Outcome:
        """Run the load during all faults, then check recovery and the guarantees."""
        faults = generate_faults(
            self._seed,
            proxies=FAULTY_PROXIES,
            processes=len(HOSTS),
            length_s=RUN_LENGTH_S,
        )
        faults += generate_broken_streams(
            self._seed,
            upstreams=len(self._platform.upstreams),
            events=STREAM_EVENTS,
            length_s=RUN_LENGTH_S,
        )
        faults += generate_store_returns(self._seed, length_s=RUN_LENGTH_S)
        faults += generate_limits(self._seed, length_s=RUN_LENGTH_S)
        sequences = generate_sequences(self._seed, length_s=RUN_LENGTH_S)
        if any(isinstance(fault, NewWeights) for fault in sequences):
            # Versions must rise.
            faults = [f for f in faults if not isinstance(f, NewWeights)]
        faults += sequences
        faults.sort(key=lambda fault: fault.at_s)
        self.outcome.faults = faults
        loop = asyncio.get_running_loop()
        started_at_s = loop.time()
        entry_updates = loop.create_task(self._platform.async_update_entries())
        workers = [loop.create_task(self._async_work()) for _ in range(WORKERS)]
        crashing = loop.create_task(self._async_send_crashing())
        tasks = []
        for fault in faults:
            await asyncio.sleep(max(0.0, started_at_s + fault.at_s - loop.time()))
            tasks.append(loop.create_task(self._platform.async_apply(fault)))
        await asyncio.gather(*tasks)
        await asyncio.sleep(max(0.0, started_at_s + RUN_LENGTH_S - loop.time()))
        self._is_load_finished = True
        await asyncio.gather(*workers)
        await self._async_check_recovery()
        await self._async_check_weights()
        crashing.cancel()
        await asyncio.gather(crashing, return_exceptions=True)
        self._check_late_requests()
        if self._platform.limited is not None:
            for violation in self._platform.limited.violations():
                self._expect(False, violation)
        self._check_run_counts()
        self._check_orders()
        self._check_graceful_stops(faults)
        self._count_second_answers()
        entry_updates.cancel()
        return self.outcome

    async def _async_work(self) -> None:
        while not self._is_load_finished:
            kind = self._random.choice(("once", "again", "stream"))
            if kind == "stream":
                await self._async_read_stream()
            else:
                await self._async_call(kind, self._random.choice(HOSTS))
            await asyncio.sleep(CALL_PAUSE_S)

    async def _async_send_crashing(self) -> None:
        """Send requests that crash upstreams until cancelled."""
        generator = random.Random(f"crashing part {self._seed}")
        number = 0
        while self._platform.has_crashing_part:
            number += 1
            prefix = f"aa:300,{CRASHING_PART}:500,own{number}:40"
            headers = {**PROMPT, "Prompt-Prefix": prefix}
            host = generator.choice(HOSTS)
            with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                async with asyncio.timeout(CALL_TIMEOUT_S):
                    await self._platform.async_call(
                        "/stream/", f"crashing-{number}", host=host, headers=headers
                    )
            self._note_late_base(COUNTED_CRASHES)
            await asyncio.sleep(CRASHING_PAUSE_S)
        while self._platform.has_crashing_request:
            number += 1
            with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                async with asyncio.timeout(CALL_TIMEOUT_S):
                    await self._platform.async_call(
                        CRASHING_REQUEST.target,
                        f"crashing-{number}",
                        host=generator.choice(HOSTS),
                        body=CRASHING_REQUEST.body,
                    )
            self._note_late_base(COUNTED_CRASHES_OF_REQUEST)
            await asyncio.sleep(CRASHING_PAUSE_S)

    def _note_late_base(self, counted_crashes: int) -> None:
        """Note the arrivals up to the bound after the counted crashes."""
        last_s = self._platform.crashed_at_s[counted_crashes - 1 : counted_crashes]
        now_s = asyncio.get_running_loop().time()
        if not last_s or now_s <= last_s[0] + STABLE_S:
            self._arrivals_in_time = self._platform.crashing_arrivals()

    def _check_late_requests(self) -> None:
        platform = self._platform
        if not platform.has_crashing_part and not platform.has_crashing_request:
            return
        late = platform.crashing_arrivals() - self._arrivals_in_time
        self._expect(
            late <= MAX_LATE_REQUESTS,
            f"{late} late requests that crashed "
            f"{len(self._platform.crashed_at_s)} upstreams",
        )
        self.outcome.statuses["crashes"] += len(self._platform.crashed_at_s)

    async def _async_read_stream(self) -> None:
        """Read a stream and take it up again, at any instance, when it breaks."""
        stream = ReadStream(b"stream begun at call %d" % self._calls)
        for _ in range(STREAM_TRIES):
            if not await self._async_continue(stream, self._random.choice(HOSTS)):
                break
            await asyncio.sleep(CALL_PAUSE_S)
        if stream.tries > 1:
            result = "went_on" if stream.is_complete else "did_not_go_on"
            self.outcome.statuses[result] += 1
        for violation in stream.violations():
            self._expect(False, f"{stream.attempts}: {violation}")

    async def _async_continue(self, stream: "ReadStream", host: str) -> bool:
        """Read a stream until it ends or breaks; return whether it may be taken up."""
        self._calls += 1
        attempt = f"stream-{self._calls}"
        stream.attempts.append(attempt)
        is_resumed = stream.begun_by is not None
        try:
            async with (
                asyncio.timeout(CALL_TIMEOUT_S),
                self._platform.async_stream(
                    "/stream/",
                    attempt,
                    host=host,
                    headers=stream.headers(),
                    body=stream.request,
                ) as response,
            ):
                stream.is_refused = response.status != 200
                self.outcome.statuses[str(response.status)] += 1
                self._expect_no_second_answer(attempt, response.status)
                stamp = response.headers.get("Server-Stamp", "")
                if response.status == 503 and not stamp:
                    self._expect(
                        self._platform.run_count(attempt) == 0,
                        f"{attempt}: refused as not run by {host}, but it ran",
                    )
                async for part in response.content.iter_any():
                    stream.feed(attempt, part)
            stream.is_complete = not stream.is_refused
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self.outcome.statuses[type(error).__name__] += 1
            if isinstance(error, DISCONNECT_ERRORS):
                self._disconnected.add(attempt)
        if is_resumed:
            stream.tries += 1
        return not stream.is_complete and stream.begun_by is not None

    async def _async_call(self, kind: str, host: str) -> bool:
        self._calls += 1
        attempt = f"{kind}-{self._calls}"
        headers = PROMPT if kind == "stream" else None
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                status, body, received = await self._platform.async_call(
                    f"/{kind}/",
                    attempt,
                    host=host,
                    headers=headers,
                    body=request_body(attempt),
                )
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self.outcome.statuses[type(error).__name__] += 1
            if isinstance(error, DISCONNECT_ERRORS):
                self._disconnected.add(attempt)
            return False
        self.outcome.statuses[str(status)] += 1
        self._expect_no_second_answer(attempt, status)
        stamp = received.get("Server-Stamp", "")
        if status == 200:
            self._check_answer(kind, attempt, body, stamp)
        elif status == 503 and not stamp:
            self._expect(
                self._platform.run_count(attempt) == 0,
                f"{attempt}: refused as not run by {host}, but an upstream ran it",
            )
        return status == 200

    def _check_answer(self, kind: str, attempt: str, body: bytes, stamp: str) -> None:
        self._expect(bool(stamp), f"{attempt}: answer without a Server-Stamp header")
        if kind != "stream":
            name = stamp.removeprefix("stamp-").encode()
            expected_body = b"answer of %b to %b" % (name, request_body(attempt))
            self._expect(
                body == expected_body, f"{attempt}: {body!r} does not match {stamp}"
            )
            return
        stream = ReadStream(request_body(attempt), is_complete=True)
        stream.feed(attempt, body)
        for violation in stream.violations():
            self._expect(False, f"{attempt}: {violation}")

    def _expect_no_second_answer(self, attempt: str, status: int) -> None:
        """Expect another status than 500, which only second answers have."""
        self._expect(status != SECOND_FAILURE_STATUS, f"{attempt}: status {status}")

    def _check_run_counts(self) -> None:
        runs = Counter(
            seen.attempt
            for upstream in self._platform.all_upstreams()
            for seen in upstream.received
        )
        for attempt, count in runs.items():
            max_runs = 1 if attempt.startswith("once") else MAX_ATTEMPTS
            self._expect(count <= max_runs, f"{attempt}: ran {count} times")

    def _count_second_answers(self) -> None:
        upstreams = self._platform.all_upstreams()
        found = {id(u.second_answers): u.second_answers for u in upstreams}
        sent = sum(answers.sent for answers in found.values() if answers)
        if sent:
            self.outcome.statuses["second_answers"] += sent

    def _check_orders(self) -> None:
        for upstream in self._platform.all_upstreams():
            tokens = [order["fencingToken"] for order in upstream.orders]
            versions = [order["version"] for order in upstream.orders]
            self._expect(
                tokens == sorted(tokens) and versions == sorted(versions),
                f"{upstream.name}: orders with tokens {tokens} for versions {versions}",
            )

    def _check_graceful_stops(self, faults: list[Fault]) -> None:
        """Check that graceful shutdowns aborted no request that a process had begun.

        This does not hold for runs with kills or pauses. Requests that no process
        has logged are not counted: a connection that was never accepted is reset
        when the listener closes.
        """
        actions = {fault.action for fault in faults if isinstance(fault, ProcessFault)}
        if actions & {Action.KILL, Action.PAUSE}:
            return
        logged = self._platform.logged_requests()
        lost = sorted(self._disconnected & logged)
        self._expect(not lost, f"lost during graceful shutdowns: {lost}")

    async def _async_check_recovery(self) -> None:
        """Check that every process serves each kind again within a bounded time."""
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + RECOVERY_TIMEOUT_S
        for host in HOSTS:
            for kind in ("once", "again", "stream"):
                is_served = False
                while not is_served and loop.time() < ends_at_s:
                    is_served = await self._async_call(kind, host)
                    await asyncio.sleep(CALL_PAUSE_S)
                self._expect(is_served, f"{host} does not serve /{kind}/ again")
        for host, process in self._platform.processes.items():
            self._expect(
                process.returncode is None,
                f"{host} ended unexpectedly with status {process.returncode}: "
                f"{self._platform.last_log_lines(host)}",
            )

    async def _async_check_weights(self) -> None:
        """Check that upstreams which have fallen back get the newest weights again."""
        if not any(isinstance(fault, LateOrders) for fault in self.outcome.faults):
            return
        upstreams = self._platform.upstreams
        ends_at_s = asyncio.get_running_loop().time() + ROLLOUT_TIMEOUT_S
        while asyncio.get_running_loop().time() < ends_at_s:
            versions = {name: u.weight_version for name, u in upstreams.items()}
            if len(set(versions.values())) == 1:
                return
            await asyncio.sleep(CALL_PAUSE_S)
        self._expect(False, f"weights of the upstreams at the end: {versions}")

    def _expect(self, condition: bool, violation: str) -> None:
        if not condition:
            self.outcome.violations.append(violation)


def request_body(attempt: str) -> bytes:
    """Return a body that no other request has."""
    return f"body of {attempt}".encode()


async def async_soak(folder: Path, seed: int) -> Outcome:
    """Run one seed and return its outcome."""
    platform = SoakPlatform(folder, seed)
    try:
        await platform.async_start()
        return await SoakRun(platform, seed).async_run()
    finally:
        await platform.async_stop()
