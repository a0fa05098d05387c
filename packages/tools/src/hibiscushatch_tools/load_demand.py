"""The requests of a load over time: how many, of which kind, from where."""

import math
import random

from hibiscushatch_tools.load_model import (
    Domain,
    HeavyCaller,
    Load,
    RequestKind,
    Surge,
)


class Demand:
    """Computes the request rate and draws requests.

    Args:
        load: The load.
        randomness: Draws requests.
    """

    def __init__(self, load: Load, randomness: random.Random) -> None:
        self._load = load
        self._randomness = randomness
        self._shares = sum(kind.share for kind in load.kinds)
        self._callers = sum(domain.callers for domain in load.domains)

    def draw_interval_s(self, now: float) -> float:
        """Draw the time until the next request of any caller."""
        surge = self._surge_at(now)
        kinds = sum(self._kind_weights(now, surge)) / self._shares
        domains = sum(self._domain_weights(now, surge)) / self._callers
        per_s = self._load.requests_per_s * kinds * domains
        if surge is not None and not _is_selective(surge):
            per_s *= _factor_at(now, surge)
        return self._randomness.expovariate(per_s)

    def draw_heavy_interval_s(self, heavy: HeavyCaller, now: float) -> float:
        """Draw the time until the next request of a heavy caller."""
        surge = self._surge_at(now)
        kind = self._kind_index(heavy.kind)
        domain = self._domain_index(heavy.domain)
        share = (
            self._kind_weights(now, surge)[kind]
            / self._shares
            * self._domain_weights(now, surge)[domain]
            / self._callers
        )
        per_address = share / self._load.domains[domain].addresses
        per_s = self._load.requests_per_s * per_address * heavy.factor
        if surge is not None and not _is_selective(surge):
            per_s *= _factor_at(now, surge)
        return self._randomness.expovariate(per_s)

    def draw_kind(self, now: float) -> RequestKind:
        """Draw the kind of a request."""
        weights = self._kind_weights(now, self._surge_at(now))
        return self._randomness.choices(self._load.kinds, weights)[0]

    def draw_domain(self, now: float) -> Domain:
        """Draw the failure domain of the caller of a request."""
        surge = self._surge_at(now)
        weights = self._domain_weights(now, surge)
        if surge is not None and surge.domains:
            weighted = zip(weights, self._load.domains, strict=True)
            weights = [
                weight * (domain.name in surge.domains)
                for weight, domain in weighted
            ]
        return self._randomness.choices(self._load.domains, weights)[0]

    def kind_of(self, heavy: HeavyCaller) -> RequestKind:
        """Return the kind of the requests of a heavy caller."""
        return self._load.kinds[self._kind_index(heavy.kind)]

    def _kind_index(self, name: str) -> int:
        return [kind.name for kind in self._load.kinds].index(name)

    def _domain_index(self, name: str) -> int:
        return [domain.name for domain in self._load.domains].index(name)

    def _surge_at(self, now: float) -> Surge | None:
        for surge in self._load.surges:
            if surge.from_s <= now < surge.until_s:
                return surge
        return None

    def _kind_weights(self, now: float, surge: Surge | None) -> list[float]:
        raised = () if surge is None else surge.raised_kinds
        factor = _factor_at(now, surge)
        return [
            _raise_if(kind.name in raised, kind.share, factor)
            for kind in self._load.kinds
        ]

    def _domain_weights(self, now: float, surge: Surge | None) -> list[float]:
        raised = () if surge is None else surge.raised_domains
        factor = _factor_at(now, surge)
        return [
            _raise_if(
                domain.name in raised,
                domain.callers * self._wave_of(domain, now),
                factor,
            )
            for domain in self._load.domains
        ]

    def _wave_of(self, domain: Domain, now: float) -> float:
        periods = now / self._load.wave_s + domain.wave_phase
        return 1 + self._load.wave * math.sin(2 * math.pi * periods)


def _raise_if(is_raised: bool, weight: float, factor: float) -> float:
    return weight * factor if is_raised else weight


def _is_selective(surge: Surge) -> bool:
    return bool(surge.raised_domains or surge.raised_kinds)


def _factor_at(now: float, surge: Surge | None) -> float:
    if surge is None:
        return 1
    progress = 1.0
    if surge.is_ramp:
        length_s = surge.until_s - surge.from_s
        progress = (now - surge.from_s) / length_s
    return 1 + (surge.factor - 1) * progress
