"""Runs a scenario on the stage in memory, the same way for the same seed."""

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
CALLER_NETWORK = 0x0A100000
CALLER_BITS = 20
CALLER_PORT_FIRST = 1024
CALLER_PORT_LAST = 65535


@dataclasses.dataclass(frozen=True, slots=True)
class PromiseResult:
    """A promise with the figure that was measured."""

    promise: Promise
    figure: float

    @property
    def holds(self) -> bool:
        """Whether the promise was kept."""
        never = self.figure < 0
        kept = self.promise.comparison.holds(self.figure, self.promise.bound)
        return kept and not never


def run_scenario(
    scenario: Scenario,
    seed: int | None = None,
    vm_factory: VmFactory = EntryVm,
) -> ScenarioOutcome:
    """Run a scenario in virtual time.

    Args:
        scenario: What to run.
        seed: Of all randomness; the scenario's own when None.
        vm_factory: Makes an entry VM; variants pass their own.

    Returns:
        The figures, which are the same each time for the same seed.
    """
    chosen = scenario.seed if seed is None else seed
    return host_loop.run_on_host_loop(_run(scenario, chosen, vm_factory))


def check_promises(
    scenario: Scenario, outcome: ScenarioOutcome
) -> Iterator[PromiseResult]:
    """Compare the figures with what the scenario promises.

    Args:
        scenario: What was run.
        outcome: Its figures.

    Yields:
        One result a promise; a figure below zero means never and fails.
    """
    for promise in scenario.promises:
        yield PromiseResult(promise, getattr(outcome, promise.figure))


async def _run(
    scenario: Scenario, seed: int, vm_factory: VmFactory
) -> ScenarioOutcome:
    stage = MemoryDeployment(scenario, seed, vm_factory)
    observer = Observer(scenario, stage)
    with _collected_failures(stage):
        await stage.open()
        async with _background(stage.refresh_fabric(), observer.run()):
            await _play(scenario, stage, random.Random(seed))
        outcome = compute_outcome(scenario, stage, observer)
        await stage.close()
    return outcome


async def _play(
    scenario: Scenario, stage: MemoryDeployment, randomness: random.Random
) -> None:
    """Play the load and the events until the end of the scenario."""
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    plans = _Plans(scenario, randomness)
    loads = (_play_load(one, stage, plans) for one in scenario.loads)
    events = (_play_event(one, stage, start_s) for one in scenario.events)
    async with _background(*loads, *events) as tasks:
        await asyncio.sleep(scenario.duration_s)
        late = [one for one in tasks if not one.done()]
        stage.history.failures.extend(f'{one} has not ended' for one in late)


async def _play_event(
    event: Event, stage: MemoryDeployment, start_s: float
) -> None:
    loop = asyncio.get_running_loop()
    await asyncio.sleep(start_s + event.at_s - loop.time())
    try:
        await event.play(stage)
    except (HibiscushatchError, LookupError) as error:
        stage.history.failures.append(f'{event}: {error!r}')


async def _play_load(
    load: LoadSpec, stage: MemoryDeployment, plans: '_Plans'
) -> None:
    """Open the flows of one load statement, evenly with some jitter."""
    loop = asyncio.get_running_loop()
    start_s = loop.time() + load.from_s
    interval_s = 1 / load.new_per_s
    for index in range(round(load.new_per_s * (load.until_s - load.from_s))):
        due_s = start_s + (index + plans.randomness.random()) * interval_s
        await asyncio.sleep(max(0, due_s - loop.time()))
        stage.callers.open(plans.make(load))


class _Plans:
    """Makes the plans of flows, each of a caller address and port its own."""

    def __init__(self, scenario: Scenario, randomness: random.Random) -> None:
        self.randomness = randomness
        self._services = {one.name: one for one in scenario.services}
        self._order = tuple(self._services)
        self._used: set[tuple[int, int]] = set()
        self._made = 0

    def make(self, load: LoadSpec) -> FlowPlan:
        """Make the plan of one flow."""
        self._made += 1
        service = self._services[load.service]
        return FlowPlan(
            flow_id=self._made,
            service_name=service.name,
            service_id=self._order.index(service.name),
            service=_service_address(service),
            caller=self._draw_caller(),
            protocol=PROTOCOL_NUMBERS[service.protocol],
            requests=max(1, round(load.length_s / load.every_s)),
            gap_s=load.every_s,
            request_segments=load.request_segments,
            answer_segments=load.answer_segments,
        )

    def _draw_caller(self) -> tuple[int, int]:
        while True:
            address = CALLER_NETWORK + self.randomness.getrandbits(CALLER_BITS)
            port = self.randomness.randint(CALLER_PORT_FIRST, CALLER_PORT_LAST)
            if (address, port) not in self._used:
                self._used.add((address, port))
                return (address, port)


def _service_address(service: ServiceSpec) -> tuple[int, int]:
    octets = (int(one) for one in service.address.split('.'))
    return (int.from_bytes(bytes(octets), 'big'), service.port)


@contextlib.contextmanager
def _collected_failures(stage: MemoryDeployment) -> Iterator[None]:
    """Note the exceptions that tasks and callbacks of entry VMs raise."""
    handler = _FailureHandler(stage.history, level=logging.ERROR)
    logger = logging.getLogger(NODE_LOGGER)
    logger.addHandler(handler)
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(handler.note)
    try:
        yield
    finally:
        loop.set_exception_handler(None)
        logger.removeHandler(handler)


class _FailureHandler(logging.Handler):
    """Notes errors in the history of a run."""

    def __init__(self, history: History, level: int) -> None:
        super().__init__(level)
        self._history = history

    def emit(self, record: logging.LogRecord) -> None:
        """Note an error that was logged."""
        error = record.exc_info[1] if record.exc_info else None
        self._add(record.getMessage(), error)

    def note(
        self, _: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Note an exception that reached the event loop."""
        self._add(context['message'], context.get('exception'))

    def _add(self, message: str, error: BaseException | None) -> None:
        place = ''
        if error is not None and error.__traceback__ is not None:
            frame = traceback.extract_tb(error.__traceback__)[-1]
            place = f' at {pathlib.Path(frame.filename).name}:{frame.lineno}'
        self._history.failures.append(f'{message}: {error!r}{place}')


@contextlib.asynccontextmanager
async def _background(
    *work: Coroutine[Any, Any, None],
) -> AsyncIterator[list[asyncio.Task[None]]]:
    """Run coroutines as tasks and cancel them at the end."""
    tasks = [asyncio.create_task(one) for one in work]
    try:
        yield tasks
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
