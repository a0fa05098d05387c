"""Tests of hibiscushatch_node.membership."""

import dataclasses

from hibiscushatch_node.membership import (
    MESH_MEMBERS_MAX,
    Member,
    Membership,
    MemberState,
)


def _member(name: str, *hears: str, domain: str = 'pos-a') -> Member:
    return Member(
        name=name,
        domain=domain,
        incarnation=1,
        sequence=1,
        state=MemberState.SERVING,
        control=('127.0.0.1', 1),
        relay=('127.0.0.1', 2),
        generation=1,
        hears=frozenset(hears),
    )


def _view_of(own: Member, *others: Member) -> Membership:
    membership = Membership(own)
    for other in others:
        membership.receive(other)
    return membership


def test_a_vm_that_only_others_hear_is_live() -> None:
    membership = _view_of(
        _member('a', 'b'), _member('b', 'a', 'c'), _member('c', 'b')
    )
    assert membership.live == {'a', 'b', 'c'}
    assert membership.next_hop('c').name == 'b'


def test_a_vm_that_nobody_reached_hears_is_not_live() -> None:
    membership = _view_of(
        _member('a', 'b'), _member('b', 'a'), _member('c', 'd'), _member('d')
    )
    assert membership.live == {'a', 'b'}
    assert membership.next_hop('c') is None


def test_an_older_record_is_no_news() -> None:
    newer = dataclasses.replace(_member('b'), incarnation=2)
    membership = _view_of(_member('a', 'b'), newer)
    assert not membership.receive(_member('b', 'a'))
    assert membership.find('b') == newer


def test_a_new_incarnation_replaces_any_sequence() -> None:
    old = dataclasses.replace(_member('b'), sequence=90)
    membership = _view_of(_member('a', 'b'), old)
    assert membership.receive(dataclasses.replace(old, incarnation=2))


def test_dead_upstreams_are_those_that_live_vms_name() -> None:
    here = dataclasses.replace(_member('b', 'a'), dead=frozenset(('u1',)))
    gone = dataclasses.replace(_member('c'), dead=frozenset(('u2',)))
    membership = _view_of(_member('a', 'b'), here, gone)
    assert membership.dead_upstreams() == {'u1'}


def test_links_of_a_large_fleet_are_few_and_the_same_from_both_ends() -> None:
    members = [
        _member(f'vm-{number}', domain=f'pos-{number % 6}')
        for number in range(MESH_MEMBERS_MAX * 3)
    ]
    views = {
        own.name: _view_of(own, *(one for one in members if one is not own))
        for own in members
    }
    for name, view in views.items():
        assert len(view.flood_names()) <= 8
        for other in view.link_names():
            assert name in views[other].link_names()
