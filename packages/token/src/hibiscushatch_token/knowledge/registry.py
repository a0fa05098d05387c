"""The upstreams that this entry VM knows, by name, service and token."""

import logging
from collections.abc import Callable, Iterable, Iterator

import msgspec

from hibiscushatch_token.model import EntryVersion, Upstream
from hibiscushatch_token.ports import NO_POSITION, Position

_log = logging.getLogger(__name__)


class _Removal(msgspec.Struct, frozen=True):
    """When an upstream was removed, and its latest statement."""

    removed_at: float
    version: EntryVersion


class Registry:
    """The listed upstreams, and removed ones that may still have open flows.

    Args:
        clock: Returns monotonic seconds.
        flow_age_max_s: How long a removed upstream is still found by its
            token: the age of the oldest flow.
        on_obsolete: Called when what is known of the process of an upstream no
            longer applies: the upstream is new, runs as a new process, or was
            removed longer ago than flows live.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        flow_age_max_s: float,
        on_obsolete: Callable[[Upstream], None],
    ) -> None:
        self._clock = clock
        self._flow_age_max_s = flow_age_max_s
        self._on_obsolete = on_obsolete
        self._listed: dict[str, Upstream] = {}
        self._by_service: dict[str, dict[str, Upstream]] = {}
        self._by_token: dict[int, Upstream] = {}
        self._cold_until: dict[str, float] = {}
        self._removals: dict[str, _Removal] = {}
        # Names of listed upstreams that get no flows because another listed
        # upstream has the same token.
        self._excluded: set[str] = set()
        self._position = NO_POSITION
        self._version = 0

    @property
    def position(self) -> Position:
        """Position of the store at the latest change of an upstream."""
        return self._position

    @property
    def version(self) -> int:
        """A number that rises whenever the upstreams for new flows change."""
        return self._version

    @property
    def names(self) -> frozenset[str]:
        """Names of all listed upstreams."""
        return frozenset(self._listed)

    def listed(self) -> Iterator[Upstream]:
        """Yield all listed upstreams in the order of their names."""
        for name in sorted(self._listed):
            yield self._listed[name]

    def of_service(self, service: str) -> Iterable[Upstream]:
        """Return the listed upstreams of a service, draining ones too."""
        return self._by_service.get(service, {}).values()

    def find(self, name: str) -> Upstream | None:
        """Find a listed upstream by its name."""
        return self._listed.get(name)

    def removed(self) -> dict[str, EntryVersion]:
        """Return the latest statements of upstreams removed recently."""
        return {
            name: removal.version for name, removal in self._removals.items()
        }

    def latest_version(self, name: str) -> EntryVersion | None:
        """Return the latest known statement of an upstream, also a removed one.

        Returns:
            None for an upstream that is unknown or was removed longer ago than
            flows live.
        """
        if name in self._listed:
            return self._listed[name].version
        removal = self._removals.get(name)
        return None if removal is None else removal.version

    def record_removal(self, name: str, version: EntryVersion) -> None:
        """Record that an upstream which is not listed here was removed."""
        self._removals[name] = _Removal(self._clock(), version)

    def by_token(self, token: int) -> Upstream | None:
        """Find an upstream by its token, also one that was removed recently."""
        return self._by_token.get(token)

    @property
    def has_cold_upstreams(self) -> bool:
        """Whether any upstream is cold because it has just started."""
        return bool(self._cold_until)

    def is_cold(self, upstream: Upstream) -> bool:
        """Return whether an upstream is cold because it has just started."""
        return self._clock() < self._cold_until.get(upstream.name, 0)

    def apply(
        self, name: str, upstream: Upstream | None, position: Position
    ) -> None:
        """Apply a change of one upstream; None removes it."""
        self._position = position
        previous = self._listed.get(name)
        if upstream is None:
            self._remove(name, previous, position)
            return
        self._put(upstream, previous)
        if previous is None or previous.is_draining != upstream.is_draining:
            _log_upstream('upstream listed', upstream, position)

    def load(self, upstreams: Iterable[Upstream], position: Position) -> None:
        """Apply the first listing, with one log line for all upstreams."""
        self._position = position
        for upstream in upstreams:
            self._put(upstream, None)
        listed = self._listed.values()
        _log.info(
            'upstreams listed',
            extra={
                'upstreams': len(listed),
                'draining': sum(
                    listed_upstream.is_draining for listed_upstream in listed
                ),
                'services': len(self._by_service),
                'era': position.era,
                'revision': position.revision,
            },
        )

    def expire(self) -> None:
        """Drop what no longer applies.

        These are the tokens of upstreams that were removed longer ago than
        flows live, and the marks of upstreams that are no longer cold.
        """
        now = self._clock()
        self._cold_until = {
            name: until
            for name, until in self._cold_until.items()
            if until > now
        }
        oldest = now - self._flow_age_max_s
        expired = {
            name
            for name, removal in self._removals.items()
            if removal.removed_at < oldest
        }
        for name in expired:
            self._removals.pop(name)
        if expired:
            self._remove_tokens(expired)

    def _remove_tokens(self, names: set[str]) -> None:
        upstreams = [
            candidate
            for candidate in self._by_token.values()
            if candidate.name in names
        ]
        for upstream in upstreams:
            self._by_token.pop(upstream.token)
            self._on_obsolete(upstream)

    def _put(self, upstream: Upstream, previous: Upstream | None) -> None:
        name = upstream.name
        if previous is None or _differs_for_flows(previous, upstream):
            self._version += 1
        if previous is None or previous.incarnation != upstream.incarnation:
            self._on_obsolete(upstream)
        if upstream.cold_s > 0:
            self._cold_until[name] = self._clock() + upstream.cold_s
        self._listed[name] = upstream
        self._removals.pop(name, None)
        if previous is not None and previous.service != upstream.service:
            self._by_service[previous.service].pop(name, None)
        if self._resolve_token_conflict(upstream):
            self._by_token[upstream.token] = upstream
            self._by_service.setdefault(upstream.service, {})[name] = upstream

    def _remove(
        self, name: str, previous: Upstream | None, position: Position
    ) -> None:
        if previous is None:
            return
        self._version += 1
        self._listed.pop(name)
        self._removals[name] = _Removal(self._clock(), previous.version)
        self._by_service[previous.service].pop(name, None)
        _log_upstream('upstream removed', previous, position)
        self._excluded.discard(name)
        for excluded_name in sorted(self._excluded):
            upstream = self._listed[excluded_name]
            if upstream.token == previous.token:
                self._excluded.discard(excluded_name)
                self._put(upstream, upstream)

    def _resolve_token_conflict(self, upstream: Upstream) -> bool:
        """Return whether an upstream gets the flows of its token.

        Tokens are hashes, so two upstreams may have the same one. The upstream
        whose name comes first then gets the flows and the other one is
        excluded, so that every entry VM decides alike, in whatever order it
        learns of the two.
        """
        holder = self._by_token.get(upstream.token)
        if holder is None or holder.name not in self._listed:
            return True
        if holder.name == upstream.name:
            return True
        is_kept = upstream.name < holder.name
        kept, excluded = (upstream, holder) if is_kept else (holder, upstream)
        self._by_service.get(excluded.service, {}).pop(excluded.name, None)
        self._excluded.add(excluded.name)
        _log.warning(
            'two upstreams with one token',
            extra={
                'token': upstream.token,
                'upstream': kept.name,
                'left_out': excluded.name,
            },
        )
        return is_kept


def _differs_for_flows(before: Upstream, after: Upstream) -> bool:
    # While an upstream warms up, only cold_s and the number of its entry
    # change, and both are ignored.
    version = EntryVersion(after.incarnation, before.version.sequence)
    return before != msgspec.structs.replace(
        after, cold_s=before.cold_s, version=version
    )


def _log_upstream(event: str, upstream: Upstream, position: Position) -> None:
    _log.info(
        event,
        extra={
            'upstream': upstream.name,
            'service': upstream.service,
            'address': '{}:{}'.format(*upstream.address),
            'domain': upstream.domain,
            'draining': upstream.is_draining,
            'cold_s': upstream.cold_s,
            'incarnation': upstream.incarnation,
            'sequence': upstream.version.sequence,
            'era': position.era,
            'revision': position.revision,
        },
    )
