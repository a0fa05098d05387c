"""Client of the platform's key-value service over the etcd v3 JSON gateway.

Each call has a deadline. When an endpoint fails, a call that may safely run
twice, or that never reached the endpoint, is retried at the next endpoint. Any
other call is not retried, because it may have taken effect.
"""

import asyncio
import contextlib
import dataclasses
import http
import math
from collections.abc import AsyncGenerator, AsyncIterator
from typing import Generic, TypeVar

import aiohttp
import pydantic

from hibiscushatch_core.counters import Counters
from hibiscushatch_core.errors import (
    LeaseLapsedError,
    PlatformUnavailableError,
)
from hibiscushatch_core.ports import Platform, StoredValue, WatchEvent
from hibiscushatch_core.reasons import RetryReason
from hibiscushatch_core.settings import PlatformSettings
from hibiscushatch_node.adapters import etcd_messages as messages

_WATCH_ERRORS = (
    aiohttp.ClientError,
    OSError,
    ValueError,
    PlatformUnavailableError,
)
ResponseT = TypeVar('ResponseT', bound=messages.GatewayMessage)
_NOT_SENT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
_CLIENT_ERROR_STATUSES = range(
    http.HTTPStatus.BAD_REQUEST, http.HTTPStatus.INTERNAL_SERVER_ERROR
)


class _EndpointError(PlatformUnavailableError):
    """A call to one endpoint failed.

    Args:
        call: The call that failed.
        endpoint: The endpoint.
        reason: What went wrong.
        may_have_run: Whether the endpoint may have executed the call.
        status: HTTP status of the response; 0 when there was none.
    """

    def __init__(
        self,
        call: '_Call',
        endpoint: str,
        reason: str,
        may_have_run: bool = True,
        status: int = 0,
    ) -> None:
        self.may_have_run = may_have_run
        self.status = status
        super().__init__(call.step, endpoint, reason)


@dataclasses.dataclass(frozen=True, slots=True)
class _Call(Generic[ResponseT]):
    """A call to the gateway.

    Attributes:
        step: Name of the operation, for error messages.
        path: Path of the URL.
        request: The request message.
        response_model: Class of the response message.
        idempotent: Whether the call may safely run twice.
    """

    step: str
    path: str
    request: messages.GatewayMessage
    response_model: type[ResponseT]
    idempotent: bool = False


