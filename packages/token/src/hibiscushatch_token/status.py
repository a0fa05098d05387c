"""What an entry VM tells operators of itself, as one JSON document."""

import msgspec

from hibiscushatch_token import http1

STATUS_PATH = b'/v1/status'


class UpstreamStatus(msgspec.Struct, frozen=True):
    """An upstream as this entry VM sees it.

    Attributes:
        name: Its name in the registry.
        service: Its service.
        domain: Its failure domain.
        draining: It gets no new flows.
        cold: It has just started.
        verdict: Whether it accepts flows from here.
        slow: It answered requests from here much more slowly than usual.
        ejected: Its requests fail much oftener than those of others.
        open_flows: Flows that this entry VM has opened on it.
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
        ready: Whether the fabric should send packets.
        cut_off: Neither upstreams nor the store can be reached.
        config_version: Configuration in force; 0 for none.
        store_revision: Revision of the store that it has reached.
        store_age_s: Time since that was known to be the newest.
        known_entry_vms: Entry VMs that publishers counted.
        follows: Control addresses of the entry VMs that tell it of changes.
        serves: How many entry VMs it tells of changes.
        open_flows: Flows opened here that are not known to have ended.
        evacuated: Failure domains that get no new flows.
        upstreams: All listed upstreams.
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


def respond(status: Status) -> http1.Response:
    """Encode a status as the answer to a request."""
    body = msgspec.json.encode(status)
    return http1.Response(http1.OK, body, b'application/json')
