"""Tests of hibiscushatch_node.ownership."""

import random

from hibiscushatch_node.ownership import ServingView

BUCKETS = 64
STEPS = 60
DOMAINS = ('pos-a', 'pos-b')


def _owners(view: ServingView) -> list[object]:
    return [
        view.rank('booking', index, domain)
        for domain in DOMAINS
        for index in range(BUCKETS)
    ]


def test_reused_rankings_equal_those_of_a_new_view() -> None:
    randomness = random.Random(5)
    members = {f'vm-{number}': DOMAINS[number % 2] for number in range(6)}
    view = ServingView(members)
    for step in range(STEPS):
        if step % 3:
            _owners(view)
        name = f'vm-{randomness.randrange(9)}'
        members = dict(members)
        if members.pop(name, None) is None:
            members[name] = randomness.choice(DOMAINS)
        view = view.with_members(members)
        assert _owners(view) == _owners(ServingView(members)), step


def test_buckets_of_a_domain_without_members_are_owned_by_other_members() -> (
    None
):
    view = ServingView({'vm-1': 'pos-a'}).with_members(
        {'vm-2': 'pos-b', 'vm-3': 'pos-b'}
    )
    assert view.rank('booking', 1, 'pos-a').owner in {'vm-2', 'vm-3'}
