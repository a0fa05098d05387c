"""The routes and evacuations in force, as far as this entry VM knows.

Each change is logged with the position of the store that it comes from. A
configuration whose version is not above the one in force is never applied, so
that neither a late answer nor an older copy of the store can restore an older
configuration.
"""

import logging

from hibiscushatch_token.model import (
    EMPTY_CONFIG,
    Endpoint,
    Route,
    RoutingConfig,
)
from hibiscushatch_token.ports import Position

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

    def apply_config(self, config: RoutingConfig, position: Position) -> None:
        """Put a configuration in force unless its version is not higher."""
        previous_version = self._config.version
        if config.version <= previous_version:
            if config.version == previous_version and config != self._config:
                _log.error(
                    'another configuration with the version in force',
                    extra={
                        'version': config.version,
                        'era': position.era,
                        'revision': position.revision,
                    },
                )
            return
        self._config = config
        _log.info(
            'configuration applied',
            extra={
                'version': config.version,
                'replaced': previous_version,
                'era': position.era,
                'revision': position.revision,
                'routes': len(config.routes),
            },
        )

    def set_evacuated(
        self, domains: frozenset[str], position: Position
    ) -> None:
        """Replace the set of evacuated failure domains."""
        if domains == self._evacuated:
            return
        self._evacuated = domains
        _log.info(
            'evacuations changed',
            extra={
                'domains': ','.join(sorted(domains)) or 'none',
                'era': position.era,
                'revision': position.revision,
            },
        )
