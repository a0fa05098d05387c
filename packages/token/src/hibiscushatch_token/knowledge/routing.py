"""The routes and evacuations in force, as far as this entry VM knows.

Each change is logged with the revision of the store that it comes from. A
configuration whose version is not above the one in force is never applied, so
that a late answer can't restore an older configuration.
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
        """The evacuated failure domains, which must get no new flows."""
        return self._evacuated

    def route_of(self, endpoint: Endpoint) -> Route | None:
        """Return the route of an endpoint, or None."""
        return self._config.routes.get(endpoint)

    def apply_config(self, config: RoutingConfig, revision: int) -> None:
        """Put a configuration in force unless its version is not higher."""
        previous_version = self._config.version
        if config.version <= previous_version:
            return
        self._config = config
        _log.info(
            'configuration applied',
            extra={
                'version': config.version,
                'replaced': previous_version,
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
