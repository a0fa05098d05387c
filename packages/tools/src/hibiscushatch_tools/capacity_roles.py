"""What each role needs at the size to design for, computed from slopes."""

import dataclasses
from collections.abc import Iterator, Mapping, Sequence

from hibiscushatch_core.manifest_blob import PLATFORM_VALUE_BYTES_MAX
from hibiscushatch_core.move_plan import DEFAULT_PACE
from hibiscushatch_core.settings import TimingSettings
from hibiscushatch_node.handover import BACKUP_REFRESHES_AN_IDLE_TIMEOUT
from hibiscushatch_tools.capacity_control import (
    FLEET_LINKS,
    REPLACED_FLEET,
    FleetCost,
)
from hibiscushatch_tools.capacity_model import (
    DAY_S,
    DESIGN,
    LIMITS,
    MIB,
    Slope,
    Verdict,
)
from hibiscushatch_tools.capacity_page import format_figure

MILLISECONDS_PER_S = 1000
HUNDRED = 100
GRANTED_ENOUGH = 0.99
IDLE_TIMEOUT_S = 300
VIEW_CHANGES_A_REPLACEMENT = 2
FORWARDER = 'entry VM as forwarder'
OWNER = 'entry VM as owner'
BACKUP = 'entry VM as backup'
PEER = 'entry VM as peer'
OPERATOR = 'operator command'
PLATFORM = 'platform service'
TIMING = TimingSettings()
SPARSE_LINKS = (
    'links to a fixed number of members of the domain, shared by buckets of '
    'groups of members instead of by all of them'
)
GROUPS = (
    'owner groups: a service is owned by a few members of a domain, and only '
    'these divide its limits'
)


@dataclasses.dataclass(frozen=True, slots=True)
class Measured:
    """All that was measured in a run.

    Attributes:
        slopes: By their keys.
        fleets: Fleets at rest.
        process_bytes: Resident memory of a process that has only loaded its
            modules.
    """

    slopes: Mapping[str, Slope]
    fleets: Sequence[FleetCost]
    process_bytes: int

    def at_design(self, key: str) -> float:
        """Return a figure at the size to design for."""
        return self.slopes[key].at_target

    def slope(self, key: str) -> float:
        """Return a slope."""
        return self.slopes[key].fit.slope

    def breaks_at(self, key: str, figure: float) -> str:
        """Tell at which size a figure is reached."""
        slope = self.slopes[key]
        size = format_figure(slope.fit.size_at(figure))
        return f'{size} {slope.size}'


def judge(measured: Measured) -> Iterator[Verdict]:
    """Set all figures beside their limits.

    Args:
        measured: The run.

    Yields:
        Figures by role.
    """
    entry_vm = (
        *_judge_forwarder(measured),
        *_judge_owner(measured),
        *_judge_claims(measured),
        *_judge_backup(measured),
        *_judge_links(measured),
        *_judge_replacement(measured),
        *_judge_change(measured),
    )
    yield from entry_vm
    yield _add_up(entry_vm, LIMITS.control_bytes_s, 'B/s', 'bytes sent')
    yield _add_up(entry_vm, LIMITS.core_ms_s, 'ms/s', 'processor time')
    yield from _judge_operator(measured)
    yield from _judge_platform(measured)


def _add_up(
    verdicts: Sequence[Verdict], limit: float, unit: str, subject: str
) -> Verdict:
    """Add up all figures of an entry VM that share one limit."""
    parts = [one for one in verdicts if one.unit == unit and one.limit == limit]
    largest = max(parts, key=lambda one: one.figure)
    return Verdict(
        'entry VM in all roles',
        f'control: {subject}, all lines above with this limit',
        sum(one.figure for one in parts),
        unit,
        largest.module,
        limit,
        f'the largest part is: {largest.subject}',
        largest.instead or 'see the largest part',
    )


