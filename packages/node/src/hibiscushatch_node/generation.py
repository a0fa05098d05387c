"""Applies manifest generations to the tables of an entry VM."""

import logging

from hibiscushatch_core.layout import make_layout
from hibiscushatch_core.manifest import Manifest
from hibiscushatch_node.membership import MemberState
from hibiscushatch_node.node_state import NodeState

_log = logging.getLogger(__name__)


class GenerationApplier:
    """Applies one manifest generation after another."""

    def __init__(self, state: NodeState) -> None:
        self._state = state

    def apply(self, manifest: Manifest) -> None:
        """Put a generation in force.

        Args:
            manifest: The manifest; its generation is higher than the one in
                force.
        """
        state = self._state
        self._update_services(manifest)
        state.directory.apply(manifest, state.now())
        state.ownership.apply(manifest)
        state.manifest = manifest
        if state.membership.own.state is not MemberState.JOINING:
            self.create_missing_layouts()
        state.ownership.refresh(state.now())
        _log.info('manifest in force generation=%d', manifest.generation)

    def create_missing_layouts(self) -> None:
        """Make a layout for each service of which no peer sent one."""
        manifest = self._state.manifest
        for service in manifest.services:
            if not self._state.table.has_bucket(service.name, 0):
                self._state.table.add_service(
                    service.name, make_layout(manifest, service)
                )

    def _update_services(self, manifest: Manifest) -> None:
        table = self._state.table
        sizes = {service.name: service.buckets for service in manifest.services}
        for name in table.services:
            if len(table.states(name)) != sizes.get(name):
                table.remove_service(name)
