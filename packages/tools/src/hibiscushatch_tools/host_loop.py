"""An event loop in virtual time whose callbacks belong to hosts.

A host is one simulated machine. Everything that its tasks, timers and inputs
do runs in the host's context, so a frozen host does nothing at all until it is
thawed, when its timers fire late and its clock has jumped; a killed host does
nothing any more.
"""

import asyncio
import contextvars
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from hibiscushatch_tools.virtual_time import VirtualTimeLoop

ResultT = TypeVar('ResultT')
Callback = Callable[..., object]


class _GatedCall:
    """A callback that runs only while its host does."""

    def __init__(
        self, host: 'Host', callback: Callback, args: tuple[object, ...]
    ) -> None:
        self.handle: asyncio.Handle | None = None
        self._host = host
        self._callback = callback
        self._args = args

    def __call__(self) -> None:
        """Run now, or when the host is thawed."""
        if self._host.running:
            self._callback(*self._args)
        else:
            self._host.hold(self)

    def resume(self) -> None:
        """Run unless it was cancelled meanwhile."""
        if self.handle is None or not self.handle.cancelled():
            self()


class Host:
    """One simulated machine.

    Attributes:
        name: Its name.
        domain: Its failure domain.
        alive: False once it was killed.
        frozen: Whether it is paused.
        ending: Whether the run is over and tasks may end.
    """

    def __init__(self, name: str, domain: str) -> None:
        self.name = name
        self.domain = domain
        self.alive = True
        self.frozen = False
        self.ending = False
        self.context = contextvars.copy_context()
        self.context.run(_current_host.set, self)
        self._held: list[_GatedCall] = []

    @property
    def running(self) -> bool:
        """Whether its callbacks may run now."""
        return self.ending or (self.alive and not self.frozen)

    def kill(self) -> None:
        """Stop it for good, without a word to anybody."""
        self.alive = False

    def freeze(self) -> None:
        """Pause it."""
        self.frozen = True

    def thaw(self) -> None:
        """Resume it: what came due meanwhile runs now, in order."""
        self.frozen = False
        self._release()

    def end(self) -> None:
        """Let its tasks be cancelled at the end of the run."""
        self.alive = False
        self.ending = True
        self._release()

    def hold(self, call: _GatedCall) -> None:
        """Keep a callback until the host is thawed or the run ends."""
        self._held.append(call)

    def start(
        self, work: Coroutine[Any, Any, ResultT]
    ) -> asyncio.Task[ResultT]:
        """Run a coroutine as a task of this host."""
        loop = asyncio.get_running_loop()
        return loop.create_task(work, context=self.context)

    def _release(self) -> None:
        held = self._held
        self._held = []
        loop = asyncio.get_running_loop()
        for call in held:
            loop.call_soon(call.resume, context=self.context)


_current_host: contextvars.ContextVar[Host | None] = contextvars.ContextVar(
    'current_host', default=None
)


class HostLoop(VirtualTimeLoop):
    """Runs callbacks only while the host they belong to is running."""

    def call_soon(
        self,
        callback: Callback,
        *args: object,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """Schedule a callback, or hold it while its host is paused."""
        host = _host_of(context)
        if host is None or host.running:
            return super().call_soon(callback, *args, context=context)
        gated = _GatedCall(host, callback, args)
        gated.handle = asyncio.Handle(gated, (), self, context)
        host.hold(gated)
        return gated.handle

    def call_at(
        self,
        when: float,
        callback: Callback,
        *args: object,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule a timer whose host may be paused when it comes due."""
        host = _host_of(context)
        if host is None:
            return super().call_at(when, callback, *args, context=context)
        gated = _GatedCall(host, callback, args)
        timer = super().call_at(when, gated, context=context)
        gated.handle = timer
        return timer


def _host_of(context: contextvars.Context | None) -> Host | None:
    if context is None:
        return _current_host.get()
    return context.get(_current_host)


def run_on_hosts(main: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run a coroutine to its end on a HostLoop.

    Args:
        main: The coroutine; it belongs to no host and ends every host.

    Returns:
        What it returned.
    """
    with asyncio.Runner(loop_factory=HostLoop) as runner:
        return runner.run(main)
