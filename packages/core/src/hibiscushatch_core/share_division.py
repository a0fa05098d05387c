"""Division of a whole number of flows or buckets by weight.

Every entry VM computes the same division from the same input, so the parts of
an upstream's limit add up to the limit without any exchange of messages.
"""

from collections.abc import Mapping

from hibiscushatch_core import hashing


def divide_by_largest_remainder(
    amount: int, weights: Mapping[str, int], subject: str, rotation: int = 0
) -> dict[str, int]:
    """Divide an amount in proportion to weights, into whole numbers.

    When the amount is smaller than the number of parts, some parts get
    nothing. Which ones changes with the rotation number, so that each part
    gets something from time to time.

    Args:
        amount: The number to divide; not negative.
        weights: Weight of each part by name; a part without a positive
            weight is left out.
        subject: Identifies what is divided; it decides between parts with
            equal remainders.
        rotation: Number of the current time interval.

    Returns:
        The size of each part by name; the sizes add up to the amount. Empty
        when no weight is positive.
    """
    positive = {name: weight for name, weight in weights.items() if weight > 0}
    total = sum(positive.values())
    if not total:
        return {}
    parts = {
        name: amount * weight // total for name, weight in positive.items()
    }
    remainder = amount - sum(parts.values())
    if not remainder:
        return parts
    ranked = hashing.rank_by_rendezvous(positive, subject)
    if amount < len(ranked):
        start = rotation * remainder % len(ranked)
        ranked = ranked[start:] + ranked[:start]
    else:
        ranked.sort(key=lambda name: -(amount * positive[name] % total))
    for name in ranked[:remainder]:
        parts[name] += 1
    return parts
