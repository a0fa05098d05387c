"""Settings of an entry VM with token affinity, read from a JSON file."""

from typing import Annotated

import msgspec

from hibiscushatch_core.errors import (
    FieldProblem,
    IncompleteDocumentError,
    InvalidDocumentError,
)

_Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
_UpToHundred = Annotated[float, msgspec.Meta(ge=0, le=100)]
_Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
_HoldShare = Annotated[float, msgspec.Meta(ge=0, le=0.25)]
_Rate = Annotated[float, msgspec.Meta(gt=0, le=100_000)]
_Count = Annotated[int, msgspec.Meta(ge=1)]
_Address = Annotated[
    str, msgspec.Meta(pattern=r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$')
]


class StoreSettings(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """The address of the platform's store, and how it is read.

    Attributes:
        address: IPv4 address and port.
        call_timeout_s: Timeout of one call. The store answers within some
            milliseconds, and when it is slow within half a second.
        watch_wait_s: Longest wait of a watch. It limits how long a watch on
            an unresponsive connection goes unnoticed, and how old a reader's
            knowledge of the store gets.
        fresh_s: An entry VM reads the store itself if no other entry VM has
            confirmed for this long that its knowledge is up to date. The
            default is less than 3 s, the shortest time in which a change has
            to be in force.
        tries_per_s: How often all entry VMs together try to read a store
            that publishers can't read. By default they try once in the time
            that ten answers of the store take, at some 5 ms each.
        outage_s: Time without reading the store after which entries may have
            lapsed in the meantime. An entry lapses after three missed
            heartbeats of its upstream.
        retry_min_s: First pause after a failed call.
        retry_max_s: Longest pause after repeated failed calls.
        lapse_grace_s: How long entries that disappeared during an outage of
            the store, or that an older copy of the store lacks, are still used
            after its return.
        registration_lapse_s: Time after a return from an older copy in which
            the entry of an upstream that has ended is certain to lapse: three
            heartbeats of the upstream, the first of them late.
        operator_rewrite_s: Time after a return from an older copy in which
            operators write again what the copy lacks.
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
    registration_lapse_s: _Seconds = 6.0
    operator_rewrite_s: _Seconds = 10.0


class PlacementSettings(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """How new flows are placed.

    Attributes:
        remote_cost: Penalty of an upstream in another failure domain, in
            flows per slot. The upstream with the fewest outstanding flows per
            slot, penalties included, gets a new flow.
        cold_cost: Penalty of a cold upstream, in flows per slot.
        doubt_cost: Penalty of an upstream that recently left an opening
            packet unanswered, in flows per slot.
        slow_cost: Penalty of an upstream that responds slowly or is ejected,
            in flows per slot.
        retry_after_s: Time after which an unanswered opening packet is sent
            to another upstream. The longest round trip between caller and
            upstream is 20 ms.
        copy_gap_s: If a copy arrives at least this long after the opening
            packet or copy before it, the caller has received no answer.
            Callers wait 200 ms before they send a copy.
        idle_s: Time without packets after which a flow no longer counts as
            outstanding.
    """

    remote_cost: _UpToHundred = 0.7
    cold_cost: _UpToHundred = 0.5
    doubt_cost: _UpToHundred = 1.0
    slow_cost: _UpToHundred = 3.0
    retry_after_s: _Seconds = 0.05
    copy_gap_s: _Seconds = 0.15
    idle_s: _Seconds = 1.0


class AdmissionSettings(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """When new flows of an overloaded service are refused.

    Attributes:
        aim_share: Share of a service's shortest latency target that a flow
            may take on average. It is below 1 because the work of requests
            differs and most of them should be in time.
        flows_per_slot: Flows that may be open for each slot: one that is
            worked on and two that wait, since traffic is not spread evenly
            over upstreams and entry VMs.
        priority_step: Factor by which the limit is multiplied for each step
            of lower priority.
        delay_share: Flows beyond the limit are refused only if responses take
            at least this share of the shortest latency target, or
            ``slow_factor`` times the baseline if that is less.
        slow_factor: The factor of the baseline; see ``delay_share``.
        sure_factor: Flows beyond this multiple of the limit are refused
            however long responses take, since response times show an overload
            only after it has lasted as long as a response takes.
        responses: Number of responses over which response times are averaged.
        rate_half_life_s: Half-life of the count of served requests, from
            which their rate is computed. A busy entry VM receives some
            responses in this time.
        warm_up_s: Time after a start in which no flow is refused. Callers who
            waited for the start try for 1.4 s, and their flows are deferred
            for up to 0.6 s.
    """

    aim_share: _UpToHundred = 0.7
    flows_per_slot: _UpToHundred = 3.0
    priority_step: _Share = 0.7
    delay_share: _Share = 0.5
    slow_factor: _UpToHundred = 2.2
    sure_factor: _UpToHundred = 3.0
    responses: _UpToHundred = 16.0
    rate_half_life_s: _Seconds = 0.35
    warm_up_s: _Seconds = 2.0


class RelaySettings(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """How many entry VMs a publisher notifies of changes itself.

    Attributes:
        here: Relays in its own failure domain. The default is a third of the
            70 subscribers at which 16 KB a second are reached
            (docs/CAPACITY.md).
        elsewhere: Relays in each other failure domain. The default is two,
            since one may have failed.
    """

    here: _Count = 24
    elsewhere: _Count = 2


class OutlierSettings(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """When an upstream is ejected whose requests fail.

    Attributes:
        failures_min: An upstream is an outlier if its count of recent
            failures is at least this number plus ``failures_ratio`` times the
            baseline of the service. A single failure may be chance.
        failures_ratio: The factor of the baseline; see ``failures_min``.
        half_life_s: Half-life of the count of failures. In the default time,
            a service with 100 requests a second and 7 upstreams shows more
            than ten requests of each upstream.
        ejection_min_s: Duration of a first ejection.
        ejection_max_s: Longest duration of an ejection.
        ejection_memory_s: Time after the end of an ejection in which another
            ejection of the upstream lasts longer than the one before.
        probation_s: Time after the end of an ejection in which one failure
            beyond the multiple of the baseline ejects the upstream again.
        share_max: Largest share of a service's upstreams that may be ejected.
        domain_share_max: Largest share of a service's upstreams in one
            failure domain that may be ejected.
    """

    failures_min: _UpToHundred = 2.0
    failures_ratio: _UpToHundred = 4.0
    half_life_s: _Seconds = 1.0
    ejection_min_s: _Seconds = 4.0
    ejection_max_s: _Seconds = 30.0
    ejection_memory_s: _Seconds = 30.0
    probation_s: _Seconds = 2.0
    share_max: _Share = 1 / 3
    domain_share_max: _Share = 0.5


class LoadSettings(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """How entry VMs tell each other their load.

    Attributes:
        is_exchanged: Whether this entry VM reports and announces load.
        rate_half_life_s: Half-life of the counts from which rates are computed.
        fresh_s: Age from which sums over the fleet are not used any more.
        report_s: Shortest time between two reports or announcements of load
            while a service is under pressure. At rest they travel with the
            messages that are sent anyway.
        pressure_on: Requests under way per slot of a service from which it
            counts as under pressure.
        bytes_per_s: Most bytes a second that an entry VM spends on them.
        rows_max: Most rows in one message.
    """

    is_exchanged: bool = True
    rate_half_life_s: _Seconds = 0.5
    fresh_s: _Seconds = 2.0
    report_s: _Seconds = 0.2
    pressure_on: _UpToHundred = 0.8
    bytes_per_s: _Rate = 6000.0
    rows_max: _Count = 32


class BacklogSettings(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """How requests that waited at an interruption are served.

    Attributes:
        is_ordered: Whether packets that waited are handled by the time that
            their callers have left rather than in the order they arrived.
        requests_per_slot: Requests under way per slot of a service from which
            its slots count as scarce, by the sums over the fleet.
        settle_s: Sums count from this time after an interruption, when its
            backlog has reached the upstreams.
        hold_share: Share of its latency target for which a late request on an
            open flow is held back while slots are scarce; 0 for never.
        held_max: Flows that may wait before no more requests are held back.
    """

    is_ordered: bool = True
    requests_per_slot: _UpToHundred = 1.0
    settle_s: _Seconds = 0.3
    hold_share: _HoldShare = 0.25
    held_max: _Count = 2000


class TokenNodeSettings(
    msgspec.Struct, kw_only=True, frozen=True, forbid_unknown_fields=True
):
    """All settings of one entry VM with token affinity.

    Attributes:
        name: Its name.
        domain: Its failure domain.
        packets: UDP address at which callers' packets are received.
        readiness: HTTP address of the readiness check.
        readiness_path: Path of the readiness check.
        control: UDP and HTTP address for messages of other entry VMs.
        publishers: Control addresses of the entry VMs that read the store for
            the others. Addresses without a running entry VM do no harm.
        metrics: HTTP address of the metrics and the status.
        store: The platform's store.
        relays: How many entry VMs a publisher notifies of changes itself.
        placement: How new flows are placed.
        outliers: When an upstream is ejected whose requests fail.
        admission: When new flows of an overloaded service are refused.
        load: How entry VMs tell each other their load.
        backlog: How requests that waited at an interruption are served.
        stop_grace_s: Time from SIGTERM to SIGKILL.
        rotation_s: Time in which the fabric stops sending packets once the
            readiness check fails: two checks, at two checks a second, and
            the time that packets are under way.
        flow_age_max_s: Longest duration of a flow that has to be supported.
        log_level: Lowest level of the log lines that are written.
        log_lines_per_s: Most log lines written in a second; further lines are
            dropped.
        random_seed: Seed of the random numbers, for reproducible runs; a
            random seed is used if absent.
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
    load: LoadSettings = LoadSettings()
    backlog: BacklogSettings = BacklogSettings()
    stop_grace_s: _Seconds = 6.0
    rotation_s: _Seconds = 1.4
    flow_age_max_s: _Seconds = 60.0
    log_level: str = 'INFO'
    log_lines_per_s: _Count = 200
    random_seed: int | None = None

    @property
    def is_publisher(self) -> bool:
        """Whether this entry VM reads the store for the others."""
        return self.control in self.publishers

    @property
    def preceding_publishers(self) -> list[str]:
        """Publishers that read the store rather than this one.

        Addresses decide, since processes that started at different times may
        have been given other publishers, or the same in another order. If the
        order of the settings decided, each of two publishers could wait for the
        other one.
        """
        return sorted(
            control for control in self.publishers if control < self.control
        )


def read_settings(path: str) -> TokenNodeSettings:
    """Read and validate the settings file.

    Args:
        path: Path of the JSON file.

    Returns:
        The settings.

    Raises:
        IncompleteDocumentError: The file can't be read, or is no JSON document.
        InvalidDocumentError: A field is invalid.
    """
    try:
        with open(path, 'rb') as document:
            return msgspec.json.decode(document.read(), type=TokenNodeSettings)
    except msgspec.ValidationError as error:
        raise _describe_problem(InvalidDocumentError, path, error) from error
    except (OSError, ValueError, RecursionError) as error:
        raise _describe_problem(IncompleteDocumentError, path, error) from error


def _describe_problem(
    error_type: type[InvalidDocumentError], path: str, error: Exception
) -> InvalidDocumentError:
    problem = FieldProblem('$', str(error))
    return error_type('reading settings', path, (problem,))


def socket_address(text: str) -> tuple[str, int]:
    """Split an address such as ``10.0.0.1:443`` into host and port."""
    host, _, port = text.rpartition(':')
    return host, int(port)


def changed_fields(
    before: TokenNodeSettings, after: TokenNodeSettings
) -> list[str]:
    """Return the names of the fields whose values differ."""
    return [
        name
        for name in before.__struct_fields__
        if getattr(before, name) != getattr(after, name)
    ]
