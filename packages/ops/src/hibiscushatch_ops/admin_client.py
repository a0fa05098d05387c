"""Fetches the reports and counters of entry VMs from their admin APIs."""

import asyncio
import dataclasses
import http
from collections.abc import Iterable
from typing import TypeVar

import aiohttp
import pydantic

from hibiscushatch_core.errors import AuthenticationError, PeerError
from hibiscushatch_core.report import NodeReport
from hibiscushatch_core.vm_list import VmListEntry
from hibiscushatch_ops.settings import OperatorSettings

AnswerT = TypeVar('AnswerT')
REPORT_PATH = '/v1/report'
COUNTERS_PATH = '/v1/counters'


class VmCounters(pydantic.BaseModel):
    """Counts of one entry VM by reason; its other counters are ignored."""

    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)

    drops: dict[str, int] = {}
    refusals: dict[str, int] = {}
    retries: dict[str, int] = {}


_REPORT_ADAPTER = pydantic.TypeAdapter(NodeReport)
_COUNTERS_ADAPTER = pydantic.TypeAdapter(VmCounters)


@dataclasses.dataclass(frozen=True, slots=True)
class VmTarget:
    """The admin API of an entry VM, as a target of queries.

    Attributes:
        name: Name of the entry VM; its admin address when the name is
            unknown.
        domain: Its failure domain; empty when unknown.
        address: IPv4 address of its admin API.
        port: TCP port of its admin API.
    """

    name: str
    domain: str
    address: str
    port: int

    @property
    def url(self) -> str:
        """The base URL of its admin API."""
        return f'http://{self.address}:{self.port}'


@dataclasses.dataclass(frozen=True, slots=True)
class VmAnswer:
    """The answer of one entry VM, or why there is none.

    Attributes:
        target: The entry VM.
        report: Its report; None when it could not be fetched.
        counters: Its counters; None when they could not be fetched or were
            not asked for.
        failure: The error of the query that failed; None when none failed.
    """

    target: VmTarget
    report: NodeReport | None = None
    counters: VmCounters | None = None
    failure: PeerError | None = None


def build_target(entry: VmListEntry) -> VmTarget:
    """Build the target for an entry of the platform's list of entry VMs."""
    address, port = entry.admin.pair
    return VmTarget(entry.name, entry.domain, address, port)


class AdminClient:
    """Client of the admin APIs of entry VMs.

    Args:
        settings: The admin key and the timeout of each call.
        session: Open HTTP session.
    """

    def __init__(
        self, settings: OperatorSettings, session: aiohttp.ClientSession
    ) -> None:
        self._settings = settings
        self._session = session

    async def fetch_report(self, target: VmTarget) -> NodeReport:
        """Fetch the report of one entry VM.

        Raises:
            PeerError: When the entry VM gives no valid report.
            AuthenticationError: When it refuses the admin key.
        """
        return await self._fetch(target, REPORT_PATH, _REPORT_ADAPTER)

    async def fetch_counters(self, target: VmTarget) -> VmCounters:
        """Fetch the counters of one entry VM.

        Raises:
            PeerError: When the entry VM gives no valid counters.
            AuthenticationError: When it refuses the admin key.
        """
        return await self._fetch(target, COUNTERS_PATH, _COUNTERS_ADAPTER)

    async def query_all(
        self, targets: Iterable[VmTarget], *, with_counters: bool = False
    ) -> tuple[VmAnswer, ...]:
        """Query entry VMs concurrently.

        Args:
            targets: At least one entry VM.
            with_counters: Whether to fetch the counters too.

        Returns:
            One answer per target, in the order of the targets.

        Raises:
            AuthenticationError: When all of them refuse the admin key.
        """
        queries = (self._query(one, with_counters) for one in targets)
        answers = await asyncio.gather(*queries)
        failures = [one.failure for one in answers]
        if all(isinstance(one, AuthenticationError) for one in failures):
            raise failures[0]
        return tuple(answers)

    async def _query(self, target: VmTarget, with_counters: bool) -> VmAnswer:
        try:
            report = await self.fetch_report(target)
        except PeerError as error:
            return VmAnswer(target, failure=error)
        if not with_counters:
            return VmAnswer(target, report)
        try:
            counters = await self.fetch_counters(target)
        except PeerError as error:
            return VmAnswer(target, report, failure=error)
        return VmAnswer(target, report, counters)

    async def _fetch(
        self,
        target: VmTarget,
        path: str,
        adapter: pydantic.TypeAdapter[AnswerT],
    ) -> AnswerT:
        step = f'GET {path}'
        timeout_s = self._settings.admin_call_timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                return adapter.validate_json(await self._get(target, path))
        except TimeoutError as error:
            raise PeerError(
                step, target.name, f'no answer within {timeout_s} s'
            ) from error
        except (aiohttp.ClientError, OSError) as error:
            raise PeerError(step, target.name, str(error)) from error
        except pydantic.ValidationError as error:
            raise PeerError(
                step, target.name, f'bad answer: {error}'
            ) from error

    async def _get(self, target: VmTarget, path: str) -> bytes:
        step = f'GET {path}'
        key = self._settings.admin_key
        async with self._session.get(
            target.url + path, headers={'Authorization': f'Bearer {key}'}
        ) as response:
            if response.status == http.HTTPStatus.UNAUTHORIZED:
                raise AuthenticationError(step, target.name, 'key refused')
            if response.status != http.HTTPStatus.OK:
                raise PeerError(
                    step, target.name, f'HTTP status {response.status}'
                )
            return await response.read()
