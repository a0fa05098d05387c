"""Tests of hibiscushatch_node.membership."""

import dataclasses

from hibiscushatch_node.membership import (
    MESH_MEMBERS_MAX,
    Member,
    Membership,
    MemberState,
)


def _member(name: str, *heartbeats_from: str, domain: str = 'pos-a') -> Member:
    return Member(
        name=name,
        domain=domain,
        incarnation=1,
        sequence=1,
        state=MemberState.SERVING,
        control=('127.0.0.1', 1),
        relay=('127.0.0.1', 2),
        generation=1,
        heartbeats_from=frozenset(heartbeats_from),
    )


def _membership_of(own: Member, *others: Member) -> Membership:
    membership = Membership(own)
    for other in others:
        membership.apply_record(other)
    return membership


def test_a_vm_whose_heartbeats_only_another_vm_receives_is_live() -> None:
    membership = _membership_of(
        _member('a', 'b'), _member('b', 'a', 'c'), _member('c', 'b')
    )
    assert membership.live == {'a', 'b', 'c'}
    assert membership.next_hop('c').name == 'b'


def test_a_vm_whose_heartbeats_no_live_vm_receives_is_not_live() -> None:
    membership = _membership_of(
        _member('a', 'b'), _member('b', 'a'), _member('c', 'd'), _member('d')
    )
    assert membership.live == {'a', 'b'}
    assert membership.next_hop('c') is None


def test_an_older_record_is_not_stored() -> None:
    newer = dataclasses.replace(_member('b'), incarnation=2)
    membership = _membership_of(_member('a', 'b'), newer)
    assert not membership.apply_record(_member('b', 'a'))
    assert membership.find('b') == newer


def test_a_higher_incarnation_wins_over_any_sequence() -> None:
    old = dataclasses.replace(_member('b'), sequence=90)
    membership = _membership_of(_member('a', 'b'), old)
    assert membership.apply_record(dataclasses.replace(old, incarnation=2))


def test_only_live_vms_contribute_dead_upstreams() -> None:
    live_member = dataclasses.replace(
        _member('b', 'a'), dead=frozenset(('u1',))
    )
    unreachable_member = dataclasses.replace(
        _member('c'), dead=frozenset(('u2',))
    )
    membership = _membership_of(
        _member('a', 'b'), live_member, unreachable_member
    )
    assert membership.dead_upstreams() == {'u1'}


def test_links_of_a_large_fleet_are_few_and_symmetric() -> None:
    members = [
        _member(f'vm-{number}', domain=f'pos-{number % 6}')
        for number in range(MESH_MEMBERS_MAX * 3)
    ]
    memberships = {
        own.name: _membership_of(
            own, *(peer for peer in members if peer is not own)
        )
        for own in members
    }
    for name, membership in memberships.items():
        assert len(membership.flood_names()) <= 8
        for other in membership.link_names():
            assert name in memberships[other].link_names()
