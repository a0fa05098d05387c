"""Loads that are played against the decision code of entry VMs.

A load is a JSON document that describes one service: the requests of its
callers, its upstreams and entry VMs, the exchange of loads between entry VMs,
and the surges and faults that occur.
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
        requests_per_flow: Mean number of requests that a user sends on one
            flow, one at a time; above 1, flows are kept open between them.
        pause_max_s: Pause after which a flow that is kept open is not used
            any more.
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
    requests_per_flow: Annotated[float, msgspec.Meta(ge=1)] = 1.0
    pause_max_s: _PositiveFloat = 8.0

    @property
    def is_kept_open(self) -> bool:
        """Whether flows are kept open for further requests."""
        return self.requests_per_flow > 1


class Domain(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One failure domain.

    Attributes:
        name: Name of the domain.
        entry_vms: Number of entry VMs in the domain.
        upstreams: Number of upstreams in the domain.
        callers: Weight of the domain in the distribution of requests.
        addresses: Number of addresses that the requests come from.
        wave_phase: Offset of the domain's sine wave, as a fraction of its
            period.
    """

    name: str
    entry_vms: _PositiveInt
    upstreams: _NonNegativeInt
    callers: _NonNegativeFloat = 1.0
    addresses: _PositiveInt = 100
    wave_phase: _Fraction = 0.0


class HeavyCaller(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A further address that asks many times more often than others.

    Attributes:
        domain: Failure domain of the address.
        kind: Name of the kind of its requests.
        factor: Its request rate as a multiple of the mean request rate of an
            address of the domain, for requests of that kind.
        from_s: When it begins to ask.
    """

    domain: str
    kind: str
    factor: _PositiveFloat = 50.0
    from_s: _NonNegativeFloat = 0.0


class Exchange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How entry VMs learn of the load of the fleet.

    Attributes:
        is_on: Whether they learn of it at all.
        interval_s: Time between two sums.
        delay_s: Age of a sum when entry VMs receive it.
        covered: Share of the entry VMs whose load the sums include.
        until_s: Time of the last sum.
    """

    is_on: bool = True
    interval_s: _PositiveFloat = 0.2
    delay_s: _NonNegativeFloat = 0.5
    covered: _Fraction = 1.0
    until_s: _PositiveFloat = 3600.0


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
        raised_domains: Failure domains whose request rate the factor applies
            to; all domains if empty.
        raised_kinds: Names of the kinds of requests that the factor applies
            to; all kinds if empty.
    """

    from_s: _NonNegativeFloat
    until_s: _PositiveFloat
    factor: _PositiveFloat
    is_ramp: bool = False
    domains: tuple[str, ...] = ()
    raised_domains: tuple[str, ...] = ()
    raised_kinds: tuple[str, ...] = ()

    def __post_init__(self) -> None:
        """Check that the factor applies to domains or to kinds.

        Raises:
            ValueError: If both are given; the factor would apply twice.
        """
        if self.raised_domains and self.raised_kinds:
            raise ValueError('raised_domains and raised_kinds exclude another')


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A failure of upstreams, or a power failure of all entry VMs.

    Attributes:
        kind: ``gone``: opening packets get no answer; ``mute``: flows are
            accepted but requests are never answered; ``errors``: requests are
            answered with an error at once; ``slow``: the work takes longer;
            ``cold``: the upstreams are added at the start of the fault and
            are cold, so that their work takes longer, until its end;
            ``power``: all entry VMs are off and then start without state;
            ``frozen``: entry VMs do nothing, and then handle what has waited.
        from_s: Start of the fault.
        until_s: End of the fault.
        upstreams: Number of failing upstreams, taken from the domains in turn.
        share: Share of their requests that the fault affects; of the entry VMs
            if they are frozen.
        factor: Factor by which ``slow`` and ``cold`` lengthen the work.
        waiting_s: Time before the end of ``power`` in which packets wait in the
            sockets of the entry VMs, which are still starting.
    """

    kind: Literal['gone', 'mute', 'errors', 'slow', 'cold', 'power', 'frozen']
    from_s: _NonNegativeFloat
    until_s: _PositiveFloat
    upstreams: _NonNegativeInt = 1
    share: _Fraction = 1.0
    factor: _PositiveFloat = 5.0
    waiting_s: _NonNegativeFloat = 0.0


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
        users_per_address: Number of users of an address; each keeps its own
            flows open.
        cold_flows_per_s: New flows per second that a cold upstream can take;
            0 if no limit is stated.
        heavy_callers: Addresses that ask many times more often than others.
        exchange: How entry VMs learn of the load of the fleet.
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
    users_per_address: _PositiveInt = 3
    cold_flows_per_s: _NonNegativeFloat = 0.0
    heavy_callers: tuple[HeavyCaller, ...] = ()
    exchange: Exchange = Exchange()
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