def _judge_forwarder(measured: Measured) -> Iterator[Verdict]:
    table_bytes = sum(
        measured.at_design(one)
        for one in ('bucket_bytes', 'member_bytes', 'ranking_bytes')
    )
    yield Verdict(
        FORWARDER,
        'state: buckets, records of members and rankings of two views',
        (table_bytes + measured.at_design('ranking_bytes')) / MIB,
        'MiB',
        'hibiscushatch_node.bucket_table',
    )
    yield Verdict(
        FORWARDER,
        'processor time of a data packet, sockets not counted',
        measured.slope('forwarding') * MILLISECONDS_PER_S,
        'us',
        'hibiscushatch_node.forwarder',
    )
    yield Verdict(
        FORWARDER,
        'processor time that tables cause without any packet or peer',
        measured.at_design('standing_cpu'),
        'ms/s',
        'hibiscushatch_node.mover',
        LIMITS.core_ms_s,
        measured.breaks_at('standing_cpu', LIMITS.core_ms_s),
        'an index of the buckets in motion and of changed weights in place '
        'of passes over all buckets and upstreams',
    )


def _judge_owner(measured: Measured) -> Iterator[Verdict]:
    flow_bytes = measured.slopes['flow_bytes'].fit
    yield Verdict(
        OWNER,
        f'state: {format_figure(DESIGN.flows_a_vm)} flow entries',
        measured.at_design('flow_bytes') / MIB,
        'MiB',
        'hibiscushatch_node.flow_table',
    )
    yield Verdict(
        OWNER,
        f'state: {format_figure(DESIGN.flows_one_vm)} flow entries on one VM',
        flow_bytes.at(DESIGN.flows_one_vm) / MIB,
        'MiB',
        'hibiscushatch_node.flow_table',
        LIMITS.memory_bytes / MIB,
        measured.breaks_at('flow_bytes', LIMITS.memory_bytes),
        'packed arrays by bucket',
    )
    yield _judge_memory(measured)
    yield Verdict(
        OWNER,
        f'processor time of {format_figure(DESIGN.new_flows_a_vm_s)} '
        'placements a second (packets, not control)',
        measured.slope('placing') * DESIGN.new_flows_a_vm_s,
        'ms/s',
        'hibiscushatch_node.connector',
    )
    ranking_ms = measured.at_design('ranking')
    yield Verdict(
        OWNER,
        'event loop held when the serving members change',
        ranking_ms / MILLISECONDS_PER_S,
        's',
        'hibiscushatch_node.ownership',
        TIMING.peer_silent_s,
        measured.breaks_at('ranking', TIMING.peer_silent_s * 1000),
        'weights of upstreams kept by owner, so that admission asks only for '
        'the buckets of the domain that changed',
    )
    yield Verdict(
        OWNER,
        'processor time of ranking, a replacement each '
        f'{format_figure(DESIGN.replacement_interval_s)} s',
        ranking_ms * VIEW_CHANGES_A_REPLACEMENT / DESIGN.replacement_interval_s,
        'ms/s',
        'hibiscushatch_node.ownership',
        LIMITS.core_ms_s,
        measured.breaks_at(
            'ranking',
            LIMITS.core_ms_s
            * DESIGN.replacement_interval_s
            / VIEW_CHANGES_A_REPLACEMENT,
        ),
        'the same',
    )
    leave_s = measured.at_design('handover_bytes') / LIMITS.control_bytes_s
    yield Verdict(
        OWNER,
        'planned stop: time to hand over all entries at 16 KB/s',
        leave_s,
        's',
        'hibiscushatch_node.handover',
        TIMING.stop_grace_s,
        measured.breaks_at(
            'handover_bytes', TIMING.stop_grace_s * LIMITS.control_bytes_s
        ),
        'a longer grace, or entries of buckets at rest left to be learned '
        'from their packets',
    )


def _judge_memory(measured: Measured) -> Verdict:
    total = measured.process_bytes + sum(
        measured.at_design(one)
        for one in (
            'flow_bytes',
            'bucket_bytes',
            'member_bytes',
            'ranking_bytes',
            'ranking_bytes',
        )
    )
    return Verdict(
        OWNER,
        'memory of the process: modules, entries, buckets, records, rankings',
        total / MIB,
        'MiB',
        'hibiscushatch_node.node_state',
        LIMITS.memory_bytes / MIB,
        'see the slopes of bytes',
        'bucket states at rest packed as indexes of upstreams',
    )


