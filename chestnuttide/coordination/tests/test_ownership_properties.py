"""Tests of shard ownership under random faults, in simulated time.

Hypothesis draws the seeds, and `derandomize` fixes them. A failure can be
reproduced with the seed that it prints.
"""

import random

import hypothesis
from hypothesis import strategies
import pytest

from chestnuttide.coordination.tests import ownership_world

# Covers the lease, the list lag, the promise time and all claim delays.
RECOVERY_S = 30.0

_faults = strategies.lists(
    strategies.builds(
        ownership_world.Fault,
        at=strategies.sampled_from([0.0, 1.0, 3.0, 5.0, 5.3, 8.0, 12.0]),
        kind=strategies.sampled_from(ownership_world.FAULT_KINDS),
        node=strategies.integers(0, 4),
        length=strategies.sampled_from([0.3, 1.5, 3.0, 5.0, 9.0]),
    ),
    max_size=8,
)


def _assert_one_owner(world: ownership_world.World) -> None:
    assert world.violations == []


@hypothesis.settings(max_examples=24, derandomize=True, deadline=None)
@hypothesis.given(
    seed=strategies.integers(0, 2**32),
    count=strategies.sampled_from([1, 2, 3, 3, 4, 5]),
    faults=_faults,
    loss=strategies.sampled_from([0.0, 0.02, 0.1]),
)
def test_one_owner_during_faults_and_an_owner_after_them(
    seed: int, count: int, faults: list, loss: float
) -> None:
    """Guards against two owners, and against shards left without one."""
    world = ownership_world.make_world(seed, count, 2, loss, loss)
    end = 5.0
    for fault in faults:
        ownership_world.inject(world, fault)
        end = max(end, fault.at + fault.length)
    ownership_world.run_until(world, end)
    _assert_one_owner(world)
    world.loss = world.slow = 0.0
    ownership_world.run_until(world, end + RECOVERY_S)
    _assert_one_owner(world)
    for shard in world.shards:
        assert len(ownership_world.acting(world, shard)) == 1


@hypothesis.settings(max_examples=70, derandomize=True, deadline=None)
@hypothesis.given(
    seed=strategies.integers(0, 2**32),
    count=strategies.sampled_from([2, 3, 3, 4]),
    late=strategies.sampled_from([0.0, 0.01, 0.05]),
    changes_per_s=strategies.sampled_from([0.5, 1.0, 2.0]),
)
def test_one_owner_while_the_owner_is_cut_off(
    seed: int, count: int, late: float, changes_per_s: float
) -> None:
    """Guards against two owners when promises meet claims."""
    world = ownership_world.make_world(seed, count, 1, 0.0, late)
    ownership_world.run_until(world, 5.0)
    for name in ownership_world.acting(world, "s0"):
        world.nodes[name].no_store = 1
    ownership_world.run_disturbed(world, 35.0, late, changes_per_s)
    _assert_one_owner(world)


@pytest.mark.parametrize(
    "outage_s",
    [
        pytest.param(1.0, id="stops_within_the_lease"),
        pytest.param(20.0, id="stops_after_the_lease_expires"),
    ],
)
def test_service_continues_in_a_store_outage(outage_s: float) -> None:
    """Guards against a stop of service while the store is down."""
    world = ownership_world.make_world(1, 3, 3, 0.0, 0.0)
    ownership_world.run_until(world, 6.0)
    before = {
        shard: ownership_world.acting(world, shard) for shard in world.shards
    }
    ownership_world.inject(
        world,
        ownership_world.Fault(at=0.0, kind="store", node=0, length=outage_s),
    )
    for step in range(int(outage_s * 10) + 50):
        ownership_world.run_until(world, 6.0 + step / 10)
        for shard in world.shards:
            assert ownership_world.acting(world, shard) == before[shard]


def test_crash_has_a_new_owner_within_3_s() -> None:
    """Guards against a failover that exceeds the target of 3 s."""
    longest = 0.0
    for seed in range(20):
        world = ownership_world.make_world(seed, 4, 1, 0.0, 0.0)
        ownership_world.run_until(world, 8.0)
        [owner] = ownership_world.acting(world, "s0")
        ownership_world.crash(world, world.nodes[owner])
        while not ownership_world.acting(world, "s0"):
            ownership_world.run_until(world, world.now + 0.05)
            assert world.now < 20.0
        longest = max(longest, world.now - 8.0)
    assert longest < 3.0


def test_last_instance_works_after_the_others_die_in_turn() -> None:
    """Guards against gone voters that are never replaced."""
    world = ownership_world.make_world(2, 5, 2, 0.0, 0.0)
    order = list(range(5))
    random.Random(2).shuffle(order)
    for number, node in enumerate(order[:4]):
        ownership_world.inject(
            world,
            ownership_world.Fault(
                at=8.0 + 10.0 * number, kind="kill", node=node, length=1.0
            ),
        )
    ownership_world.run_until(world, 60.0)
    [last] = [node for node in world.nodes.values() if node.up]
    for shard in world.shards:
        assert ownership_world.acting(world, shard) == [last.name]
    assert last.state.voters.ids == (last.name,)
