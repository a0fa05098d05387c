"""Tests of hibiscushatch_token.traffic.free_slots.

Guards against late requests that take slots which are not there, because the
sums over the fleet are old, partial or the same for all entry VMs.
"""

import token_fixtures as fixtures
from token_fixtures import FakeClock, VmHarness, upstream, vm_harness

from hibiscushatch_token.knowledge.fleet_load import LoadKey, LoadSum

# Entry VMs of the fleet, and slots of the service.
FLEET = 4
SLOTS = 24
# Later than sums count after a start.
SETTLED_S = 1.0


def vm_in_fleet() -> VmHarness:
    """Build an entry VM of a fleet, some time after its start."""
    names = ('a1', 'a2')
    vm = vm_harness(
        *(upstream(name, slots=SLOTS // 2) for name in names),
        fleet=FLEET,
        clock=FakeClock(),
    )
    vm.clock.now += SETTLED_S
    return vm


def announce(
    vm: VmHarness, under_way: float, age_s: float = 0.2, covered: int = FLEET
) -> None:
    """Give an entry VM sums over the fleet."""
    row = (LoadKey('booking', 'here', 0), LoadSum(under_way=under_way))
    vm.fleet_load.update([row], covered, age_s)


def count_free(vm: VmHarness) -> int:
    """Return how many flows can be opened until no slots are left."""
    for number in range(SLOTS * 2):
        if not vm.placement.has_free_slots('booking'):
            return number
        flow = f'{number:04}'
        vm.send_after_answer(flow, vm.open(flow))
    return SLOTS * 2


def test_without_sums_an_entry_vm_uses_its_share_of_all_slots() -> None:
    assert count_free(vm_in_fleet()) == SLOTS // FLEET


def test_with_sums_it_uses_its_share_of_the_free_slots() -> None:
    for under_way, expected in ((0, 6), (8, 4), (16, 2), (24, 0), (60, 0)):
        vm = vm_in_fleet()
        announce(vm, under_way)
        assert count_free(vm) == expected, under_way


def test_new_sums_allow_its_share_again() -> None:
    vm = vm_in_fleet()
    announce(vm, 16)
    assert count_free(vm) == 2
    vm.clock.now += 0.2
    announce(vm, 16)
    assert vm.placement.has_free_slots('booking')


def test_shares_below_one_add_up_to_the_free_slots() -> None:
    taken = 0
    for seed in range(200):
        vm = vm_harness(
            upstream('a1', slots=SLOTS), fleet=FLEET, clock=FakeClock()
        )
        vm.placement._randomness.seed(seed)
        vm.clock.now += SETTLED_S
        announce(vm, SLOTS - 1)
        taken += count_free(vm)
    # A quarter of a slot each.
    assert 30 <= taken <= 70


def test_old_sums_are_not_used() -> None:
    vm = vm_in_fleet()
    announce(vm, 24, age_s=2.5)
    assert count_free(vm) == SLOTS // FLEET


# Guards against sums that show a fleet without load, because they were measured
# while its entry VMs were off or frozen.
def test_sums_from_before_a_backlog_are_not_used() -> None:
    vm = vm_in_fleet()
    vm.backlog.handle([(fixtures._PACKET.pack(b'f001', 0, 1, 0, 0), 0.1)])
    vm.clock.now += 0.1
    announce(vm, 0)
    # One slot is taken by the waiting flow.
    assert count_free(vm) == SLOTS // FLEET - 1
    vm.clock.now += SETTLED_S
    announce(vm, 24)
    assert not vm.placement.has_free_slots('booking')


def test_sums_that_lack_the_service_are_not_used() -> None:
    vm = vm_in_fleet()
    row = (LoadKey('docs', 'here', 0), LoadSum(under_way=1))
    vm.fleet_load.update([row], FLEET, 0.1)
    assert count_free(vm) == SLOTS // FLEET


def test_sums_of_a_part_of_the_fleet_are_scaled() -> None:
    vm = vm_in_fleet()
    announce(vm, 8, covered=2)
    assert count_free(vm) == 2
