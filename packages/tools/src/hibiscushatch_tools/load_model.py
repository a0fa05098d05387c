"""Loads that are played against the decisions of entry VMs.

A load is a JSON document: who asks for what, which upstreams there are, and
what happens to them. It describes one service.
"""

import pathlib
from typing import Annotated, Literal

import msgspec

from hibiscushatch_core.errors import FieldProblem, InvalidDocumentError

_Positive = Annotated[float, msgspec.Meta(gt=0)]
_NotNegative = Annotated[float, msgspec.Meta(ge=0)]
_Part = Annotated[float, msgspec.Meta(ge=0, le=1)]
_Count = Annotated[int, msgspec.Meta(ge=1)]
_NoneOrMore = Annotated[int, msgspec.Meta(ge=0)]


class RequestKind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of request; each has a route of its own.

    Attributes:
        name: Its name in tables.
        share: Its part of all requests, against those of the other kinds.
        work_s: Mean time that a slot works on it.
        aim_s: Within what time callers want it answered.
        timeout_s: When callers give up.
        priority: Which requests come first; 0 is first.
        worth: What a request in time is worth.
        late_worth: What a late one is worth.
        may_repeat: Whether callers ask again after an error.
    """

    name: str
    share: _Positive
    work_s: _Positive
    aim_s: _Positive
    timeout_s: _Positive
    priority: _NoneOrMore = 0
    worth: _Positive = 1.0
    late_worth: _NotNegative = 0.3
    may_repeat: bool = True


class Domain(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One failure domain.

    Attributes:
        name: Its name.
        entry_vms: How many entry VMs it has.
        upstreams: How many upstreams it has.
        callers: Its part of the callers, against those of other domains.
    """

    name: str
    entry_vms: _Count
    upstreams: _NoneOrMore
    callers: _NotNegative = 1.0


class Surge(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A time in which more callers come, or fewer.

    Attributes:
        from_s: When it begins.
        until_s: When it ends.
        factor: How many times as many requests come at its end.
        is_ramp: Whether their number grows evenly from the usual one.
        domains: Whose callers come; all when empty.
    """

    from_s: _NotNegative
    until_s: _Positive
    factor: _Positive
    is_ramp: bool = False
    domains: tuple[str, ...] = ()


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Upstreams that fail for some time, or entry VMs without power.

    Attributes:
        kind: ``gone``: opening packets get no answer; ``mute``: flows are
            accepted and requests never answered; ``errors``: requests are
            answered with an error at once; ``slow``: the work takes longer;
            ``power``: all entry VMs are away and start anew.
        from_s: When it begins.
        until_s: When it ends.
        upstreams: How many upstreams, taken in turn from the domains.
        share: The part of their requests that fails.
        factor: How many times as long slow work takes.
    """

    kind: Literal['gone', 'mute', 'errors', 'slow', 'power']
    from_s: _NotNegative
    until_s: _Positive
    upstreams: _NoneOrMore = 1
    share: _Part = 1.0
    factor: _Positive = 5.0


class Load(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Callers, upstreams and entry VMs, and what happens to them.

    Attributes:
        name: Its name in tables.
        utilization: The part of the time of all slots that requests take
            while nothing happens.
        kinds: What is asked for.
        domains: Where entry VMs, upstreams and callers are.
        slots: How many requests an upstream works on at a time.
        queue: How many more wait there; it rejects those beyond.
        judged: Seconds from and to which requests are counted.
        length_s: How long the load is played.
        work_spread: Sigma of the lognormal spread of the work.
        wave: Part by which the number of callers rises and falls.
        wave_s: Time from one crest of that wave to the next.
        surges: Times in which more callers come.
        faults: What fails.
    """

    name: str
    utilization: _Positive
    kinds: Annotated[tuple[RequestKind, ...], msgspec.Meta(min_length=1)]
    domains: Annotated[tuple[Domain, ...], msgspec.Meta(min_length=1)]
    slots: _Count
    judged: tuple[float, float]
    queue: _Count = 16
    length_s: _Positive = 10.0
    work_spread: _NotNegative = 0.5
    wave: _Part = 0.0
    wave_s: _Positive = 11.0
    surges: tuple[Surge, ...] = ()
    faults: tuple[Fault, ...] = ()

    @property
    def requests_per_s(self) -> float:
        """Requests a second while nothing happens."""
        shares = sum(one.share for one in self.kinds)
        work_s = sum(one.share * one.work_s for one in self.kinds) / shares
        upstreams = sum(one.upstreams for one in self.domains)
        return upstreams * self.slots * self.utilization / work_s


def read_load(path: pathlib.Path) -> Load:
    """Read and check a load.

    Args:
        path: A JSON file.

    Raises:
        InvalidDocumentError: When it can't be read or a field is wrong.
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=Load)
    except (OSError, msgspec.MsgspecError) as error:
        problem = FieldProblem('$', str(error))
        raise InvalidDocumentError(
            'reading a load', str(path), (problem,)
        ) from error
