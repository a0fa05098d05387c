"""Which upstreams answer, judged from what follows an opening packet.

A caller goes on with a flow as soon as its upstream has answered, so its next
packet shows that the upstream lives and can be reached from here. A copy of
the opening packet, or silence, shows the contrary. No probe is sent. Upstreams
of a failure domain that all stop to answer are taken as cut off together.
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

# One lost packet makes an upstream the last choice, a second one removes it
# from the choice until a single flow tries it again.
UPSTREAM_HEALTH = HealthSettings(
    suspect_failures=1,
    dead_failures=2,
    dead_after_s=0,
    answers_to_return=1,
    probe_min_s=1.0,
    probe_max_s=4.0,
)
# Several upstreams of a domain have to stay silent, as each may fail alone.
DOMAIN_HEALTH = HealthSettings(
    suspect_failures=2,
    dead_failures=3,
    dead_after_s=0,
    answers_to_return=1,
    probe_min_s=0.5,
    probe_max_s=1.0,
)

# How long one missing answer makes an upstream the last choice; a caller
# repeats its opening packet twice in this time.
_DOUBT_S = 1.0

_log = logging.getLogger(__name__)


class Reachability:
    """Health of upstreams and failure domains as seen from here.

    Args:
        randomness: Source of jitter of probes.
    """

    def __init__(self, randomness: random.Random) -> None:
        self._randomness = randomness
        self._upstreams: dict[str, UpstreamHealth] = {}
        self._domains: dict[str, UpstreamHealth] = {}
        self._failed_at: dict[str, float] = {}
        # The exceptions alone, as placement asks of every upstream.
        self._verdicts: dict[str, Verdict] = {}
        self._dead_domains: set[str] = set()

    @property
    def has_dead(self) -> bool:
        """Whether any upstream or failure domain is judged dead."""
        return bool(self._dead_domains) or Verdict.DEAD in (
            self._verdicts.values()
        )

    def forget(self, upstream: Upstream) -> None:
        """Drop what is known of an earlier process of an upstream."""
        self._upstreams.pop(upstream.name, None)
        self._failed_at.pop(upstream.name, None)
        self._verdicts.pop(upstream.name, None)

    def verdict(self, upstream: Upstream) -> Verdict:
        """Return the worse verdict of an upstream and its domain."""
        if upstream.domain in self._dead_domains:
            return Verdict.DEAD
        return self._verdicts.get(upstream.name, Verdict.USABLE)

    def doubtful_names(self, now: float) -> Iterator[str]:
        """Yield the upstreams that have failed a moment ago.

        The doubt passes by itself: an upstream that gets no flows would have
        no way to dispel it.
        """
        for name, verdict in self._verdicts.items():
            failed_at = self._failed_at.get(name, now)
            if verdict is Verdict.SUSPECT and now - failed_at < _DOUBT_S:
                yield name

    def may_probe(self, upstream: Upstream, now: float) -> bool:
        """Tell whether a dead upstream is due for a single flow."""
        return all(
            one.verdict is not Verdict.DEAD or one.may_probe(now)
            for one in (self._health(upstream), self._domain(upstream))
        )

    def probe_started(self, upstream: Upstream, now: float) -> None:
        """Note that a flow was placed on a dead upstream."""
        for one in (self._health(upstream), self._domain(upstream)):
            if one.verdict is Verdict.DEAD:
                one.record_probe(now, self._randomness)

    def answered(self, upstream: Upstream, answer_s: float, now: float) -> None:
        """Count an answer, so many seconds after the opening packet."""
        self._health(upstream).record_answer(answer_s, now)
        self._domain(upstream).record_answer(answer_s, now)
        self._judge(upstream)

    def unanswered(self, upstream: Upstream, now: float) -> None:
        """Count an opening packet that got no answer."""
        self._failed_at[upstream.name] = now
        self._health(upstream).record_failure(Failure.UNANSWERED, now)
        self._domain(upstream).record_failure(Failure.UNANSWERED, now)
        self._judge(upstream)

    def _health(self, upstream: Upstream) -> UpstreamHealth:
        health = self._upstreams.get(upstream.name)
        if health is None:
            health = UpstreamHealth(UPSTREAM_HEALTH)
            self._upstreams[upstream.name] = health
        return health

    def _domain(self, upstream: Upstream) -> UpstreamHealth:
        health = self._domains.get(upstream.domain)
        if health is None:
            health = UpstreamHealth(DOMAIN_HEALTH)
            self._domains[upstream.domain] = health
        return health

    def _judge(self, upstream: Upstream) -> None:
        before = self.verdict(upstream)
        own = self._health(upstream).verdict
        if own is Verdict.USABLE:
            self._verdicts.pop(upstream.name, None)
        else:
            self._verdicts[upstream.name] = own
        if self._domain(upstream).verdict is Verdict.DEAD:
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
                    'domain_verdict': self._domain(upstream).verdict.value,
                },
            )