def _judge_claims(measured: Measured) -> Iterator[Verdict]:
    domain_interval_s = (
        DESIGN.replacement_interval_s
        * DESIGN.domains
        / VIEW_CHANGES_A_REPLACEMENT
    )
    yield Verdict(
        OWNER,
        'claims after a view change of the own domain, mean bytes sent',
        measured.at_design('claims_bytes') / domain_interval_s,
        'B/s',
        'hibiscushatch_core.shares',
        LIMITS.control_bytes_s,
        measured.breaks_at(
            'claims_bytes', LIMITS.control_bytes_s * domain_interval_s
        ),
        GROUPS,
    )
    yield Verdict(
        OWNER,
        'claims after a view change: time to send them at 16 KB/s',
        measured.at_design('claims_bytes') / LIMITS.control_bytes_s,
        's',
        'hibiscushatch_core.shares',
        LIMITS.in_force_s,
        measured.breaks_at(
            'claims_bytes', LIMITS.control_bytes_s * LIMITS.in_force_s
        ),
        GROUPS,
    )
    yield Verdict(
        OWNER,
        'claims after a view change of the own domain, mean processor time',
        measured.at_design('claims_cpu') / domain_interval_s,
        'ms/s',
        'hibiscushatch_core.shares',
        LIMITS.core_ms_s,
        measured.breaks_at('claims_cpu', LIMITS.core_ms_s * domain_interval_s),
        GROUPS,
    )
    starved = [one for one in measured.fleets if one.granted < GRANTED_ENOUGH]
    least = min(one.granted for one in measured.fleets)
    smallest = min((one.entry_vms for one in starved), default=0)
    yield Verdict(
        OWNER,
        'part of the limits of upstreams that no VM of a fleet may use',
        (1 - least) * HUNDRED,
        '%',
        'hibiscushatch_node.admission',
        (1 - GRANTED_ENOUGH) * HUNDRED,
        f'{smallest} entry VMs in several domains, the smallest such fleet '
        'that was measured',
        'a ledger for each failure domain, with the members of that domain '
        'only, as all of these are linked',
    )


def _judge_backup(measured: Measured) -> Iterator[Verdict]:
    flows = DESIGN.open_flows / DESIGN.all_buckets
    buckets = DESIGN.services * DEFAULT_PACE.in_motion_max / DESIGN.entry_vms
    refresh_s = IDLE_TIMEOUT_S / BACKUP_REFRESHES_AN_IDLE_TIMEOUT
    entry_bytes = measured.slope('handover_bytes')
    yield Verdict(
        BACKUP,
        f'copies of entries of {format_figure(buckets)} buckets in motion',
        buckets * flows * entry_bytes / refresh_s,
        'B/s',
        'hibiscushatch_node.handover',
        LIMITS.control_bytes_s,
    )
    yield Verdict(
        BACKUP,
        'state: entries of these buckets',
        buckets * flows * measured.slope('flow_bytes') / MIB,
        'MiB',
        'hibiscushatch_node.flow_table',
    )


def _judge_links(measured: Measured) -> Iterator[Verdict]:
    yield Verdict(
        PEER,
        'heartbeats at rest, bytes sent',
        measured.at_design('rest_bytes'),
        'B/s',
        'hibiscushatch_node.peers',
        LIMITS.control_bytes_s,
        measured.breaks_at('rest_bytes', LIMITS.control_bytes_s),
        SPARSE_LINKS,
    )
    yield Verdict(
        PEER,
        'heartbeats at rest, processor time, sockets not counted',
        measured.at_design('rest_cpu'),
        'ms/s',
        'hibiscushatch_node.peers',
        LIMITS.core_ms_s,
        measured.breaks_at('rest_cpu', LIMITS.core_ms_s),
        SPARSE_LINKS,
    )


