"""Judges which upstreams can be reached, by what follows opening packets.

A caller continues a flow as soon as its upstream has answered. So the caller's
next packet shows that the upstream is alive and reachable from this entry VM;
a copy of the opening packet, or no packet, indicates the opposite. No health
checks are sent. When several upstreams of a failure domain stop answering, the
whole domain is judged dead.
"""

import logging
import random
from collections.abc import Iterator

from hibiscushatch_core.upstream_health import (
    Failure,
    HealthSettings,
    UpstreamHealth,
    Verdict,
)
from hibiscushatch_token.model import Upstream

# The first unanswered opening packet may just be lost: it makes an upstream
# suspect, so that it is chosen last. The second makes it dead: it gets no flows
# until a single flow is due to probe it.
UPSTREAM_HEALTH_SETTINGS = HealthSettings(
    suspect_failures=1,
    dead_failures=2,
    dead_after_s=0,
    answers_to_return=1,
    probe_min_s=1.0,
    probe_max_s=4.0,
)
# More failures than for an upstream, so that a single upstream that fails does
# not make its whole domain dead.
DOMAIN_HEALTH_SETTINGS = HealthSettings(
    suspect_failures=2,
    dead_failures=3,
    dead_after_s=0,
    answers_to_return=1,
    probe_min_s=0.5,
    probe_max_s=1.0,
)

# How long after an unanswered opening packet a suspect upstream is chosen last;
# a caller repeats its opening packet twice in this time.
_SUSPECT_AGE_MAX_S = 1.0

_log = logging.getLogger(__name__)


class Reachability:
    """Health of upstreams and failure domains as this entry VM sees it.

    Args:
        randomness: Source of jitter of probes.
    """

    def __init__(self, randomness: random.Random) -> None:
        self._randomness = randomness
        self._health_by_upstream: dict[str, UpstreamHealth] = {}
        self._health_by_domain: dict[str, UpstreamHealth] = {}
        self._failed_at: dict[str, float] = {}
        # Only verdicts other than usable: placement reads the verdicts of all
        # upstreams, and most are usable.
        self._verdicts: dict[str, Verdict] = {}
        self._dead_domains: set[str] = set()

    @property
    def has_dead(self) -> bool:
        """Whether any upstream or failure domain is judged dead."""
        return bool(self._dead_domains) or Verdict.DEAD in (
            self._verdicts.values()
        )

    def forget(self, upstream: Upstream) -> None:
        """Drop the state of an upstream that was removed or restarted."""
        self._health_by_upstream.pop(upstream.name, None)
        self._failed_at.pop(upstream.name, None)
        self._verdicts.pop(upstream.name, None)

    def verdict(self, upstream: Upstream) -> Verdict:
        """Return dead if its domain is dead, else the upstream's verdict."""
        if upstream.domain in self._dead_domains:
            return Verdict.DEAD
        return self._verdicts.get(upstream.name, Verdict.USABLE)

    def recent_suspects(self, now: float) -> Iterator[str]:
        """Yield the names of suspect upstreams that failed recently.

        Older failures are left out, because an upstream that gets no flows
        could never show that it answers again.
        """
        for name, verdict in self._verdicts.items():
            failed_at = self._failed_at.get(name, now)
            if (
                verdict is Verdict.SUSPECT
                and now - failed_at < _SUSPECT_AGE_MAX_S
            ):
                yield name

    def may_probe(self, upstream: Upstream, now: float) -> bool:
        """Return whether a dead upstream is due for a single flow."""
        return all(
            health.verdict is not Verdict.DEAD or health.may_probe(now)
            for health in (
                self._upstream_health(upstream),
                self._domain_health(upstream),
            )
        )

    def record_probe(self, upstream: Upstream, now: float) -> None:
        """Record that a flow was placed on a dead upstream."""
        for health in (
            self._upstream_health(upstream),
            self._domain_health(upstream),
        ):
            if health.verdict is Verdict.DEAD:
                health.record_probe(now, self._randomness)

    def record_answer(
        self, upstream: Upstream, answer_s: float, now: float
    ) -> None:
        """Record an answer, answer_s seconds after the opening packet."""
        self._upstream_health(upstream).record_answer(answer_s, now)
        self._domain_health(upstream).record_answer(answer_s, now)
        self._update_verdict(upstream)

    def record_unanswered(self, upstream: Upstream, now: float) -> None:
        """Record an opening packet that got no answer."""
        self._failed_at[upstream.name] = now
        self._upstream_health(upstream).record_failure(Failure.UNANSWERED, now)
        self._domain_health(upstream).record_failure(Failure.UNANSWERED, now)
        self._update_verdict(upstream)

    def _upstream_health(self, upstream: Upstream) -> UpstreamHealth:
        health = self._health_by_upstream.get(upstream.name)
        if health is None:
            health = UpstreamHealth(UPSTREAM_HEALTH_SETTINGS)
            self._health_by_upstream[upstream.name] = health
        return health

    def _domain_health(self, upstream: Upstream) -> UpstreamHealth:
        health = self._health_by_domain.get(upstream.domain)
        if health is None:
            health = UpstreamHealth(DOMAIN_HEALTH_SETTINGS)
            self._health_by_domain[upstream.domain] = health
        return health

    def _update_verdict(self, upstream: Upstream) -> None:
        before = self.verdict(upstream)
        own = self._upstream_health(upstream).verdict
        if own is Verdict.USABLE:
            self._verdicts.pop(upstream.name, None)
        else:
            self._verdicts[upstream.name] = own
        if self._domain_health(upstream).verdict is Verdict.DEAD:
            self._dead_domains.add(upstream.domain)
        else:
            self._dead_domains.discard(upstream.domain)
        after = self.verdict(upstream)
        if after is not before:
            _log.info(
                'upstream judged',
                extra={
                    'upstream': upstream.name,
                    'domain': upstream.domain,
                    'verdict': after.value,
                    'replaced': before.value,
                    'domain_verdict': (
                        self._domain_health(upstream).verdict.value
                    ),
                },
            )
