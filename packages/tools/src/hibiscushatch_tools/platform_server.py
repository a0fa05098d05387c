"""The platform stand-in as a process: the etcd v3 JSON gateway over HTTP.

``PUT /control/faults`` takes a JSON object of PlatformFaults fields and
``GET /control/state`` returns the number of calls, the revision and the faults.
"""

import asyncio
import dataclasses
import json
import time
from collections.abc import Callable
from functools import partial
from typing import TypeVar

import click
import pydantic
from aiohttp import web

from hibiscushatch_core.ports import StoredValue, WatchEvent
from hibiscushatch_node.adapters import etcd_messages as messages
from hibiscushatch_tools.platform_store import (
    PROGRESS_S,
    LeaseNotFoundError,
    NoAnswerError,
    PlatformFaults,
    PlatformStore,
    Snapshot,
)

RequestT = TypeVar('RequestT', bound=messages.GatewayMessage)
ResultT = TypeVar('ResultT')
STORE_KEY = web.AppKey('store', PlatformStore)
SHUTDOWN_TIMEOUT_S = 0.1
REQUEST_BYTES_MAX = 8 * 1024 * 1024
_FAULTS = pydantic.TypeAdapter(PlatformFaults)


def build_app(store: PlatformStore) -> web.Application:
    """Build the application that serves a store.

    Args:
        store: The store.

    Returns:
        An application with the gateway's routes and the control routes.
    """
    app = web.Application(client_max_size=REQUEST_BYTES_MAX)
    app[STORE_KEY] = store
    app.router.add_routes(
        (
            web.post(messages.RANGE_PATH, _range),
            web.post(messages.PUT_PATH, _put),
            web.post(messages.TXN_PATH, _txn),
            web.post(messages.WATCH_PATH, _watch),
            web.post(messages.LEASE_GRANT_PATH, _grant_lease),
            web.post(messages.LEASE_KEEP_ALIVE_PATH, _renew_lease),
            web.post(messages.LEASE_REVOKE_PATH, _revoke_lease),
            web.put('/control/faults', _inject_faults),
            web.get('/control/state', _report_state),
        )
    )
    return app


async def start_server(
    store: PlatformStore, address: str, port: int
) -> web.AppRunner:
    """Serve a store over HTTP.

    Args:
        store: The store.
        address: IPv4 address to bind to.
        port: TCP port to bind to; 0 picks a free one.

    Returns:
        The running server; ``addresses`` holds the addresses it listens on.
    """
    runner = web.AppRunner(
        build_app(store),
        handler_cancellation=True,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )
    await runner.setup()
    await web.TCPSite(runner, address, port).start()
    return runner


async def _read_request(
    request: web.Request, model: type[RequestT]
) -> RequestT:
    try:
        return model.model_validate_json(await request.read())
    except pydantic.ValidationError as error:
        raise web.HTTPBadRequest(text=str(error)) from error


async def _run_read(
    request: web.Request, operation: Callable[[], ResultT]
) -> ResultT:
    try:
        return await request.app[STORE_KEY].answer_read(operation)
    except NoAnswerError as error:
        raise _abort_and_build_error(request, error) from error


async def _run_write(
    request: web.Request, operation: Callable[[], ResultT]
) -> ResultT:
    answer = request.app[STORE_KEY].answer_write(operation)
    try:
        return await answer
    except NoAnswerError as error:
        raise _abort_and_build_error(request, error) from error
    except LeaseNotFoundError as error:
        raise web.HTTPNotFound(text=error.reason) from error


def _abort_and_build_error(
    request: web.Request, error: NoAnswerError
) -> Exception:
    if request.transport is not None:
        request.transport.abort()
    return web.HTTPServiceUnavailable(text=error.reason)


def _json_response(message: messages.GatewayMessage) -> web.Response:
    return web.Response(body=message.encode(), content_type='application/json')


def _response_header(request: web.Request) -> messages.Header:
    return messages.Header(revision=request.app[STORE_KEY].revision)


async def _range(request: web.Request) -> web.Response:
    range_request = await _read_request(request, messages.RangeRequest)
    store = request.app[STORE_KEY]
    read = store.read_prefix if range_request.range_end else store.read_key
    operation = partial(read, range_request.key.decode())
    snapshot: Snapshot = await _run_read(request, operation)
    return _json_response(
        messages.RangeResponse(
            header=messages.Header(revision=snapshot.revision),
            kvs=tuple(_key_value(stored) for stored in snapshot.stored),
        )
    )


async def _put(request: web.Request) -> web.Response:
    write = await _read_request(request, messages.PutRequest)
    put = request.app[STORE_KEY].put
    operation = partial(put, write.key.decode(), write.value, write.lease)
    await _run_write(request, operation)
    return _json_response(
        messages.PutResponse(header=_response_header(request))
    )


