"""Keys that authenticate calls between entry VMs and those of operators.

Two keys may be valid at once, so that a key is replaced without an outage.
"""

import hmac
from collections.abc import Mapping, Sequence

AUTHORIZATION_HEADER = 'Authorization'
_SCHEME = 'Bearer '


def authorization_headers(keys: Sequence[str]) -> dict[str, str]:
    """Build the request headers that carry the first key.

    Args:
        keys: The valid keys, the one to send first.

    Returns:
        HTTP headers.
    """
    return {AUTHORIZATION_HEADER: f'{_SCHEME}{keys[0]}'}


def is_authorized(headers: Mapping[str, str], keys: Sequence[str]) -> bool:
    """Tell whether a request carries a valid key, in constant time.

    Args:
        headers: The request's headers.
        keys: The valid keys.

    Returns:
        True when one of the keys was sent.
    """
    given = headers.get(AUTHORIZATION_HEADER, '').encode()
    matches = [
        hmac.compare_digest(given, f'{_SCHEME}{key}'.encode()) for key in keys
    ]
    return any(matches)
