"""Ejects upstreams whose requests fail much oftener than those of others.

The load answered is a service of which some upstreams accept flows and then
fail part of the requests: they hang, answer errors, reject or turn slow. One
entry VM of many sees each upstream seldom, so the entry VMs add up what they
saw (failure_reporter), and what is decided here is passed on to all of them.

A sign of failure alone says little: the requests of a service differ, and a
service that is overloaded is late everywhere. So an upstream is ejected when it
has several failures more than a multiple of what is usual among the upstreams
of its service. Placement avoids it then as long as the others have room.
Ejections end by themselves, later each time.
"""

import logging
from collections.abc import Callable, Iterator, Mapping

import msgspec

from hibiscushatch_core.decaying_count import DecayingCount
from hibiscushatch_token.knowledge.known_state import KnownState
from hibiscushatch_token.model import Upstream
from hibiscushatch_token.settings import OutlierSettings

# What is usual is the mean of the upstreams with the fewest failures; the rest
# may be failing.
_USUAL_SHARE = 2 / 3
_EJECTION_GROWTH = 2.0
# A count below that says nothing any more.
_COUNT_FORGOTTEN = 0.05

_log = logging.getLogger(__name__)


class Ejection(msgspec.Struct):
    """An upstream that is or was ejected.

    Attributes:
        until: When the ejection ends.
        lasts_s: How long it lasts.
    """

    until: float
    lasts_s: float


class OutlierDetector:
    """Counts of failures by upstream, and the ejections that follow.

    Args:
        settings: Thresholds.
        known: The upstreams and the evacuated failure domains.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        settings: OutlierSettings,
        known: KnownState,
        clock: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._known = known
        self._clock = clock
        self._counts: dict[str, DecayingCount] = {}
        self._ejections: dict[str, Ejection] = {}

    @property
    def has_ejected(self) -> bool:
        """Whether any upstream is or was ejected."""
        return bool(self._ejections)

    def is_ejected(self, name: str) -> bool:
        """Tell whether an upstream is ejected."""
        ejection = self._ejections.get(name)
        return ejection is not None and self._clock() < ejection.until

    def ejected(self) -> Iterator[tuple[str, float]]:
        """Yield the ejected upstreams and how long that still lasts."""
        now = self._clock()
        for name, ejection in self._ejections.items():
            if now < ejection.until:
                yield name, ejection.until - now

    def count(self, failures: Mapping[str, int]) -> bool:
        """Count failures of requests, and judge their upstreams.

        Args:
            failures: Failures by name of the upstream.

        Returns:
            Whether an upstream was ejected.
        """
        now = self._clock()
        known = [
            (upstream, failures[upstream.name])
            for upstream in map(self._known.registry.find, failures)
            if upstream is not None
        ]
        for upstream, failed in known:
            count = self._counts.get(upstream.name)
            if count is None:
                count = DecayingCount(self._settings.half_life_s)
                self._counts[upstream.name] = count
            count.add(now, failed)
        ejected = [one for one, _ in known if self._judge(one, now)]
        return bool(ejected)

    def take_over(self, name: str, left_s: float, peer: str) -> None:
        """Take over an ejection that a peer has announced.

        Args:
            name: The upstream.
            left_s: How long the ejection still lasts.
            peer: Control address of the peer.
        """
        if self._known.registry.find(name) is None:
            return
        is_news = not self.is_ejected(name)
        lasts_s = min(left_s, self._settings.ejection_max_s)
        self._ejections[name] = Ejection(self._clock() + lasts_s, lasts_s)
        if is_news:
            _log.info(
                'ejection taken over',
                extra={
                    'upstream': name,
                    'ejected_s': round(lasts_s, 3),
                    'peer': peer,
                },
            )

    def forget(self, upstream: Upstream) -> None:
        """Drop what is known of an upstream that is gone or began anew."""
        self._counts.pop(upstream.name, None)
        self._ejections.pop(upstream.name, None)

    def expire(self) -> None:
        """Drop counts and ejections that no longer matter."""
        now = self._clock()
        self._counts = {
            name: count
            for name, count in self._counts.items()
            if count.value_at(now) > _COUNT_FORGOTTEN
        }
        memory_s = self._settings.ejection_memory_s
        self._ejections = {
            name: ejection
            for name, ejection in self._ejections.items()
            if now < ejection.until + memory_s
        }

    def _judge(self, upstream: Upstream, now: float) -> bool:
        count = self._counts[upstream.name].value_at(now)
        least = self._least_count(upstream.name, now)
        if count < least or self.is_ejected(upstream.name):
            return False
        evacuated = self._known.routing.evacuated
        peers = [
            one
            for one in self._known.registry.of_service(upstream.service)
            if not one.is_draining and one.domain not in evacuated
        ]
        usual = self._usual_count(peers, now)
        if count < least + usual * self._settings.failures_ratio:
            return False
        if not self._may_eject(upstream, peers):
            return False
        self._eject(upstream, count, usual, now)
        return True

    def _least_count(self, name: str, now: float) -> float:
        # An upstream that comes back from an ejection is watched closely.
        ejection = self._ejections.get(name)
        probation_s = self._settings.probation_s
        if ejection is not None and now < ejection.until + probation_s:
            return 1
        return self._settings.failures_min

    def _usual_count(self, peers: list[Upstream], now: float) -> float:
        counts = sorted(
            self._counts[one.name].value_at(now)
            if one.name in self._counts
            else 0
            for one in peers
        )
        fewest = counts[: int(len(counts) * _USUAL_SHARE)]
        return sum(fewest) / len(fewest) if fewest else 0

    def _may_eject(self, upstream: Upstream, peers: list[Upstream]) -> bool:
        settings = self._settings
        ejected = [one for one in peers if self.is_ejected(one.name)]
        if len(ejected) + 1 > len(peers) * settings.share_max:
            return False
        # Failures of most of a domain are rather those of the way there.
        near = [one for one in peers if one.domain == upstream.domain]
        near_ejected = [one for one in ejected if one.domain == upstream.domain]
        most = max(1, len(near) * settings.domain_share_max)
        return len(near_ejected) + 1 <= most

    def _eject(
        self, upstream: Upstream, count: float, usual: float, now: float
    ) -> None:
        settings = self._settings
        lasts_s = settings.ejection_min_s
        before = self._ejections.get(upstream.name)
        if before is not None:
            longer_s = before.lasts_s * _EJECTION_GROWTH
            lasts_s = min(settings.ejection_max_s, longer_s)
        self._ejections[upstream.name] = Ejection(now + lasts_s, lasts_s)
        _log.info(
            'upstream ejected',
            extra={
                'upstream': upstream.name,
                'service': upstream.service,
                'domain': upstream.domain,
                'failures': round(count, 2),
                'usual_failures': round(usual, 2),
                'ejected_s': lasts_s,
            },
        )
