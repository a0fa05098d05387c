"""One run of the bench: a scenario, a variant and a seed, and its row."""

import dataclasses
import enum
import pathlib

from hibiscushatch_node.entry_vm import EntryVm
from hibiscushatch_tools import scenario_language
from hibiscushatch_tools.baseline_owner import OwnerVm
from hibiscushatch_tools.baselines import ModuloVm, RendezvousVm
from hibiscushatch_tools.scenario_runner import check_promises, run_scenario

SCENARIO_SUFFIX = '.scenario'


class Variant(enum.StrEnum):
    """A way to route packets; the costliest to run comes first."""

    HIBISCUSHATCH = 'hibiscushatch'
    OWNER = 'owner'
    RENDEZVOUS = 'rendezvous'
    MODULO = 'modulo'


VM_FACTORIES = {
    Variant.HIBISCUSHATCH: EntryVm,
    Variant.OWNER: OwnerVm,
    Variant.RENDEZVOUS: RendezvousVm,
    Variant.MODULO: ModuloVm,
}


@dataclasses.dataclass(frozen=True, slots=True)
class BenchCase:
    """What is run.

    Attributes:
        path: The scenario file.
        variant: How packets are routed.
        seed: Of all randomness.
    """

    path: pathlib.Path
    variant: Variant
    seed: int


@dataclasses.dataclass(frozen=True, slots=True)
class BenchRow:
    """What came of it; figures are those of ScenarioOutcome.

    Attributes:
        refused: Refusals by reason.
        broken_promises: Promises of the scenario that were not kept, each
            with its figure; baselines are held to the same ones.
    """

    scenario: str
    variant: str
    seed: int
    flows: int
    finished_flows: int
    broken_flows: int
    given_up_flows: int
    refused_flows: int
    unanswered_flows: int
    misdelivered: int
    duplicated_payloads: int
    cold_excess: int
    imbalance: float
    domain_out_s: float
    domain_back_s: float
    refused: dict[str, int]
    control_bytes_per_s: float
    entries_held: int
    extra_hops: float
    failed_tasks: int
    broken_promises: tuple[str, ...]


def run_case(case: BenchCase) -> BenchRow:
    """Run a case in virtual time.

    Args:
        case: What to run.

    Returns:
        Its row, the same each time.
    """
    scenario = scenario_language.read_scenario(case.path)
    outcome = run_scenario(scenario, case.seed, VM_FACTORIES[case.variant])
    results = check_promises(scenario, outcome)
    return BenchRow(
        scenario=case.path.name.removesuffix(SCENARIO_SUFFIX),
        variant=case.variant.value,
        seed=case.seed,
        flows=outcome.flows,
        finished_flows=outcome.finished_flows,
        broken_flows=outcome.broken_flows,
        given_up_flows=outcome.given_up_flows,
        refused_flows=outcome.refused_flows,
        unanswered_flows=outcome.unanswered_flows,
        misdelivered=outcome.misdelivered,
        duplicated_payloads=outcome.duplicated_payloads,
        cold_excess=outcome.cold_excess,
        imbalance=outcome.imbalance,
        domain_out_s=outcome.domain_out_s,
        domain_back_s=outcome.domain_back_s,
        refused=outcome.refused_by_reason,
        control_bytes_per_s=outcome.control_bytes_per_s,
        entries_held=outcome.entries_held,
        extra_hops=outcome.extra_hops,
        failed_tasks=outcome.failed_tasks,
        broken_promises=tuple(
            f'{one.promise}: {one.figure:g}' for one in results if not one.holds
        ),
    )
