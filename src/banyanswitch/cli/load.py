"""``banyanswitch-load``: open-loop load generator.

A share of the requests starts with one of several long prompts, which repeat.
"""

import asyncio
import random
import sys
from dataclasses import dataclass, field

import aiohttp
import fire
import msgspec
from fire.decorators import SetParseFn
from hdrh.histogram import HdrHistogram

MICROSECONDS_PER_S = 1_000_000
MAX_FIRST_TOKEN_US = 600 * MICROSECONDS_PER_S
SIGNIFICANT_DIGITS = 3
BYTES_PER_TOKEN = 4
EXIT_NO_RESPONSE = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadPlan:
    """Parameters of a load.

    Parameters
    ----------
    long_share : float
        Share of requests that start with one of the long prompts.
    long_prompts : int
        Number of different long prompts; requests choose among them at random.
    long_tokens : int
        Length of a long prompt, in tokens.
    """

    url: str
    key: str
    model: str
    requests_per_s: float = 10.0
    duration_s: float = 30.0
    long_share: float = 0.2
    long_prompts: int = 20
    long_tokens: int = 16_000
    max_tokens: int = 32
    seed: int = 1


@dataclass(slots=True)
class LoadResult:
    """Outcomes and first-token times of the requests.

    Parameters
    ----------
    refused : int
        Responses with a status of 400 or more.
    failed : int
        Requests without a complete response.
    """

    offered: int = 0
    answered: int = 0
    refused: int = 0
    failed: int = 0
    first_token_us: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MAX_FIRST_TOKEN_US, SIGNIFICANT_DIGITS)
    )


class LoadReport(msgspec.Struct, frozen=True):
    """Results that the tool prints."""

    offered: int
    answered: int
    refused: int
    failed: int
    first_token_p50_s: float
    first_token_p95_s: float
    first_token_p99_s: float


class AddressDocument(msgspec.Struct, frozen=True):
    """One address in the response to ``GET /v1/addresses``."""

    url: str


class AddressListDocument(msgspec.Struct, frozen=True):
    """Response to ``GET /v1/addresses``."""

    addresses: list[AddressDocument]
    ttl_s: float


class LoadGenerator:
    """Send requests at their scheduled times, without waiting for earlier ones.

    Parameters
    ----------
    plan : LoadPlan
        Parameters of the load.
    session : aiohttp.ClientSession
        Session that sends the requests.
    """

    def __init__(self, plan: LoadPlan, session: aiohttp.ClientSession) -> None:
        self._plan = plan
        self._session = session
        self._random = random.Random(plan.seed)
        self._headers = {"Authorization": f"Bearer {plan.key}"}
        self._urls = [plan.url]
        self._urls_expire_at_s = 0.0
        self.result = LoadResult()

    async def async_run(self) -> LoadResult:
        """Send all requests, wait until they have ended and return the result."""
        loop = asyncio.get_running_loop()
        started_at_s = loop.time()
        tasks: list[asyncio.Task[None]] = []
        for number in range(int(self._plan.requests_per_s * self._plan.duration_s)):
            scheduled_at_s = started_at_s + number / self._plan.requests_per_s
            await asyncio.sleep(max(0.0, scheduled_at_s - loop.time()))
            await self._async_refresh_urls()
            tasks.append(asyncio.create_task(self._async_send(scheduled_at_s)))
        await asyncio.gather(*tasks)
        return self.result

    async def _async_refresh_urls(self) -> None:
        loop = asyncio.get_running_loop()
        if loop.time() < self._urls_expire_at_s:
            return
        async with self._session.get(
            f"{self._urls[0]}/v1/addresses", headers=self._headers
        ) as response:
            content = await response.read()
        document = msgspec.json.decode(content, type=AddressListDocument)
        self._urls = [address.url for address in document.addresses] or self._urls
        self._urls_expire_at_s = loop.time() + document.ttl_s

    async def _async_send(self, scheduled_at_s: float) -> None:
        self.result.offered += 1
        url = f"{self._urls[0]}/v1/chat/completions"
        try:
            async with self._session.post(
                url, data=self._request_body(), headers=self._headers
            ) as response:
                if response.status >= 400:
                    self.result.refused += 1
                    return
                await response.content.readany()
                first_token_s = asyncio.get_running_loop().time() - scheduled_at_s
                await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            self.result.failed += 1
            return
        self.result.answered += 1
        self.result.first_token_us.record_value(int(first_token_s * MICROSECONDS_PER_S))

    def _request_body(self) -> bytes:
        content = f"question {self._random.random()} "
        if self._random.random() < self._plan.long_share:
            number = self._random.randrange(self._plan.long_prompts)
            content = self._long_prompt(number, self._plan.long_tokens) + content
        document = {
            "model": self._plan.model,
            "messages": [{"role": "user", "content": content}],
            "max_tokens": self._plan.max_tokens,
            "stream": True,
        }
        return msgspec.json.encode(document)

    def _long_prompt(self, number: int, tokens: int) -> str:
        line = f"record {number} of the long prompt; "
        size_bytes = tokens * BYTES_PER_TOKEN
        return (line * (size_bytes // len(line) + 1))[:size_bytes]


def make_report(result: LoadResult) -> LoadReport:
    """Return the report of a finished load."""
    histogram = result.first_token_us

    def percentile_s(percentile: float) -> float:
        value_us: int = histogram.get_value_at_percentile(percentile)
        return value_us / MICROSECONDS_PER_S

    return LoadReport(
        offered=result.offered,
        answered=result.answered,
        refused=result.refused,
        failed=result.failed,
        first_token_p50_s=percentile_s(50.0),
        first_token_p95_s=percentile_s(95.0),
        first_token_p99_s=percentile_s(99.0),
    )


def run(url: str, key: str, model: str, json: bool = False, **plan: float) -> None:
    """Send an open-loop load to the instances and print the results.

    Exit statuses: 0 some requests were answered; 1 none was.

    Parameters
    ----------
    url : str
        URL of any instance; requests are sent to the first address that it returns.
    key : str
        Bearer key of a workspace.
    model : str
        Name of a model service.
    json : bool
        Print one JSON document.
    **plan
        requests_per_s, duration_s, long_share, long_prompts, long_tokens,
        max_tokens, seed.
    """
    load_plan = LoadPlan(url=url, key=key, model=model, **plan)  # type: ignore[arg-type]
    result = asyncio.run(_async_run(load_plan))
    report = make_report(result)
    if json:
        print(msgspec.json.encode(report).decode())
    else:
        for name, value in msgspec.structs.asdict(report).items():
            print(f"{name}: {value}")
    if result.answered == 0:
        sys.exit(EXIT_NO_RESPONSE)


async def _async_run(plan: LoadPlan) -> LoadResult:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        return await LoadGenerator(plan, session).async_run()


def main() -> None:
    """Run the command line."""
    fire.Fire(SetParseFn(str, "url", "key", "model")(run), name="banyanswitch-load")


if __name__ == "__main__":
    main()
