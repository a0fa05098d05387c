"""Samples a running stage: generations in force, evenness, entries held."""

import asyncio
import collections
import dataclasses
import statistics

from hibiscushatch_tools.fabric import FabricMember
from hibiscushatch_tools.memory_deployment import MemoryDeployment
from hibiscushatch_tools.scenario_history import CommitRecord, SpanKind
from hibiscushatch_tools.scenario_model import Scenario
from hibiscushatch_tools.upstream_standin import UpstreamMode, UpstreamStandIn

SAMPLE_S = 0.25
SAMPLES_PER_SLOW_ONE = 4
IMBALANCE_FLOWS_MIN = 5
BACK_FRACTION = 0.9


@dataclasses.dataclass(slots=True)
class Observations:
    """What was sampled.

    Attributes:
        reverts: Times that an entry VM went back to an older generation.
        entries_held: Most flow entries held by one entry VM.
        back_s: Time that each domain took to bear its part again.
        flow_sums: Sum of sampled open flows, by upstream.
        flow_samples: Number of those samples, by upstream.
        window_samples: Number of samples in the measured time.
    """

    reverts: int = 0
    entries_held: int = 0
    back_s: list[float] = dataclasses.field(default_factory=list)
    flow_sums: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    flow_samples: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    window_samples: int = 0


class Observer:
    """Samples a stage at a steady pace."""

    def __init__(self, scenario: Scenario, stage: MemoryDeployment) -> None:
        self.observed = Observations()
        self._scenario = scenario
        self._stage = stage
        self._loop = asyncio.get_running_loop()
        self._generations: dict[int, int] = {}
        self._returning: dict[str, float] = {}
        self._out: set[str] = set()

    @property
    def returning(self) -> int:
        """Domains that were brought back and do not bear their part yet."""
        return len(self._returning)

    async def run(self) -> None:
        """Sample until cancelled."""
        count = 0
        while True:
            is_slow_one = count % SAMPLES_PER_SLOW_ONE == 0
            if is_slow_one or self._pending_commits():
                self._sample_reports()
            if is_slow_one:
                self._sample_flows()
                self._sample_returns()
            count += 1
            await asyncio.sleep(SAMPLE_S)

    def imbalance(self) -> float:
        """Compute the largest mean of open flows over the mean of all."""
        ratios = [1.0]
        for service in self._scenario.services:
            means = self._window_means(service.name)
            if means and statistics.fmean(means) >= IMBALANCE_FLOWS_MIN:
                ratios.append(max(means) / statistics.fmean(means))
        return max(ratios)

    def _window_means(self, service: str) -> list[float]:
        observed = self.observed
        return [
            observed.flow_sums[name] / count
            for name, count in observed.flow_samples.items()
            if count == observed.window_samples
            and self._service_of(name) == service
        ]

    def _service_of(self, upstream: str) -> str:
        standin = self._stage.upstreams[upstream]
        return self._scenario.services[standin.plan.service_id].name

    def _pending_commits(self) -> list[CommitRecord]:
        commits = self._stage.history.commits
        return [commit for commit in commits if commit.waiting]

    def _sample_reports(self) -> None:
        pending = self._pending_commits()
        for member in self._stage.fabric.members:
            if member.is_running and self._stage.is_connected(
                member.host.domain
            ):
                report = member.vm.report()
                self._sample_generation(member, report.generation, pending)
                held = sum(service.entries for service in report.services)
                most = self.observed.entries_held
                self.observed.entries_held = max(most, held)
            else:
                _forgive(member.name, pending)

    def _sample_generation(
        self,
        member: FabricMember,
        generation: int,
        pending: list[CommitRecord],
    ) -> None:
        last = self._generations.get(id(member.vm), 0)
        self.observed.reverts += generation < last
        self._generations[id(member.vm)] = generation
        for commit in pending:
            if generation >= commit.generation:
                commit.waiting.discard(member.name)
            if not commit.waiting:
                commit.in_force_s = self._loop.time() - commit.at_s

    def _sample_flows(self) -> None:
        now_s = self._loop.time()
        scenario = self._scenario
        if not scenario.measure_from_s <= now_s < scenario.measure_until_s:
            return
        self.observed.window_samples += 1
        for name, standin in self._stage.upstreams.items():
            if self._takes_flows(name) and standin.is_warm:
                self.observed.flow_samples[name] += 1
                self.observed.flow_sums[name] += standin.open_flows

    def _takes_flows(self, upstream: str) -> bool:
        site = self._stage.desired.upstreams.get(upstream)
        if site is None or site.draining:
            return False
        is_in = self._stage.desired.domains[site.domain] == 'in'
        mode = self._stage.upstreams[upstream].mode
        return is_in and mode is UpstreamMode.SERVING

    def _sample_returns(self) -> None:
        """Watch for domains that were out and bear their part again."""
        now_s = self._loop.time()
        for span in self._stage.history.of_kind(SpanKind.DOMAIN_OUT):
            if span.until_s == now_s or span.holds_at(now_s):
                self._out.add(span.subject)
            elif span.subject in self._out:
                self._out.discard(span.subject)
                self._returning[span.subject] = span.until_s
        for domain, since_s in tuple(self._returning.items()):
            if self._bears_its_part(domain):
                self.observed.back_s.append(now_s - since_s)
                del self._returning[domain]

    def _bears_its_part(self, domain: str) -> bool:
        return all(
            self._domain_bears(domain, index)
            for index, _ in enumerate(self._scenario.services)
        )

    def _domain_bears(self, domain: str, service_id: int) -> bool:
        serving = [
            standin
            for name, standin in self._stage.upstreams.items()
            if standin.plan.service_id == service_id and self._takes_flows(name)
        ]
        inside = _open_flows_in(serving, domain)
        everywhere = [one.open_flows for one in serving]
        if not inside or not any(everywhere):
            return True
        wanted = BACK_FRACTION * statistics.fmean(everywhere)
        return statistics.fmean(inside) >= wanted


def _open_flows_in(serving: list[UpstreamStandIn], domain: str) -> list[int]:
    return [one.open_flows for one in serving if one.plan.domain == domain]


def _forgive(vm: str, pending: list[CommitRecord]) -> None:
    """Do not wait for an entry VM that is dead, paused or cut off."""
    for commit in pending:
        commit.waiting.discard(vm)
