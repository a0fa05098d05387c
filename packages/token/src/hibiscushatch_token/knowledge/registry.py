"""The upstreams that this process knows, and which of them get new flows."""

import logging
from collections.abc import Callable, Iterable, Iterator

import msgspec

from hibiscushatch_token.model import Upstream

_log = logging.getLogger(__name__)


class Registry:
    """The upstreams that may get new flows, and those that still have some.

    Args:
        clock: Monotonic seconds.
        flow_age_max_s: How long a removed upstream is still found by token.
        forget: Called with an upstream that is gone, or whose process is
            no longer the one that was known by its name.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        flow_age_max_s: float,
        forget: Callable[[Upstream], None],
    ) -> None:
        self._clock = clock
        self._flow_age_max_s = flow_age_max_s
        self._forget = forget
        self._listed: dict[str, Upstream] = {}
        self._by_service: dict[str, dict[str, Upstream]] = {}
        self._by_token: dict[int, Upstream] = {}
        self._cold_until: dict[str, float] = {}
        self._removed_at: dict[str, float] = {}
        # Listed upstreams whose token another one has.
        self._left_out: set[str] = set()
        self._revision = 0
        self._version = 0

    @property
    def revision(self) -> int:
        """Revision of the store at the latest change of an upstream."""
        return self._revision

    @property
    def version(self) -> int:
        """Rises with each change of what may get new flows."""
        return self._version

    @property
    def names(self) -> frozenset[str]:
        """Names of all listed upstreams."""
        return frozenset(self._listed)

    def listed(self) -> Iterator[Upstream]:
        """Yield all listed upstreams by name."""
        for name in sorted(self._listed):
            yield self._listed[name]

    def of_service(self, service: str) -> Iterable[Upstream]:
        """Return the listed upstreams of a service, draining ones too."""
        return self._by_service.get(service, {}).values()

    def find(self, name: str) -> Upstream | None:
        """Find a listed upstream by its name."""
        return self._listed.get(name)

    def by_token(self, token: int) -> Upstream | None:
        """Find the upstream of a flow, also one that was removed lately."""
        return self._by_token.get(token)

    @property
    def has_cold(self) -> bool:
        """Whether an upstream has started in the last seconds."""
        return bool(self._cold_until)

    def is_cold(self, upstream: Upstream) -> bool:
        """Tell whether an upstream has just started."""
        return self._clock() < self._cold_until.get(upstream.name, 0)

    def apply(
        self, name: str, upstream: Upstream | None, revision: int
    ) -> None:
        """Apply one entry; None removes the upstream."""
        self._revision = revision
        known = self._listed.get(name)
        if upstream is None:
            self._remove(name, known, revision)
            return
        self._put(upstream, known)
        if known is None or known.is_draining != upstream.is_draining:
            _log_upstream('upstream listed', upstream, revision)

    def load(self, upstreams: Iterable[Upstream], revision: int) -> None:
        """Apply a first listing, with one log line for all of it."""
        self._revision = revision
        for upstream in upstreams:
            self._put(upstream, None)
        listed = self._listed.values()
        _log.info(
            'upstreams listed',
            extra={
                'upstreams': len(listed),
                'draining': sum(one.is_draining for one in listed),
                'services': len(self._by_service),
                'revision': revision,
            },
        )

    def expire(self) -> None:
        """Forget tokens of upstreams removed longer ago than flows live."""
        now = self._clock()
        self._cold_until = {
            name: until
            for name, until in self._cold_until.items()
            if until > now
        }
        oldest = now - self._flow_age_max_s
        expired = {name for name, at in self._removed_at.items() if at < oldest}
        for name in expired:
            self._removed_at.pop(name)
        if expired:
            self._forget_tokens(expired)

    def _forget_tokens(self, names: set[str]) -> None:
        gone = [one for one in self._by_token.values() if one.name in names]
        for upstream in gone:
            self._by_token.pop(upstream.token)
            self._forget(upstream)

    def _put(self, upstream: Upstream, known: Upstream | None) -> None:
        name = upstream.name
        if known is None or _serves_otherwise(known, upstream):
            self._version += 1
        if known is None or known.incarnation != upstream.incarnation:
            self._forget(upstream)
        if upstream.cold_s > 0:
            self._cold_until[name] = self._clock() + upstream.cold_s
        self._listed[name] = upstream
        self._removed_at.pop(name, None)
        if known is not None and known.service != upstream.service:
            self._by_service[known.service].pop(name, None)
        if self._takes_token(upstream):
            self._by_token[upstream.token] = upstream
            self._by_service.setdefault(upstream.service, {})[name] = upstream

    def _remove(self, name: str, known: Upstream | None, revision: int) -> None:
        if known is None:
            return
        self._version += 1
        self._listed.pop(name)
        self._removed_at[name] = self._clock()
        self._by_service[known.service].pop(name, None)
        _log_upstream('upstream removed', known, revision)
        self._left_out.discard(name)
        for other in sorted(self._left_out):
            upstream = self._listed[other]
            if upstream.token == known.token:
                self._left_out.discard(other)
                self._put(upstream, upstream)

    def _takes_token(self, upstream: Upstream) -> bool:
        """Settle which of two upstreams with one token gets flows.

        Tokens are hashes. Every entry VM has to come to the same answer, in
        whatever order it learns of the two.
        """
        holder = self._by_token.get(upstream.token)
        if holder is None or holder.name not in self._listed:
            return True
        if holder.name == upstream.name:
            return True
        is_first = upstream.name < holder.name
        kept, left_out = (upstream, holder) if is_first else (holder, upstream)
        self._by_service.get(left_out.service, {}).pop(left_out.name, None)
        self._left_out.add(left_out.name)
        _log.warning(
            'two upstreams with one token',
            extra={
                'token': upstream.token,
                'upstream': kept.name,
                'left_out': left_out.name,
            },
        )
        return is_first


def _serves_otherwise(before: Upstream, after: Upstream) -> bool:
    # Of an upstream that only grows warm, nothing else changes.
    return before != msgspec.structs.replace(after, cold_s=before.cold_s)


def _log_upstream(event: str, upstream: Upstream, revision: int) -> None:
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
            'revision': revision,
        },
    )
