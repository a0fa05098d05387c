"""Settings of an entry VM with token affinity, read from a JSON file."""

from typing import Annotated

import msgspec

from hibiscushatch_core.errors import FieldProblem, InvalidDocumentError

_Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
_Fraction = Annotated[float, msgspec.Meta(ge=0, le=100)]
_Part = Annotated[float, msgspec.Meta(ge=0, le=1)]
_Rate = Annotated[float, msgspec.Meta(gt=0, le=100_000)]
_Count = Annotated[int, msgspec.Meta(ge=1)]
_Address = Annotated[
    str, msgspec.Meta(pattern=r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$')
]


class StoreSettings(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """Where the platform's store answers, and how it is read.

    Attributes:
        address: IPv4 address and port.
        call_timeout_s: Time for one answer; the store answers in some
            milliseconds, and a slow one in up to half a second.
        watch_wait_s: Longest wait of a watch. It bounds how long a watch on
            a connection that fell silent goes unnoticed, and how old the
            knowledge of a reader gets.
        fresh_s: An entry VM that nobody has told for this long that it is up
            to date reads the store itself; the shortest time in which a
            change has to be in force is 3 s.
        tries_per_s: How often all entry VMs together try to read a store
            that publishers can't read; one try in ten of its answers.
        outage_s: Time without reading the store after which entries may have
            lapsed meanwhile; they do after three heartbeats of an upstream.
        retry_min_s: First pause after a failed call.
        retry_max_s: Longest pause after failed calls.
        lapse_grace_s: How long entries that vanished while the store was
            away are still used after its return.
    """

    address: _Address
    call_timeout_s: _Seconds = 1.0
    watch_wait_s: _Seconds = 0.7
    fresh_s: _Seconds = 2.0
    tries_per_s: _Rate = 20.0
    outage_s: _Seconds = 2.5
    retry_min_s: _Seconds = 0.1
    retry_max_s: _Seconds = 0.5
    lapse_grace_s: _Seconds = 2.2


class PlacementSettings(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """How new flows are placed.

    Attributes:
        remote_cost: What another failure domain costs, in flows per slot.
        cold_cost: What a cold upstream costs, in flows per slot.
        doubt_cost: What an upstream costs that left an opening packet
            unanswered a moment ago, in flows per slot.
        slow_cost: What an upstream costs that answers requests slowly or is
            ejected, in flows per slot.
        retry_after_s: When an opening packet without an answer is sent to
            another upstream; the longest round trip between caller and
            upstream is 20 ms.
        copy_gap_s: A copy of an opening packet this long after the last one
            means that no answer came; callers wait 200 ms.
        idle_s: A flow without packets for this long no longer counts as
            outstanding.
    """

    remote_cost: _Fraction = 0.7
    cold_cost: _Fraction = 0.5
    doubt_cost: _Fraction = 1.0
    slow_cost: _Fraction = 3.0
    retry_after_s: _Seconds = 0.05
    copy_gap_s: _Seconds = 0.15
    idle_s: _Seconds = 1.0


class AdmissionSettings(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """When new flows of an overloaded service are refused.

    Attributes:
        aim_share: The part of the shortest aim that a flow may take on
            average; the work of requests differs, and most should be in time.
        flows_per_slot: Flows for each slot that may be open: one that is
            worked on, two that wait, as traffic is not spread evenly over
            upstreams and entry VMs.
        priority_step: Factor of the limit for each step of lower priority.
        delay_share: The part of the shortest aim that responses have to take
            before flows beyond the limit are refused.
        slow_factor: Or how many times as long as usual, where that is less.
        sure_factor: Flows beyond this many limits are refused whatever
            responses take, as responses tell of an overload when it has
            lasted for as long as they take.
        responses: Over how many responses their time is averaged.
        rate_half_life_s: Time in which half of the requests that were served
            are forgotten: some responses of a busy entry VM.
        warm_up_s: Time after a start in which nothing is refused: callers who
            waited for it try for 1.4 s, and their flows are deferred for up
            to 0.6 s.
    """

    aim_share: _Fraction = 0.7
    flows_per_slot: _Fraction = 3.0
    priority_step: _Part = 0.7
    delay_share: _Part = 0.5
    slow_factor: _Fraction = 2.2
    sure_factor: _Fraction = 3.0
    responses: _Fraction = 16.0
    rate_half_life_s: _Seconds = 0.35
    warm_up_s: _Seconds = 2.0


class RelaySettings(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """How many entry VMs a publisher tells of changes itself.

    Attributes:
        here: Relays in its own failure domain: a third of the 70 subscribers
            with which 16 KB a second are reached (docs/CAPACITY.md).
        elsewhere: Relays in each other failure domain: two, as one may be
            gone.
    """

    here: _Count = 24
    elsewhere: _Count = 2


class OutlierSettings(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """When an upstream is ejected whose requests fail.

    Attributes:
        failures_min: How many failures of late an outlier has beyond a
            multiple of what is usual for the service; one may be chance.
        failures_ratio: That multiple.
        half_life_s: Time in which half of the failures are forgotten; a
            service with 100 requests a second at 7 upstreams gives ten of
            each.
        ejection_min_s: How long a first ejection lasts.
        ejection_max_s: How long an ejection lasts at most.
        ejection_memory_s: How long after its end the next one is longer.
        probation_s: How long after its end one failure ejects again.
        share_max: The part of a service's upstreams that may be ejected.
        domain_share_max: The part of its upstreams in one failure domain.
    """

    failures_min: _Fraction = 2.0
    failures_ratio: _Fraction = 4.0
    half_life_s: _Seconds = 1.0
    ejection_min_s: _Seconds = 4.0
    ejection_max_s: _Seconds = 30.0
    ejection_memory_s: _Seconds = 30.0
    probation_s: _Seconds = 2.0
    share_max: _Part = 1 / 3
    domain_share_max: _Part = 0.5


class TokenNodeSettings(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """Everything one entry VM with token affinity is told.

    Attributes:
        name: Its name.
        domain: Its failure domain.
        packets: UDP address of the packets of callers.
        readiness: HTTP address of the readiness check.
        readiness_path: Path of the readiness check.
        control: UDP and HTTP address for other entry VMs.
        publishers: Control addresses of the entry VMs that read the store
            for the others; those that are away do no harm.
        metrics: HTTP address of the metrics.
        store: The platform's store.
        relays: How many entry VMs a publisher tells of changes itself.
        placement: How new flows are placed.
        outliers: When an upstream is ejected whose requests fail.
        admission: When new flows of an overloaded service are refused.
        stop_grace_s: Time from SIGTERM to SIGKILL.
        rotation_s: Time that the fabric takes to notice that the readiness
            check fails: two checks at two a second, and packets under way.
        flow_age_max_s: Oldest flow that has to be carried.
        log_level: Least level of log lines.
        log_lines_per_s: Log lines a second beyond which lines are dropped.
        random_seed: Seed of placement; drawn when absent.
    """

    name: str
    domain: str
    packets: _Address
    readiness: _Address
    readiness_path: str = '/ready'
    control: _Address
    publishers: list[_Address] = []
    metrics: _Address
    store: StoreSettings
    relays: RelaySettings = RelaySettings()
    placement: PlacementSettings = PlacementSettings()
    outliers: OutlierSettings = OutlierSettings()
    admission: AdmissionSettings = AdmissionSettings()
    stop_grace_s: _Seconds = 6.0
    rotation_s: _Seconds = 1.4
    flow_age_max_s: _Seconds = 60.0
    log_level: str = 'INFO'
    log_lines_per_s: _Count = 200
    random_seed: int | None = None

    @property
    def is_publisher(self) -> bool:
        """Whether this entry VM reads the store for others."""
        return self.control in self.publishers


def read_settings(path: str) -> TokenNodeSettings:
    """Read and validate the settings file.

    Args:
        path: A JSON file.

    Returns:
        The settings.

    Raises:
        InvalidDocumentError: When it can't be read or a field is wrong.
    """
    try:
        with open(path, 'rb') as document:
            return msgspec.json.decode(document.read(), type=TokenNodeSettings)
    except (OSError, msgspec.MsgspecError) as error:
        problem = FieldProblem('$', str(error))
        raise InvalidDocumentError(
            'reading settings', path, (problem,)
        ) from error


def socket_address(text: str) -> tuple[str, int]:
    """Split an address such as ``10.0.0.1:443`` for the socket module."""
    host, _, port = text.rpartition(':')
    return host, int(port)


def changed_fields(
    before: TokenNodeSettings, after: TokenNodeSettings
) -> list[str]:
    """Name the fields that differ."""
    return [
        name
        for name in before.__struct_fields__
        if getattr(before, name) != getattr(after, name)
    ]
