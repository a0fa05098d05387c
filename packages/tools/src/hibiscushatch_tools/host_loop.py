"""An event loop in virtual time whose callbacks belong to hosts.

A host is one simulated machine. Its tasks, timers and received packets run in
the host's own context, by which the loop knows the host of each callback. While
a host is frozen, none of its callbacks run. When it is thawed, overdue timers
fire late and its clock has jumped ahead. A killed host runs no callbacks until
the run ends and its tasks are cancelled.
"""

import asyncio
import contextvars
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from hibiscushatch_tools.virtual_time import VirtualTimeLoop

ResultT = TypeVar('ResultT')
Callback = Callable[..., object]


class _HostCallback:
    """A callback that runs only while its host is running."""

    def __init__(
        self, host: 'Host', callback: Callback, args: tuple[object, ...]
    ) -> None:
        self.handle: asyncio.Handle | None = None
        self._host = host
        self._callback = callback
        self._args = args

    def __call__(self) -> None:
        """Run the callback, or hold it until the host is thawed."""
        if self._host.running:
            self._callback(*self._args)
        else:
            self._host.hold(self)

    def resume(self) -> None:
        """Run the callback unless it was cancelled while it was held."""
        if self.handle is None or not self.handle.cancelled():
            self()


class Host:
    """One simulated machine.

    Attributes:
        name: Name of the host.
        domain: Failure domain of the host.
        alive: False once the host was killed.
        frozen: Whether the host is paused.
        is_shutting_down: Whether the run is over. Callbacks then run even on
            a killed or frozen host, so that its tasks can be cancelled.
        context: Context variables in which the host's callbacks run.
    """

    def __init__(self, name: str, domain: str) -> None:
        self.name = name
        self.domain = domain
        self.alive = True
        self.frozen = False
        self.is_shutting_down = False
        self.context = contextvars.copy_context()
        self.context.run(_current_host.set, self)
        self._held_callbacks: list[_HostCallback] = []

    @property
    def running(self) -> bool:
        """Whether the host's callbacks may run now."""
        return self.is_shutting_down or (self.alive and not self.frozen)

    def kill(self) -> None:
        """Stop the host for good, without notifying anybody."""
        self.alive = False

    def freeze(self) -> None:
        """Pause the host."""
        self.frozen = True

    def thaw(self) -> None:
        """Resume the host and run the held callbacks in order."""
        self.frozen = False
        self._release()

    def shut_down(self) -> None:
        """Let callbacks run so that tasks can be cancelled after the run."""
        self.alive = False
        self.is_shutting_down = True
        self._release()

    def hold(self, callback: _HostCallback) -> None:
        """Keep a callback until the host is thawed or the run ends."""
        self._held_callbacks.append(callback)

    def create_task(
        self, coroutine: Coroutine[Any, Any, ResultT]
    ) -> asyncio.Task[ResultT]:
        """Run a coroutine as a task of this host."""
        loop = asyncio.get_running_loop()
        return loop.create_task(coroutine, context=self.context)

    def _release(self) -> None:
        held_callbacks = self._held_callbacks
        self._held_callbacks = []
        loop = asyncio.get_running_loop()
        for callback in held_callbacks:
            loop.call_soon(callback.resume, context=self.context)


_current_host: contextvars.ContextVar[Host | None] = contextvars.ContextVar(
    'current_host', default=None
)


class HostLoop(VirtualTimeLoop):
    """Runs each callback only while the host that it belongs to is running."""

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
        host_callback = _HostCallback(host, callback, args)
        host_callback.handle = asyncio.Handle(host_callback, (), self, context)
        host.hold(host_callback)
        return host_callback.handle

    def call_at(
        self,
        when: float,
        callback: Callback,
        *args: object,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule a timer; it is held if its host is paused when it is due."""
        host = _host_of(context)
        if host is None:
            return super().call_at(when, callback, *args, context=context)
        host_callback = _HostCallback(host, callback, args)
        timer = super().call_at(when, host_callback, context=context)
        host_callback.handle = timer
        return timer


def _host_of(context: contextvars.Context | None) -> Host | None:
    if context is None:
        return _current_host.get()
    return context.get(_current_host)


def run_on_host_loop(main: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run a coroutine to completion on a HostLoop.

    Args:
        main: The coroutine. It belongs to no host and must shut down every
            host.

    Returns:
        The result of the coroutine.
    """
    with asyncio.Runner(loop_factory=HostLoop) as runner:
        return runner.run(main)