def _judge_replacement(measured: Measured) -> Iterator[Verdict]:
    fleet_bytes = measured.at_design('replacement_fleet')
    yield Verdict(
        PEER,
        'records and claims of replacements, 6 services, mean bytes sent',
        fleet_bytes / DESIGN.entry_vms / DESIGN.replacement_interval_s,
        'B/s',
        'hibiscushatch_node.membership',
        LIMITS.control_bytes_s,
        measured.breaks_at(
            'replacement_fleet',
            LIMITS.control_bytes_s
            * DESIGN.entry_vms
            * DESIGN.replacement_interval_s,
        ),
        SPARSE_LINKS,
    )
    table_bytes = measured.at_design('table_bytes')
    fetched = LIMITS.in_force_s * LIMITS.control_bytes_s / table_bytes
    yield Verdict(
        PEER,
        'join: one copy of all layouts at 16 KB/s',
        table_bytes / LIMITS.control_bytes_s,
        's',
        'hibiscushatch_node.peer_outflow',
        LIMITS.in_force_s,
        f'{format_figure(DESIGN.all_buckets * fetched)} buckets',
        'layouts packed as one compressed text, or computed from the '
        'generation that they were made from',
    )
    copies = measured.slope('replacement_buckets') * DESIGN.all_buckets
    links = DESIGN.domain_vms - 1 + FLEET_LINKS
    copies_at_design = copies * links / (REPLACED_FLEET - 1)
    bucket_bytes = copies_at_design / DESIGN.all_buckets
    buckets = LIMITS.in_force_s * LIMITS.control_bytes_s / bucket_bytes
    yield Verdict(
        PEER,
        'join: what all linked peers send a joining VM, at 16 KB/s',
        copies_at_design / LIMITS.control_bytes_s,
        's',
        'hibiscushatch_node.lifecycle',
        LIMITS.in_force_s,
        f'{format_figure(buckets)} buckets of all services',
        'a table that is asked for again only once its sender is silent',
    )


def _judge_change(measured: Measured) -> Iterator[Verdict]:
    blob = measured.at_design('manifest_bytes')
    hop_s = blob / LIMITS.control_bytes_s
    yield Verdict(
        PEER,
        'manifest change: one copy over one hop at 16 KB/s',
        hop_s,
        's',
        'hibiscushatch_core.manifest_blob',
        LIMITS.in_force_s,
        measured.breaks_at(
            'manifest_bytes', LIMITS.in_force_s * LIMITS.control_bytes_s
        ),
        'slices or deltas of the manifest',
    )
    copies = LIMITS.in_force_s / hop_s if hop_s else 0
    yield Verdict(
        PEER,
        'manifest change: copies of the busiest VM at 16 KB/s',
        measured.at_design('copies_most') * hop_s,
        's',
        'hibiscushatch_node.peer_intake',
        LIMITS.in_force_s,
        measured.breaks_at('copies_most', copies),
        'a tree of few children in which each VM asks one peer, and deltas '
        'between generations',
    )
    yield Verdict(
        PEER,
        f'manifest changes, {DESIGN.changes_a_day} a day, mean bytes sent',
        measured.at_design('copies_mean') * blob * DESIGN.changes_a_day / DAY_S,
        'B/s',
        'hibiscushatch_node.peer_intake',
        LIMITS.control_bytes_s,
    )
    change_ms = measured.at_design('manifest_decode') * measured.at_design(
        'copies_mean'
    ) + measured.at_design('manifest_build')
    yield Verdict(
        PEER,
        'manifest changes, decoding of all copies and building, mean',
        change_ms / DESIGN.change_interval_s,
        'ms/s',
        'hibiscushatch_node.manifest_keeper',
        LIMITS.core_ms_s,
        instead='a tree of few children',
    )


def _judge_operator(measured: Measured) -> Iterator[Verdict]:
    yield Verdict(
        OPERATOR,
        'stored manifest against the largest value of the platform',
        measured.at_design('manifest_bytes'),
        'B',
        'hibiscushatch_core.manifest_blob',
        PLATFORM_VALUE_BYTES_MAX,
    )
    yield Verdict(
        OPERATOR,
        'processor time of a commit: encode, decode and validate',
        measured.at_design('manifest_encode')
        + measured.at_design('manifest_decode'),
        'ms',
        'hibiscushatch_core.commit',
    )


def _judge_platform(measured: Measured) -> Iterator[Verdict]:
    rows = (
        ('renewals of leases at rest', 'platform_writes', 'writes'),
        (f'a rack of {DESIGN.rack_vms} restarts', 'rack_writes', 'writes'),
        (f'a rack of {DESIGN.rack_vms} restarts', 'rack_reads', 'reads'),
        ('an outage ends', 'return_writes', 'writes'),
        ('an outage ends', 'return_reads', 'reads'),
    )
    for event, key, kind in rows:
        limit = {
            'writes': LIMITS.platform_writes_s,
            'reads': LIMITS.platform_reads_s,
        }[kind]
        yield Verdict(
            PLATFORM,
            f'{kind}, {event}',
            measured.at_design(key),
            '/s',
            'hibiscushatch_node.manifest_keeper',
            limit,
            measured.breaks_at(key, limit),
            'a longer jitter before registering and watching',
        )