async def _txn(request: web.Request) -> web.Response:
    transaction = await _read_request(request, messages.TxnRequest)
    compare = transaction.compare[0]
    write = transaction.success[0].request_put
    swap = request.app[STORE_KEY].swap
    operation = partial(
        swap, write.key.decode(), compare.mod_revision, write.value
    )
    succeeded = await _run_write(request, operation)
    return _json_response(
        messages.TxnResponse(
            header=_response_header(request), succeeded=succeeded
        )
    )


async def _grant_lease(request: web.Request) -> web.Response:
    grant_request = await _read_request(request, messages.LeaseGrantRequest)
    operation = partial(request.app[STORE_KEY].grant, grant_request.TTL)
    lease_id = await _run_write(request, operation)
    return _json_response(
        messages.LeaseGrantResponse(
            header=_response_header(request), ID=lease_id, TTL=grant_request.TTL
        )
    )


async def _renew_lease(request: web.Request) -> web.Response:
    lease = await _read_request(request, messages.LeaseRequest)
    operation = partial(request.app[STORE_KEY].renew, lease.ID)
    ttl_s = await _run_write(request, operation)
    state = messages.LeaseState(
        header=_response_header(request), ID=lease.ID, TTL=int(ttl_s)
    )
    return _json_response(messages.LeaseKeepAliveMessage(result=state))


async def _revoke_lease(request: web.Request) -> web.Response:
    lease = await _read_request(request, messages.LeaseRequest)
    operation = partial(request.app[STORE_KEY].revoke, lease.ID)
    if not await _run_write(request, operation):
        raise web.HTTPNotFound(text='lease not found')
    return _json_response(
        messages.LeaseRevokeResponse(header=_response_header(request))
    )


async def _watch(request: web.Request) -> web.StreamResponse:
    watch_request = (
        await _read_request(request, messages.WatchRequest)
    ).create_request
    response = web.StreamResponse()
    await response.prepare(request)
    created = messages.WatchResponse(
        header=_response_header(request), created=True
    )
    await _write_line(response, created)
    batches = request.app[STORE_KEY].watch(
        watch_request.key.decode(), watch_request.start_revision
    )
    try:
        async for batch in batches:
            events = tuple(_gateway_event(event) for event in batch)
            answer = messages.WatchResponse(
                header=_response_header(request), events=events
            )
            await _write_line(response, answer)
    except NoAnswerError as error:
        raise _abort_and_build_error(request, error) from error
    except ConnectionError:
        await batches.aclose()
    return response


async def _write_line(
    response: web.StreamResponse, answer: messages.WatchResponse
) -> None:
    line = messages.WatchMessage(result=answer).encode()
    await response.write(line + b'\n')


def _key_value(stored: StoredValue) -> messages.KeyValue:
    return messages.KeyValue(
        key=stored.key.encode(),
        value=stored.value,
        mod_revision=stored.mod_revision,
    )


def _gateway_event(event: WatchEvent) -> messages.GatewayEvent:
    stored = messages.KeyValue(
        key=event.key.encode(),
        value=event.value or b'',
        mod_revision=event.mod_revision,
    )
    kind = 'DELETE' if event.value is None else 'PUT'
    return messages.GatewayEvent(type=kind, kv=stored)


async def _inject_faults(request: web.Request) -> web.Response:
    try:
        faults = _FAULTS.validate_json(await request.read())
    except pydantic.ValidationError as error:
        raise web.HTTPBadRequest(text=str(error)) from error
    request.app[STORE_KEY].inject(faults)
    return await _report_state(request)


async def _report_state(request: web.Request) -> web.Response:
    store = request.app[STORE_KEY]
    state = {
        'calls': store.calls,
        'revision': store.revision,
        'faults': dataclasses.asdict(store.faults),
    }
    return web.json_response(text=json.dumps(state))


async def _serve(address: str, port: int, progress_s: float) -> None:
    store = PlatformStore(time.monotonic, progress_s)
    runner = await start_server(store, address, port)
    click.echo(f'listening on {address}:{runner.addresses[0][1]}')
    await asyncio.Event().wait()


@click.command()
@click.option('--address', default='127.0.0.1', help='IPv4 address to bind.')
@click.option(
    '--port', default=2379, help='TCP port to bind; 0 for a free one.'
)
@click.option(
    '--progress-s',
    default=PROGRESS_S,
    help='Seconds between the progress messages of a watch.',
)
def main(address: str, port: int, progress_s: float) -> None:
    """Run the platform stand-in until it is interrupted."""
    asyncio.run(_serve(address, port, progress_s))


if __name__ == '__main__':
    main()
