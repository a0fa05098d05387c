"""Puts a manifest generation in force in the tables of an entry VM."""

import logging

from hibiscushatch_core.buckets import BucketState, initial_state
from hibiscushatch_core.manifest import Manifest, Service
from hibiscushatch_node.node_state import NodeState

_logger = logging.getLogger(__name__)


class GenerationApplier:
    """Applies generations one after another."""

    def __init__(self, state: NodeState) -> None:
        self._state = state

    def apply(self, manifest: Manifest) -> None:
        """Put a generation in force.

        Args:
            manifest: A generation higher than the one in force.
        """
        state = self._state
        self._update_services(manifest)
        state.directory.apply(manifest, state.now())
        state.ownership.apply(manifest)
        state.manifest = manifest
        state.ownership.refresh(state.now())
        _logger.info('manifest in force generation=%d', manifest.generation)

    def _update_services(self, manifest: Manifest) -> None:
        table = self._state.table
        for service in manifest.services:
            if len(table.states(service.name)) != service.buckets:
                table.remove_service(service.name)
                table.add_service(
                    service.name, _initial_states(manifest, service)
                )
        for name in table.services:
            if name not in manifest.services_by_name:
                table.remove_service(name)


def _initial_states(manifest: Manifest, service: Service) -> list[BucketState]:
    eligible = [
        one.name
        for one in service.upstreams
        if manifest.accepts_new_flows(one.name)
    ]
    names = eligible or [one.name for one in service.upstreams]
    return [
        initial_state(manifest.generation, names[index % len(names)])
        for index in range(service.buckets)
    ]
