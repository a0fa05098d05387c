"""Runs a scenario on a deployment in memory; the same seed repeats a run."""

import asyncio
import contextlib
import dataclasses
import logging
import pathlib
import random
import traceback
from collections.abc import AsyncIterator, Coroutine, Iterator
from typing import Any

from hibiscushatch_core.errors import HibiscushatchError
from hibiscushatch_core.manifest import PROTOCOL_NUMBERS
from hibiscushatch_node.entry_vm import EntryVm
from hibiscushatch_ops.callers import FlowPlan
from hibiscushatch_tools import host_loop
from hibiscushatch_tools.memory_deployment import MemoryDeployment, VmFactory
from hibiscushatch_tools.scenario_events import Event
from hibiscushatch_tools.scenario_figures import compute_outcome
from hibiscushatch_tools.scenario_history import History
from hibiscushatch_tools.scenario_model import (
    LoadSpec,
    Promise,
    Scenario,
    ServiceSpec,
)
from hibiscushatch_tools.scenario_observer import Observer
from hibiscushatch_tools.scenario_outcome import ScenarioOutcome

NODE_LOGGER = 'hibiscushatch_node'
CALLER_NETWORK = 0x0A100000  # 10.16.0.0
CALLER_HOST_BITS = 20
FIRST_CALLER_PORT = 1024
LAST_CALLER_PORT = 65535


@dataclasses.dataclass(frozen=True, slots=True)
class PromiseResult:
    """A promise and the measured value of its figure."""

    promise: Promise
    figure: float

    @property
    def holds(self) -> bool:
        """Whether the promise was kept."""
        was_never_reached = self.figure < 0
        is_within_bound = self.promise.comparison.holds(
            self.figure, self.promise.bound
        )
        return is_within_bound and not was_never_reached


def run_scenario(
    scenario: Scenario,
    seed: int | None = None,
    vm_factory: VmFactory = EntryVm,
) -> ScenarioOutcome:
    """Run a scenario in virtual time.

    Args:
        scenario: The scenario to run.
        seed: Seed of all random choices; that of the scenario if None.
        vm_factory: Builds each entry VM; callers may pass a variant.

    Returns:
        The figures, which are always the same for the same seed.
    """
    chosen_seed = scenario.seed if seed is None else seed
    return host_loop.run_on_host_loop(_run(scenario, chosen_seed, vm_factory))


def check_promises(
    scenario: Scenario, outcome: ScenarioOutcome
) -> Iterator[PromiseResult]:
    """Compare the figures with the promises of the scenario.

    Args:
        scenario: The scenario that was run.
        outcome: The figures of the run.

    Yields:
        One result per promise. A figure below zero means that the awaited
        state was never reached, which breaks the promise.
    """
    for promise in scenario.promises:
        yield PromiseResult(promise, getattr(outcome, promise.figure))


async def _run(
    scenario: Scenario, seed: int, vm_factory: VmFactory
) -> ScenarioOutcome:
    deployment = MemoryDeployment(scenario, seed, vm_factory)
    observer = Observer(scenario, deployment)
    with _collect_failures(deployment):
        await deployment.open()
        async with _run_in_background(
            deployment.refresh_fabric(), observer.run()
        ):
            await _run_timeline(scenario, deployment, random.Random(seed))
        outcome = compute_outcome(scenario, deployment, observer)
        await deployment.close()
    return outcome


async def _run_timeline(
    scenario: Scenario, deployment: MemoryDeployment, randomness: random.Random
) -> None:
    """Open the flows and apply the events until the scenario ends."""
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    planner = _FlowPlanner(scenario, randomness)
    loads = (_open_flows(one, deployment, planner) for one in scenario.loads)
    events = (_apply_event(one, deployment, start_s) for one in scenario.events)
    async with _run_in_background(*loads, *events) as tasks:
        await asyncio.sleep(scenario.duration_s)
        unfinished = [one for one in tasks if not one.done()]
        deployment.history.failures.extend(
            f'{one} has not ended' for one in unfinished
        )


