"""Hash functions with the same results on every entry VM, using xxhash."""

from collections.abc import Iterable

import xxhash

FLOW_KEY_BYTES = 6


def flow_key(caller: int, caller_port: int) -> int:
    """Build the key that identifies a flow within its service.

    Args:
        caller: The caller's IPv4 address as an integer.
        caller_port: The caller's port.

    Returns:
        A 48-bit integer.
    """
    return (caller << 16) | caller_port


def hash_flow(key: int, seed: int) -> int:
    """Hash a flow key to 64 bits, using the seed of its service."""
    return xxhash.xxh3_64_intdigest(key.to_bytes(FLOW_KEY_BYTES, 'big'), seed)


def hash_text(text: str, seed: int = 0) -> int:
    """Hash a text to 64 bits."""
    return xxhash.xxh3_64_intdigest(text.encode(), seed)


def rank_by_rendezvous(names: Iterable[str], subject: str) -> list[str]:
    """Order names by rendezvous hashing.

    Args:
        names: Candidates, such as VM or upstream names.
        subject: Identifies what is assigned to one of them.

    Returns:
        The names, the most preferred first.
    """
    seed = hash_text(subject) & 0xFFFFFFFF
    return sorted(
        names, key=lambda name: (hash_text(name, seed), name), reverse=True
    )
