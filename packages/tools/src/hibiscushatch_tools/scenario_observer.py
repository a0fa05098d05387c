"""Samples the manifests, flows and flow entries of a running deployment."""

import asyncio
import collections
import dataclasses
import statistics

from hibiscushatch_tools.fabric import FabricMember
from hibiscushatch_tools.memory_deployment import MemoryDeployment
from hibiscushatch_tools.scenario_history import CommitRecord, SpanKind
from hibiscushatch_tools.scenario_model import Scenario
from hibiscushatch_tools.upstream_standin import UpstreamMode, UpstreamStandIn

SAMPLE_INTERVAL_S = 0.25
# A full sample includes open flows and returned domains; the samples between
# read only the reports of the VMs, and only while a commit is pending.
SAMPLES_PER_FULL_SAMPLE = 4
IMBALANCE_MEAN_FLOWS_MIN = 5
# A domain has its part of the load again when its upstreams have on average
# this fraction of the mean open flows of all upstreams.
RESTORED_LOAD_FRACTION = 0.9


@dataclasses.dataclass(slots=True)
class Observations:
    """Results of sampling a run.

    Attributes:
        reverts: How often an entry VM went back to an older generation.
        entries_held: Highest number of flow entries held by one entry VM.
        back_s: For each return of a domain, the time until it had its part of
            the load again.
        flow_sums: Sum of the sampled numbers of open flows, by upstream.
        flow_samples: Number of those samples, by upstream.
        window_samples: Number of samples in the measured period.
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
    """Samples a deployment at regular intervals."""

    def __init__(
        self, scenario: Scenario, deployment: MemoryDeployment
    ) -> None:
        self.observations = Observations()
        self._scenario = scenario
        self._deployment = deployment
        self._loop = asyncio.get_running_loop()
        self._generations: dict[int, int] = {}
        self._returned_at_s: dict[str, float] = {}
        self._out_domains: set[str] = set()

    @property
    def returning_count(self) -> int:
        """Number of domains brought back but without their part of the load."""
        return len(self._returned_at_s)

    async def run(self) -> None:
        """Sample until cancelled."""
        count = 0
        while True:
            is_full_sample = count % SAMPLES_PER_FULL_SAMPLE == 0
            if is_full_sample or self._pending_commits():
                self._sample_reports()
            if is_full_sample:
                self._sample_flows()
                self._sample_returns()
            count += 1
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def compute_imbalance(self) -> float:
        """Compute the highest ratio of open flows to the mean of the service.

        Only upstreams that were warm and in service in all samples count, and
        only services with enough flows for a meaningful ratio.
        """
        ratios = [1.0]
        for service in self._scenario.services:
            means = self._window_means(service.name)
            if means and statistics.fmean(means) >= IMBALANCE_MEAN_FLOWS_MIN:
                ratios.append(max(means) / statistics.fmean(means))
        return max(ratios)

    def _window_means(self, service: str) -> list[float]:
        observations = self.observations
        return [
            observations.flow_sums[name] / count
            for name, count in observations.flow_samples.items()
            if count == observations.window_samples
            and self._service_name(name) == service
        ]

    def _service_name(self, upstream: str) -> str:
        standin = self._deployment.upstreams[upstream]
        return self._scenario.services[standin.plan.service_id].name

    def _pending_commits(self) -> list[CommitRecord]:
        commits = self._deployment.history.commits
        return [commit for commit in commits if commit.pending_vms]

    def _sample_reports(self) -> None:
        pending = self._pending_commits()
        for member in self._deployment.fabric.members:
            if member.is_running and self._deployment.is_connected(
                member.host.domain
            ):
                report = member.vm.report()
                self._sample_generation(member, report.generation, pending)
                entries = sum(service.entries for service in report.services)
                most_entries = self.observations.entries_held
                self.observations.entries_held = max(most_entries, entries)
            else:
                _stop_waiting_for(member.name, pending)

    def _sample_generation(
        self,
        member: FabricMember,
        generation: int,
        pending: list[CommitRecord],
    ) -> None:
        last = self._generations.get(id(member.vm), 0)
        self.observations.reverts += generation < last
        self._generations[id(member.vm)] = generation
        for commit in pending:
            if generation >= commit.generation:
                commit.pending_vms.discard(member.name)
            if not commit.pending_vms:
                commit.in_force_s = self._loop.time() - commit.at_s

    def _sample_flows(self) -> None:
        now_s = self._loop.time()
        scenario = self._scenario
        if not scenario.measure_from_s <= now_s < scenario.measure_until_s:
            return
        self.observations.window_samples += 1
        for name, standin in self._deployment.upstreams.items():
            if self._expects_new_flows(name) and standin.is_warm:
                self.observations.flow_samples[name] += 1
                self.observations.flow_sums[name] += standin.open_flows

    def _expects_new_flows(self, upstream: str) -> bool:
        declared = self._deployment.desired.upstreams.get(upstream)
        if declared is None or declared.draining:
            return False
        is_in = self._deployment.desired.domains[declared.domain] == 'in'
        mode = self._deployment.upstreams[upstream].mode
        return is_in and mode is UpstreamMode.SERVING

    def _sample_returns(self) -> None:
        """Record how long returned domains took to regain their load."""
        now_s = self._loop.time()
        for span in self._deployment.history.spans_of_kind(SpanKind.DOMAIN_OUT):
            if span.until_s == now_s or span.holds_at(now_s):
                self._out_domains.add(span.subject)
            elif span.subject in self._out_domains:
                self._out_domains.discard(span.subject)
                self._returned_at_s[span.subject] = span.until_s
        for domain, returned_at_s in tuple(self._returned_at_s.items()):
            if self._is_load_restored(domain):
                self.observations.back_s.append(now_s - returned_at_s)
                del self._returned_at_s[domain]

    def _is_load_restored(self, domain: str) -> bool:
        return all(
            self._is_service_load_restored(domain, index)
            for index, _ in enumerate(self._scenario.services)
        )

    def _is_service_load_restored(self, domain: str, service_id: int) -> bool:
        serving = [
            standin
            for name, standin in self._deployment.upstreams.items()
            if standin.plan.service_id == service_id
            and self._expects_new_flows(name)
        ]
        domain_flows = _open_flows_in(serving, domain)
        all_flows = [upstream.open_flows for upstream in serving]
        if not domain_flows or not any(all_flows):
            return True
        required_mean = RESTORED_LOAD_FRACTION * statistics.fmean(all_flows)
        return statistics.fmean(domain_flows) >= required_mean


def _open_flows_in(serving: list[UpstreamStandIn], domain: str) -> list[int]:
    return [
        upstream.open_flows
        for upstream in serving
        if upstream.plan.domain == domain
    ]


def _stop_waiting_for(vm: str, pending: list[CommitRecord]) -> None:
    """Stop waiting for an entry VM that is dead, paused or cut off."""
    for commit in pending:
        commit.pending_vms.discard(vm)
