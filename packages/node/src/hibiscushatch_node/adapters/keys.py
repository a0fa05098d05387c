"""Keys that authenticate requests of entry VMs and of operators.

Two keys may be valid at once, so that a key can be replaced without an outage.
"""

import hmac
from collections.abc import Mapping, Sequence

AUTHORIZATION_HEADER = 'Authorization'
_SCHEME = 'Bearer '


def authorization_headers(keys: Sequence[str]) -> dict[str, str]:
    """Build the request headers that contain the first key.

    Args:
        keys: The valid keys; the first of them is sent.

    Returns:
        HTTP headers.
    """
    return {AUTHORIZATION_HEADER: f'{_SCHEME}{keys[0]}'}


def is_authorized(headers: Mapping[str, str], keys: Sequence[str]) -> bool:
    """Return whether a request has a valid key, compared in constant time.

    Args:
        headers: The request's headers.
        keys: The valid keys.

    Returns:
        True when the request has one of the keys.
    """
    authorization = headers.get(AUTHORIZATION_HEADER, '').encode()
    matches = [
        hmac.compare_digest(authorization, f'{_SCHEME}{key}'.encode())
        for key in keys
    ]
    return any(matches)