async def _apply_event(
    event: Event, deployment: MemoryDeployment, start_s: float
) -> None:
    loop = asyncio.get_running_loop()
    await asyncio.sleep(start_s + event.at_s - loop.time())
    try:
        await event.apply(deployment)
    except (HibiscushatchError, LookupError) as error:
        deployment.history.failures.append(f'{event}: {error!r}')


async def _open_flows(
    load: LoadSpec, deployment: MemoryDeployment, planner: '_FlowPlanner'
) -> None:
    """Open the flows of one load statement at even intervals with jitter."""
    loop = asyncio.get_running_loop()
    start_s = loop.time() + load.from_s
    interval_s = 1 / load.new_flows_per_s
    for index in range(
        round(load.new_flows_per_s * (load.until_s - load.from_s))
    ):
        due_s = start_s + (index + planner.randomness.random()) * interval_s
        await asyncio.sleep(max(0, due_s - loop.time()))
        deployment.callers.open(planner.plan_flow(load))


class _FlowPlanner:
    """Plans flows; each has its own pair of caller address and port."""

    def __init__(self, scenario: Scenario, randomness: random.Random) -> None:
        self.randomness = randomness
        self._services = {
            service.name: service for service in scenario.services
        }
        self._service_names = tuple(self._services)
        self._used_callers: set[tuple[int, int]] = set()
        self._flow_count = 0

    def plan_flow(self, load: LoadSpec) -> FlowPlan:
        """Plan the next flow of a load."""
        self._flow_count += 1
        service = self._services[load.service]
        return FlowPlan(
            flow_id=self._flow_count,
            service_name=service.name,
            service_id=self._service_names.index(service.name),
            service=_service_address(service),
            caller=self._draw_caller(),
            protocol=PROTOCOL_NUMBERS[service.protocol],
            requests=max(
                1, round(load.flow_length_s / load.request_interval_s)
            ),
            gap_s=load.request_interval_s,
            request_segments=load.request_segments,
            answer_segments=load.answer_segments,
        )

    def _draw_caller(self) -> tuple[int, int]:
        while True:
            address = CALLER_NETWORK + self.randomness.getrandbits(
                CALLER_HOST_BITS
            )
            port = self.randomness.randint(FIRST_CALLER_PORT, LAST_CALLER_PORT)
            if (address, port) not in self._used_callers:
                self._used_callers.add((address, port))
                return (address, port)


def _service_address(service: ServiceSpec) -> tuple[int, int]:
    octets = (int(octet) for octet in service.address.split('.'))
    return (int.from_bytes(bytes(octets), 'big'), service.port)


@contextlib.contextmanager
def _collect_failures(deployment: MemoryDeployment) -> Iterator[None]:
    """Record exceptions in tasks and callbacks of entry VMs as failures."""
    handler = _FailureHandler(deployment.history, level=logging.ERROR)
    logger = logging.getLogger(NODE_LOGGER)
    logger.addHandler(handler)
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(handler.record_loop_error)
    try:
        yield
    finally:
        loop.set_exception_handler(None)
        logger.removeHandler(handler)


class _FailureHandler(logging.Handler):
    """Records errors as failures in the history of a run."""

    def __init__(self, history: History, level: int) -> None:
        super().__init__(level)
        self._history = history

    def emit(self, record: logging.LogRecord) -> None:
        """Record an error that was logged."""
        error = record.exc_info[1] if record.exc_info else None
        self._add_failure(record.getMessage(), error)

    def record_loop_error(
        self, _: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Record an exception that reached the event loop."""
        self._add_failure(context['message'], context.get('exception'))

    def _add_failure(self, message: str, error: BaseException | None) -> None:
        place = ''
        if error is not None and error.__traceback__ is not None:
            frame = traceback.extract_tb(error.__traceback__)[-1]
            place = f' at {pathlib.Path(frame.filename).name}:{frame.lineno}'
        self._history.failures.append(f'{message}: {error!r}{place}')


@contextlib.asynccontextmanager
async def _run_in_background(
    *coroutines: Coroutine[Any, Any, None],
) -> AsyncIterator[list[asyncio.Task[None]]]:
    """Run coroutines as tasks; cancel them when the context ends."""
    tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
    try:
        yield tasks
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
