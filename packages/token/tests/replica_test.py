"""Tests of hibiscushatch_token.knowledge.replica."""

import logging
import unittest

import token_fixtures as fixtures
from hypothesis import given, settings, strategies
from token_fixtures import change, listing, replica_harness

from hibiscushatch_core.ports import StoredValue, WatchEvent
from hibiscushatch_token.ports import Changes, Listing


def names(scene: fixtures.ReplicaHarness) -> set[str]:
    """Return the names of the listed upstreams."""
    return set(scene.registry.names)


def test_older_listings_and_changes_are_ignored() -> None:
    scene = replica_harness()
    scene.replica.merge_listing(listing(10, op_config='3', servers_a='here'))
    scene.replica.merge_listing(listing(9, op_config='2'))
    assert names(scene) == {'a'}
    scene.replica.merge_changes(5, change('servers/a', None, 8))
    assert names(scene) == {'a'}
    assert scene.routing.config.version == 3
    assert scene.replica.revision == 10


def test_changes_that_leave_a_gap_are_refused() -> None:
    scene = replica_harness()
    scene.replica.merge_listing(listing(10))
    missing = scene.replica.merge_changes(11, change('servers/a', 'here', 12))
    assert missing is None
    assert scene.replica.revision == 10
    merged = scene.replica.merge_changes(9, change('servers/a', 'here', 12))
    assert len(merged.events) == 1
    assert names(scene) == {'a'}


def test_a_listing_of_several_pages_may_be_ahead_of_its_revision() -> None:
    scene = replica_harness()
    pages = Listing(
        (
            StoredValue('servers/a', b'here', 3),
            StoredValue('servers/b', b'here draining', 7),
        ),
        5,
    )
    scene.replica.merge_listing(pages)
    events = (
        WatchEvent('servers/b', b'here', 6),
        WatchEvent('servers/b', b'here draining', 7),
    )
    news = scene.replica.merge_changes(5, Changes(events, 7))
    assert news.events == ()
    assert scene.replica.revision == 7
    draining = {one.name: one.is_draining for one in scene.registry.listed()}
    assert draining == {'a': False, 'b': True}


def test_a_lower_version_is_never_applied() -> None:
    scene = replica_harness()
    scene.replica.merge_listing(listing(10, op_config='7'))
    scene.replica.merge_changes(10, change('op/config', '6', 11))
    assert scene.routing.config.version == 7


def test_evacuations_come_and_go() -> None:
    scene = replica_harness()
    scene.replica.merge_listing(listing(1, op_evacuate_here='{}'))
    assert scene.routing.evacuated == {'here'}
    scene.replica.merge_changes(1, change('op/evacuate/here', None, 2))
    assert scene.routing.evacuated == frozenset()


def test_entries_that_lapsed_in_an_outage_are_kept_for_a_while() -> None:
    scene = replica_harness()
    scene.replica.merge_listing(
        listing(1, servers_a='here', servers_b='here', servers_c='here')
    )
    scene.replica.prove(0)
    scene.clock.now += 5
    scene.replica.merge_listing(listing(5, servers_c='here'))
    scene.replica.prove(0)
    scene.clock.now += 1
    scene.replica.merge_changes(5, change('servers/a', 'here', 6))
    scene.replica.prove(0)
    assert names(scene) == {'a', 'b', 'c'}
    scene.clock.now += 1.1
    scene.replica.expire()
    assert names(scene) == {'a', 'c'}


def test_old_news_from_a_peer_does_not_end_an_outage() -> None:
    scene = replica_harness()
    scene.replica.merge_listing(listing(1, servers_a='here'))
    scene.replica.prove(0)
    log = logging.getLogger('hibiscushatch_token.knowledge.replica')
    with unittest.TestCase().assertLogs(log) as lines:
        for _ in range(3):
            scene.clock.now += 3
            scene.replica.prove(2.9)
        scene.replica.prove(0)
    assert len(lines.records) == 1
    assert round(lines.records[0].outage_s) == 3


def test_entries_removed_while_the_store_answers_go_at_once() -> None:
    scene = replica_harness()
    scene.replica.merge_listing(listing(1, servers_a='here'))
    scene.replica.prove(0)
    scene.clock.now += 1
    scene.replica.merge_changes(1, change('servers/a', None, 2))
    assert names(scene) == set()


def test_an_entry_that_names_no_upstream_any_more_goes_at_once() -> None:
    scene = replica_harness()
    scene.replica.merge_listing(listing(1, servers_a='here'))
    scene.clock.now += 5
    scene.replica.merge_changes(1, change('servers/a', '', 2))
    assert names(scene) == set()


@settings(deadline=None)
@given(strategies.data())
def test_any_order_of_answers_never_goes_back(
    data: strategies.DataObject,
) -> None:
    """Listings and changes come late, again and with gaps."""
    history = [('op/config', str(version)) for version in range(1, 9)]
    scene = replica_harness()
    highest = 0
    for _ in range(20):
        upto = data.draw(strategies.integers(1, len(history)))
        if data.draw(strategies.booleans()):
            scene.replica.merge_listing(listing(upto, op_config=str(upto)))
        else:
            before = data.draw(strategies.integers(0, upto - 1))
            events = [
                change(key, value, index + 1).events[0]
                for index, (key, value) in enumerate(history[before:upto])
            ]
            events = [
                fixtures.WatchEvent(one.key, one.value, before + index + 1)
                for index, one in enumerate(events)
            ]
            scene.replica.merge_changes(before, Changes(tuple(events), upto))
        version = scene.routing.config.version
        assert version >= highest
        assert version == scene.replica.revision
        highest = version
