"""The administration API: JSON over HTTP on a separate address.

Health and readiness need no key, because the fabric requests them. All other
paths need an administration key.
"""

import dataclasses
import logging
from collections.abc import Awaitable, Callable

from aiohttp import web

from hibiscushatch_core.metrics import (
    REASON_FAMILIES,
    counts_by_reason,
    totals,
)
from hibiscushatch_core.settings import NodeSettings
from hibiscushatch_node.adapters import keys
from hibiscushatch_node.adapters.metrics import Metrics
from hibiscushatch_node.entry_vm import EntryVm
from hibiscushatch_node.loop_lag import LoopLagMeter

HEALTH_PATH = '/v1/health'
READY_PATH = '/v1/ready'
REPORT_PATH = '/v1/report'
MANIFEST_PATH = '/v1/manifest'
BUCKETS_PATH = '/v1/buckets/{service}'
UPSTREAMS_PATH = '/v1/upstreams'
COUNTERS_PATH = '/v1/counters'
METRICS_PATH = '/metrics'
PUBLIC_PATHS = frozenset((HEALTH_PATH, READY_PATH))
SHUTDOWN_TIMEOUT_S = 0.5

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

_log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class ApiError:
    """The error in the JSON body of every unsuccessful response.

    Attributes:
        code: A fixed identifier for programs.
        message: A description for people.
    """

    code: str
    message: str


class AdminApi:
    """Serves the administration API of one entry VM.

    Args:
        settings: The settings of the entry VM.
        entry_vm: The entry VM to report on.
        loop_lag: Measures the delay of the event loop.
    """

    def __init__(
        self, settings: NodeSettings, entry_vm: EntryVm, loop_lag: LoopLagMeter
    ) -> None:
        self._settings = settings
        self._entry_vm = entry_vm
        self._loop_lag = loop_lag
        self._metrics = Metrics()
        application = web.Application(
            middlewares=[self._authenticate_and_handle_errors]
        )
        application.router.add_routes(self._routes())
        self._runner = web.AppRunner(
            application, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )

    async def start(self) -> None:
        """Start to listen on the administration address.

        Raises:
            OSError: When the address can't be bound.
        """
        await self._runner.setup()
        admin = self._settings.admin.pair
        await web.TCPSite(self._runner, *admin).start()

    async def stop(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()

    def _routes(self) -> list[web.RouteDef]:
        return [
            web.get(HEALTH_PATH, self._health),
            web.get(READY_PATH, self._ready),
            web.get(REPORT_PATH, self._report),
            web.get(MANIFEST_PATH, self._manifest),
            web.get(BUCKETS_PATH, self._buckets),
            web.get(UPSTREAMS_PATH, self._upstreams),
            web.get(COUNTERS_PATH, self._counters),
            web.get(METRICS_PATH, self._render_metrics),
        ]

    @web.middleware
    async def _authenticate_and_handle_errors(
        self, request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        is_public = request.path in PUBLIC_PATHS
        admin_keys = self._settings.admin_keys
        if not is_public and not keys.is_authorized(
            request.headers, admin_keys
        ):
            return _error(
                web.HTTPUnauthorized.status_code,
                'unauthorized',
                'a valid administration key is needed',
            )
        try:
            return await handler(request)
        except web.HTTPException as error:
            code = error.reason.lower().replace(' ', '_')
            return _error(error.status, code, f'{request.path}: {error.reason}')
        except Exception:
            _log.exception('the administration API failed')
            return _error(
                web.HTTPInternalServerError.status_code,
                'internal_error',
                'the answer could not be built',
            )

    async def _health(self, _request: web.Request) -> web.Response:
        return web.json_response({'healthy': True})

    async def _ready(self, _request: web.Request) -> web.Response:
        report = self._entry_vm.report()
        status = (
            web.HTTPOk.status_code
            if report.ready
            else web.HTTPServiceUnavailable.status_code
        )
        return web.json_response(
            {'ready': report.ready, 'state': report.state}, status=status
        )

    async def _report(self, _request: web.Request) -> web.Response:
        return web.json_response(dataclasses.asdict(self._entry_vm.report()))

    async def _manifest(self, _request: web.Request) -> web.Response:
        committed = self._entry_vm.state.committed
        if committed is None:
            return _error(
                web.HTTPNotFound.status_code,
                'no_manifest',
                'no manifest is in force yet',
            )
        document = committed.document
        return web.json_response(
            {
                'generation': document.generation,
                'commit_id': committed.commit_id,
                'manifest': document.model_dump(mode='json'),
            }
        )

    async def _buckets(self, request: web.Request) -> web.Response:
        name = request.match_info['service']
        buckets = self._entry_vm.bucket_reports(name)
        if not buckets:
            return _error(
                web.HTTPNotFound.status_code,
                'unknown_service',
                f'the manifest in force has no service {name}',
            )
        return web.json_response(
            [dataclasses.asdict(bucket) for bucket in buckets]
        )

    async def _upstreams(self, _request: web.Request) -> web.Response:
        report = self._entry_vm.report()
        return web.json_response(
            {
                service.name: [
                    dataclasses.asdict(upstream)
                    for upstream in service.upstreams
                ]
                for service in report.services
            }
        )

    async def _counters(self, _request: web.Request) -> web.Response:
        counters = self._entry_vm.counters
        by_reason = {
            family.name: counts_by_reason(family, counters)
            for family in REASON_FAMILIES
        }
        return web.json_response({**by_reason, **totals(counters)})

    async def _render_metrics(self, request: web.Request) -> web.Response:
        body, headers = self._metrics.render(
            self._entry_vm.counters,
            self._entry_vm.report(),
            self._loop_lag.recent_max_s,
            request.headers.getall('Accept', ()),
        )
        return web.Response(body=body, headers=headers)


def _error(status: int, code: str, message: str) -> web.Response:
    error = ApiError(code, message)
    return web.json_response(
        {'error': dataclasses.asdict(error)}, status=status
    )
