"""The routes and evacuations that this process believes to be in force.

Each belief carries the store's revision that it comes from. A configuration
with a lower version than the one in force is never applied, so that the
process does not go back within its lifetime, whatever answer comes late.
"""

import logging

from hibiscushatch_token.model import (
    EMPTY_CONFIG,
    Endpoint,
    Route,
    RoutingConfig,
)

_log = logging.getLogger(__name__)


class Routing:
    """The configuration in force and the evacuated failure domains."""

    def __init__(self) -> None:
        self._config = EMPTY_CONFIG
        self._evacuated: frozenset[str] = frozenset()

    @property
    def config(self) -> RoutingConfig:
        """The configuration in force."""
        return self._config

    @property
    def evacuated(self) -> frozenset[str]:
        """Failure domains that must get no new flows."""
        return self._evacuated

    def route_of(self, endpoint: Endpoint) -> Route | None:
        """Return the route of an endpoint; None when it has none."""
        return self._config.routes.get(endpoint)

    def apply_config(self, config: RoutingConfig, revision: int) -> None:
        """Put a configuration in force unless it is older."""
        before = self._config.version
        if config.version <= before:
            return
        self._config = config
        _log.info(
            'configuration applied',
            extra={
                'version': config.version,
                'replaced': before,
                'revision': revision,
                'routes': len(config.routes),
            },
        )

    def set_evacuated(self, domains: frozenset[str], revision: int) -> None:
        """Replace the set of evacuated failure domains."""
        if domains == self._evacuated:
            return
        self._evacuated = domains
        _log.info(
            'evacuations changed',
            extra={
                'domains': ','.join(sorted(domains)) or 'none',
                'revision': revision,
            },
        )
