"""Division of a whole number of flows by weight.

Every entry VM computes the same division from the same input, so the parts
of one upstream's limit add up to the limit without any message.
"""

from collections.abc import Mapping

from hibiscushatch_core import hashing


def divide_by_largest_remainder(
    amount: int, weights: Mapping[str, int], subject: str, turn: int = 0
) -> dict[str, int]:
    """Divide an amount in proportion to weights.

    When the amount is smaller than the number of parts, whose sizes would be
    fractions below one, the turn decides which parts get one.

    Args:
        amount: What is divided, not negative.
        weights: Weight of each part; those of weight zero get nothing.
        subject: What the division is for; it breaks ties.
        turn: Number of the current time slot.

    Returns:
        The size of every part; the sizes add up to the amount unless all
        weights are zero.
    """
    positive = {name: one for name, one in weights.items() if one > 0}
    total = sum(positive.values())
    if not total:
        return {}
    parts = {name: amount * one // total for name, one in positive.items()}
    rest = amount - sum(parts.values())
    if not rest:
        return parts
    ranked = hashing.rank_by_rendezvous(positive, subject)
    if amount < len(ranked):
        start = turn * rest % len(ranked)
        ranked = ranked[start:] + ranked[:start]
    else:
        ranked.sort(key=lambda name: -(amount * positive[name] % total))
    for name in ranked[:rest]:
        parts[name] += 1
    return parts
