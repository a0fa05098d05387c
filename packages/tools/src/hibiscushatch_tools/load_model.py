"""Loads that are played against the decision code of entry VMs.

A load is a JSON document that describes one service: the requests of its
callers, its upstreams and entry VMs, and the surges and faults that occur.
"""

import pathlib
from typing import Annotated, Literal

import msgspec

from hibiscushatch_core.errors import FieldProblem, InvalidDocumentError

_PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]
_NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]
_Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
_PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
_NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]


class RequestKind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of request; each kind has its own route.

    Attributes:
        name: Name of the kind.
        share: Weight of the kind in the mix of requests.
        work_s: Mean time that a slot works on a request.
        aim_s: Latency target: the time within which callers want an answer.
        timeout_s: Time after which callers give up.
        priority: Priority of the route; 0 is the highest.
        worth: Worth of a request that is served within the latency target.
        late_worth: Worth of a request that is served later.
        may_repeat: Whether callers try again after an error.
    """

    name: str
    share: _PositiveFloat
    work_s: _PositiveFloat
    aim_s: _PositiveFloat
    timeout_s: _PositiveFloat
    priority: _NonNegativeInt = 0
    worth: _PositiveFloat = 1.0
    late_worth: _NonNegativeFloat = 0.3
    may_repeat: bool = True


class Domain(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One failure domain.

    Attributes:
        name: Name of the domain.
        entry_vms: Number of entry VMs in the domain.
        upstreams: Number of upstreams in the domain.
        callers: Weight of the domain in the distribution of callers.
    """

    name: str
    entry_vms: _PositiveInt
    upstreams: _NonNegativeInt
    callers: _NonNegativeFloat = 1.0


class Surge(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A period in which the request rate is multiplied by a factor.

    Attributes:
        from_s: Start of the period.
        until_s: End of the period.
        factor: Factor of the request rate; a factor below 1 lowers it.
        is_ramp: Whether the factor changes linearly from 1 at the start to
            ``factor`` at the end; otherwise it holds for the whole period.
        domains: Failure domains whose callers send the requests of the
            period; all domains if empty.
    """

    from_s: _NonNegativeFloat
    until_s: _PositiveFloat
    factor: _PositiveFloat
    is_ramp: bool = False
    domains: tuple[str, ...] = ()


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A failure of upstreams, or a power failure of all entry VMs.

    Attributes:
        kind: ``gone``: opening packets get no answer; ``mute``: flows are
            accepted but requests are never answered; ``errors``: requests are
            answered with an error at once; ``slow``: the work takes longer;
            ``power``: all entry VMs are off and then start without state.
        from_s: Start of the fault.
        until_s: End of the fault.
        upstreams: Number of failing upstreams, taken from the domains in turn.
        share: Share of their requests that the fault affects.
        factor: Factor by which ``slow`` lengthens the work.
    """

    kind: Literal['gone', 'mute', 'errors', 'slow', 'power']
    from_s: _NonNegativeFloat
    until_s: _PositiveFloat
    upstreams: _NonNegativeInt = 1
    share: _Fraction = 1.0
    factor: _PositiveFloat = 5.0


class Load(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Callers, upstreams and entry VMs, with surges and faults.

    Attributes:
        name: Name of the load in tables.
        utilization: Share of the time of all slots that requests take without
            surges and faults.
        kinds: The kinds of requests.
        domains: The failure domains.
        slots: Number of requests that an upstream works on at a time.
        queue: Number of further requests that can wait at an upstream; it
            rejects any beyond them.
        judged: Start and end, in seconds, of the period whose requests count.
        length_s: Duration of the load.
        work_spread: Sigma of the lognormal distribution of the work.
        wave: Amplitude of a sine wave in the request rate, as a fraction of
            that rate.
        wave_s: Period of the wave.
        surges: Periods with another request rate.
        faults: Failures of upstreams and entry VMs.
    """

    name: str
    utilization: _PositiveFloat
    kinds: Annotated[tuple[RequestKind, ...], msgspec.Meta(min_length=1)]
    domains: Annotated[tuple[Domain, ...], msgspec.Meta(min_length=1)]
    slots: _PositiveInt
    judged: tuple[float, float]
    queue: _PositiveInt = 16
    length_s: _PositiveFloat = 10.0
    work_spread: _NonNegativeFloat = 0.5
    wave: _Fraction = 0.0
    wave_s: _PositiveFloat = 11.0
    surges: tuple[Surge, ...] = ()
    faults: tuple[Fault, ...] = ()

    @property
    def requests_per_s(self) -> float:
        """Mean requests per second without surges and faults."""
        total_share = sum(one.share for one in self.kinds)
        work_s = sum(one.share * one.work_s for one in self.kinds) / total_share
        upstreams = sum(one.upstreams for one in self.domains)
        return upstreams * self.slots * self.utilization / work_s


def read_load(path: pathlib.Path) -> Load:
    """Read and check a load.

    Args:
        path: Path of the JSON file.

    Raises:
        InvalidDocumentError: If the file cannot be read or a field is invalid.
    """
    try:
        return msgspec.json.decode(path.read_bytes(), type=Load)
    except (OSError, msgspec.MsgspecError) as error:
        problem = FieldProblem('$', str(error))
        raise InvalidDocumentError(
            'reading a load', str(path), (problem,)
        ) from error