class EtcdPlatform(Platform):
    """Client of a gateway that has one or more endpoints.

    Args:
        settings: Endpoints and deadlines.
        counters: Where calls and retries are counted.
    """

    def __init__(self, settings: PlatformSettings, counters: Counters) -> None:
        self._settings = settings
        self._counters = counters
        self._endpoint_index = 0
        self._client_session: aiohttp.ClientSession | None = None

    async def get(self, key: str) -> StoredValue | None:
        """Read one key."""
        response = await self._call_with_deadline(
            _range_call('read key', key.encode())
        )
        return next(
            (_stored_value(key_value) for key_value in response.kvs), None
        )

    async def list_prefix(self, prefix: str) -> tuple[StoredValue, ...]:
        """Read all keys with a prefix."""
        response = await self._call_with_deadline(
            _prefix_call('list keys', prefix)
        )
        return tuple(_stored_value(key_value) for key_value in response.kvs)

    async def compare_and_swap(
        self, key: str, expected_revision: int, value: bytes
    ) -> bool:
        """Write a key if its mod_revision is as expected; 0 means absent."""
        compare = messages.Compare(
            key=key.encode(),
            target='MOD',
            result='EQUAL',
            mod_revision=expected_revision,
        )
        write = messages.PutRequest(key=key.encode(), value=value)
        request = messages.TxnRequest(
            compare=(compare,),
            success=(messages.RequestOp(request_put=write),),
        )
        response = await self._call_with_deadline(
            _Call(
                'compare and swap',
                messages.TXN_PATH,
                request,
                messages.TxnResponse,
            )
        )
        return response.succeeded

    async def watch_prefix(self, prefix: str) -> AsyncIterator[WatchEvent]:
        """Yield the current keys with a prefix, then each change of them."""
        current = await self._call_with_deadline(
            _prefix_call('read watched keys', prefix)
        )
        for key_value in current.kvs:
            yield WatchEvent(
                key_value.key.decode(), key_value.value, key_value.mod_revision
            )
        call = _watch_call(prefix, current.header.revision + 1)
        async with contextlib.aclosing(self._watch(call)) as responses:
            async for response in responses:
                for event in response.events:
                    yield _watch_event(event)

    async def grant_lease(self, ttl_s: float) -> int:
        """Obtain a lease and return its identifier."""
        response = await self._call_with_deadline(
            _Call(
                'grant lease',
                messages.LEASE_GRANT_PATH,
                messages.LeaseGrantRequest(TTL=math.ceil(ttl_s)),
                messages.LeaseGrantResponse,
            )
        )
        return response.ID

    async def keep_lease_alive(self, lease_id: int) -> bool:
        """Renew a lease; return False when it has lapsed."""
        response = await self._call_with_deadline(
            _Call(
                'renew lease',
                messages.LEASE_KEEP_ALIVE_PATH,
                messages.LeaseRequest(ID=lease_id),
                messages.LeaseKeepAliveMessage,
                idempotent=True,
            )
        )
        return response.result.TTL > 0

    async def put_with_lease(
        self, key: str, value: bytes, lease_id: int
    ) -> None:
        """Write a key that is deleted when the lease lapses."""
        request = messages.PutRequest(
            key=key.encode(), value=value, lease=lease_id
        )
        call = _Call(
            'write key', messages.PUT_PATH, request, messages.PutResponse
        )
        try:
            await self._call_with_deadline(call)
        except _EndpointError as error:
            if error.status == http.HTTPStatus.NOT_FOUND:
                raise LeaseLapsedError(
                    call.step, error.peer, error.reason
                ) from error
            raise

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys."""
        call = _Call(
            'revoke lease',
            messages.LEASE_REVOKE_PATH,
            messages.LeaseRequest(ID=lease_id),
            messages.LeaseRevokeResponse,
            idempotent=True,
        )
        try:
            await self._call_with_deadline(call)
        except _EndpointError as error:
            if error.status != http.HTTPStatus.NOT_FOUND:
                raise

    async def close(self) -> None:
        """Close the connections to the endpoints."""
        if self._client_session is not None:
            await self._client_session.close()
            self._client_session = None

    @property
    def _endpoint(self) -> str:
        return self._settings.endpoints[self._endpoint_index]

    @property
    def _connect_timeout_s(self) -> float:
        return self._settings.call_timeout_s / len(self._settings.endpoints)

    def _get_session(self) -> aiohttp.ClientSession:
        if self._client_session is None:
            self._client_session = aiohttp.ClientSession()
        return self._client_session

    def _switch_endpoint(self, endpoint: str) -> None:
        if endpoint == self._endpoint:
            next_index = self._endpoint_index + 1
            self._endpoint_index = next_index % len(self._settings.endpoints)

    async def _call_with_deadline(self, call: _Call[ResponseT]) -> ResponseT:
        timeout_s = self._settings.call_timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                return await self._call_with_retries(call)
        except TimeoutError as error:
            endpoint = self._endpoint
            self._switch_endpoint(endpoint)
            raise PlatformUnavailableError(
                call.step, endpoint, f'no answer within {timeout_s} s'
            ) from error

    async def _call_with_retries(self, call: _Call[ResponseT]) -> ResponseT:
        remaining_attempts = len(self._settings.endpoints)
        while True:
            remaining_attempts -= 1
            try:
                return await self._call_endpoint(call)
            except _EndpointError as error:
                if not (remaining_attempts and _may_retry(call, error)):
                    raise
            self._counters.retries[RetryReason.PLATFORM_UNAVAILABLE] += 1

    async def _call_endpoint(self, call: _Call[ResponseT]) -> ResponseT:
        endpoint = self._endpoint
        try:
            text = await self._post(call, endpoint)
        except (aiohttp.ClientError, OSError) as error:
            self._switch_endpoint(endpoint)
            raise _EndpointError(
                call,
                endpoint,
                str(error) or type(error).__name__,
                may_have_run=not isinstance(error, _NOT_SENT_ERRORS),
            ) from error
        except _EndpointError as error:
            if error.status not in _CLIENT_ERROR_STATUSES:
                self._switch_endpoint(endpoint)
            raise
        return _parse(call, endpoint, text)

    async def _post(self, call: _Call[ResponseT], endpoint: str) -> bytes:
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=self._connect_timeout_s
        )
        self._counters.platform_calls += 1
        async with self._get_session().post(
            endpoint + call.path, data=call.request.encode(), timeout=timeout
        ) as response:
            _check_status(call, endpoint, response.status)
            return await response.read()

    async def _watch(
        self, call: _Call[messages.WatchMessage]
    ) -> AsyncGenerator[messages.WatchResponse, None]:
        endpoint = self._endpoint
        lines = self._watch_lines(call, endpoint)
        try:
            async with contextlib.aclosing(lines):
                async for line in lines:
                    yield _parse_watch_response(call, endpoint, line)
        except (
            aiohttp.ClientError,
            OSError,
            PlatformUnavailableError,
        ) as error:
            self._switch_endpoint(endpoint)
            raise PlatformUnavailableError(
                call.step, endpoint, str(error) or type(error).__name__
            ) from error
        self._switch_endpoint(endpoint)
        raise PlatformUnavailableError(call.step, endpoint, 'the watch ended')

    async def _watch_lines(
        self, call: _Call[messages.WatchMessage], endpoint: str
    ) -> AsyncGenerator[bytes, None]:
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=self._connect_timeout_s,
            sock_read=self._settings.watch_silent_s,
        )
        line_buffer = messages.LineBuffer()
        self._counters.platform_calls += 1
        async with self._get_session().post(
            endpoint + call.path, data=call.request.encode(), timeout=timeout
        ) as response:
            _check_status(call, endpoint, response.status)
            async for chunk in response.content.iter_any():
                for line in line_buffer.feed(chunk):
                    yield line


def _range_call(
    step: str, key: bytes, range_end: bytes = b''
) -> _Call[messages.RangeResponse]:
    request = messages.RangeRequest(key=key, range_end=range_end)
    return _Call(
        step,
        messages.RANGE_PATH,
        request,
        messages.RangeResponse,
        idempotent=True,
    )


def _prefix_call(step: str, prefix: str) -> _Call[messages.RangeResponse]:
    key = prefix.encode()
    return _range_call(step, key, messages.prefix_end(key))


def _watch_call(
    prefix: str, start_revision: int
) -> _Call[messages.WatchMessage]:
    key = prefix.encode()
    create = messages.WatchCreateRequest(
        key=key,
        range_end=messages.prefix_end(key),
        start_revision=start_revision,
        progress_notify=True,
    )
    return _Call(
        'watch keys',
        messages.WATCH_PATH,
        messages.WatchRequest(create_request=create),
        messages.WatchMessage,
    )


def _may_retry(call: _Call, error: _EndpointError) -> bool:
    if error.status in _CLIENT_ERROR_STATUSES:
        return False
    return call.idempotent or not error.may_have_run


def _check_status(call: _Call, endpoint: str, status: int) -> None:
    if status != http.HTTPStatus.OK:
        raise _EndpointError(
            call, endpoint, f'HTTP status {status}', status=status
        )


def _parse(call: _Call[ResponseT], endpoint: str, text: bytes) -> ResponseT:
    try:
        return call.response_model.model_validate_json(text)
    except pydantic.ValidationError as error:
        raise _EndpointError(
            call, endpoint, f'not an answer of the gateway: {error}'
        ) from error


def _parse_watch_response(
    call: _Call[messages.WatchMessage], endpoint: str, line: bytes
) -> messages.WatchResponse:
    response = _parse(call, endpoint, line).result
    if response.canceled:
        raise _EndpointError(call, endpoint, 'the watch is canceled')
    return response


def _stored_value(key_value: messages.KeyValue) -> StoredValue:
    return StoredValue(
        key_value.key.decode(), key_value.value, key_value.mod_revision
    )


def _watch_event(event: messages.GatewayEvent) -> WatchEvent:
    deleted = event.type == 'DELETE'
    return WatchEvent(
        event.kv.key.decode(),
        None if deleted else event.kv.value,
        event.kv.mod_revision,
    )
