"""The status that an entry VM reports to operators, as one JSON document."""

import msgspec

from hibiscushatch_token.http_messages import OK, Response

STATUS_PATH = b'/v1/status'


class UpstreamStatus(msgspec.Struct, frozen=True):
    """An upstream as this entry VM sees it.

    Attributes:
        name: Its name in the registry.
        service: Its service.
        domain: Its failure domain.
        draining: Whether it is draining and gets no new flows.
        cold: Whether it is cold, having just started.
        verdict: Whether it accepts flows from this entry VM: ``usable``,
            ``suspect`` or ``dead``.
        slow: Whether its responses to this entry VM take much longer than the
            baseline of its service.
        ejected: Whether it is ejected because its requests fail much more
            often than those of other upstreams.
        open_flows: Flows that this entry VM has open on it.
    """

    name: str
    service: str
    domain: str
    draining: bool
    cold: bool
    verdict: str
    slow: bool
    ejected: bool
    open_flows: int


class Status(msgspec.Struct, frozen=True):
    """The state of one entry VM.

    Attributes:
        vm: Its name.
        domain: Its failure domain.
        ready: Whether the fabric should send it packets.
        cut_off: Whether it can reach neither upstreams nor the store.
        config_version: Version of the configuration in force; 0 for none.
        store_revision: Revision of the store that its replica has reached.
        store_age_s: Time since that revision was known to be the newest.
        known_entry_vms: Number of entry VMs that publishers have counted.
        follows: Control addresses of the entry VMs that it receives changes
            from.
        serves: Number of entry VMs that it sends changes to.
        open_flows: Flows opened here that are not known to have ended.
        evacuated: Failure domains that are evacuated and get no new flows.
        upstreams: All listed upstreams.
        store_era: Era of the store: how often it came back from an older copy
            of itself.
        withheld_upstreams: Upstreams whose entries in the store are outdated
            and not obeyed.
    """

    vm: str
    domain: str
    ready: bool
    cut_off: bool
    config_version: int
    store_revision: int
    store_age_s: float
    known_entry_vms: int
    follows: list[str]
    serves: int
    open_flows: int
    evacuated: list[str]
    upstreams: list[UpstreamStatus]
    store_era: int = 0
    withheld_upstreams: list[str] = []


def respond(status: Status) -> Response:
    """Encode a status as an HTTP response."""
    body = msgspec.json.encode(status)
    return Response(OK, body, b'application/json')
