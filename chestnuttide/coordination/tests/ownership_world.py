"""Simulated instances, store and network for the ownership tests."""

import collections.abc
import heapq
import itertools
import random

import attrs

from chestnuttide import coordination

TTL_S = 2.0
RENEW_S = 0.6
READ_S = 0.5
TICK_S = 0.25
CALL_TIMEOUT_S = 0.5
LIST_LAG_S = 2.0
FIRST_START_S = 0.05
MAX_LATE_S = 4.0

Callback = collections.abc.Callable[[object], None]


@attrs.define(kw_only=True)
class Fault:
    at: float
    kind: str
    node: int
    length: float


@attrs.define(kw_only=True)
class Node:
    name: str
    rate: float
    offset: float
    up: bool = False
    starts: int = 0
    paused: bool = False
    backlog: list = attrs.field(factory=list)
    state: coordination.OwnershipState | None = None
    run: collections.abc.Callable | None = None
    lease_id: int = 0
    no_store: int = 0
    no_mesh: int = 0
    gone: bool = False
    leaving: bool = False


@attrs.define(kw_only=True)
class World:
    rng: random.Random
    shards: frozenset[str]
    nodes: dict[str, Node]
    loss: float = 0.05
    slow: float = 0.05
    now: float = 0.0
    queue: list = attrs.field(factory=list)
    order: itertools.count = attrs.field(factory=itertools.count)
    store_down: int = 0
    revision: int = 0
    keys: dict = attrs.field(factory=dict)
    leases: dict = attrs.field(factory=dict)
    listed_gone: set = attrs.field(factory=set)
    acquired: list = attrs.field(factory=list)
    violations: list = attrs.field(factory=list)
    blocked: set = attrs.field(factory=set)


def make_world(
    seed: int, count: int, shards: int, loss: float, slow: float
) -> World:
    rng = random.Random(seed)
    nodes = {}
    for number in range(count):
        name = f"n{number}"
        # The rates of two clocks differ by less than the margin of 10%.
        nodes[name] = Node(
            name=name,
            rate=rng.uniform(0.97, 1.03),
            offset=rng.uniform(0.0, 1e6),
        )
    world = World(
        rng=rng,
        shards=frozenset(f"s{number}" for number in range(shards)),
        nodes=nodes,
        loss=loss,
        slow=slow,
    )
    for node in nodes.values():
        schedule(
            world,
            rng.uniform(0, FIRST_START_S),
            lambda n=node: start(world, n),
        )
    return world


def schedule(
    world: World, delay: float, action: collections.abc.Callable
) -> None:
    heapq.heappush(world.queue, (world.now + delay, next(world.order), action))


def run_until(world: World, end: float) -> None:
    while world.queue and world.queue[0][0] <= end:
        world.now, _, action = heapq.heappop(world.queue)
        action()
        if world.violations:
            return
    world.now = end


def run_disturbed(
    world: World, end: float, late: float, changes_per_s: float
) -> None:
    """Run like `run_until`, but delay some actions and toggle faults often.

    Parameters
    ----------
    world : World
        The world.
    end : float
        Simulated time, in seconds, at which to stop.
    late : float
        Share of the actions that are delayed by up to `MAX_LATE_S`.
    changes_per_s : float
        Fault changes per second.
    """
    rng = world.rng
    change_at = world.now
    # Uneven weights of the kinds reach states that equal weights rarely reach.
    weights = [rng.random() ** 2 for _ in _CHANGES]
    while world.queue and world.queue[0][0] <= end and not world.violations:
        world.now, _, action = heapq.heappop(world.queue)
        if rng.random() < late:
            schedule(world, rng.uniform(0, MAX_LATE_S), action)
            continue
        action()
        while change_at < world.now:
            change_at += rng.expovariate(changes_per_s)
            nodes = list(world.nodes.values())
            change = rng.choices(_CHANGES, weights)[0]
            change(world, rng.choice(nodes), rng.choice(nodes))


def _toggle_store(world: World, node: Node, other: Node) -> None:
    node.no_store = 1 - node.no_store


def _toggle_link(world: World, node: Node, other: Node) -> None:
    if other != node:
        world.blocked ^= {frozenset((node.name, other.name))}


def _restart(world: World, node: Node, other: Node) -> None:
    crash(world, node)
    start(world, node)


def _toggle_pause(world: World, node: Node, other: Node) -> None:
    if node.paused:
        resume(world, node)
    else:
        pause(world, node)


_CHANGES = (_toggle_store, _toggle_link, _restart, _toggle_pause)


def clock(world: World, node: Node) -> float:
    return world.now * node.rate + node.offset


def acting(world: World, shard: str) -> list[str]:
    return [
        node.name
        for node in world.nodes.values()
        if node.up
        and coordination.may_act(node.state, shard, clock(world, node))
    ]


def start(world: World, node: Node) -> None:
    if node.up or node.gone:
        return
    node.up = True
    node.starts += 1
    node.paused = False
    node.leaving = False
    node.backlog = []
    node.lease_id = 0
    node.state = coordination.make_ownership_state(
        instance_id=node.name,
        incarnation=f"i{node.starts}",
        now=clock(world, node),
    )
    node.run = coordination.make_ownership_filter(state=node.state)
    deliver(world, node, coordination.DesiredShards(shards=world.shards))
    deliver(world, node, peers_of(world, node))
    incarnation = node.starts
    _repeat(world, node, incarnation, TICK_S, _tick)
    _repeat(world, node, incarnation, READ_S, _read_all)
    _lease_loop(world, node, incarnation)


def crash(world: World, node: Node) -> None:
    node.up = False
    node.backlog = []


def pause(world: World, node: Node) -> None:
    node.paused = node.up


def resume(world: World, node: Node) -> None:
    if not node.paused:
        return
    node.paused = False
    backlog, node.backlog = node.backlog, []
    for action in backlog:
        if node.up and not node.paused:
            action()


def peers_of(world: World, node: Node) -> coordination.PeersConnected:
    ids = [
        one.name
        for one in world.nodes.values()
        if one.up and not one.no_mesh and not node.no_mesh
    ]
    return coordination.PeersConnected(ids=frozenset(ids) - {node.name})


def on_node(
    world: World,
    node: Node,
    incarnation: int,
    action: collections.abc.Callable,
) -> None:
    """Run an action of an incarnation unless that incarnation has ended."""
    if not node.up or node.starts != incarnation:
        return
    if node.paused:
        node.backlog.append(lambda: on_node(world, node, incarnation, action))
        return
    action()


def deliver(world: World, node: Node, message: object) -> None:
    for output in node.run(message, clock(world, node)):
        _execute(world, node, output)
    for shard in world.shards:
        names = acting(world, shard)
        if len(names) > 1:
            world.violations.append((world.now, shard, names, message))


def _repeat(
    world: World,
    node: Node,
    incarnation: int,
    interval_s: float,
    action: object,
) -> None:
    def again() -> None:
        action(world, node)
        schedule(
            world, interval_s, lambda: on_node(world, node, incarnation, again)
        )

    schedule(
        world,
        world.rng.uniform(0, interval_s),
        lambda: on_node(world, node, incarnation, again),
    )


def _tick(world: World, node: Node) -> None:
    deliver(world, node, peers_of(world, node))
    gone = frozenset(world.listed_gone)
    deliver(world, node, coordination.InstancesGone(ids=gone))


def _read_all(world: World, node: Node) -> None:
    def records(answer: object) -> None:
        if answer is not None:
            deliver(world, node, coordination.ShardRecordsRead(records=answer))

    def members(answer: object) -> None:
        if answer is not None:
            deliver(
                world,
                node,
                coordination.MembersRead(members=answer, sent_at=sent_at),
            )

    sent_at = clock(world, node)
    call_store(world, node, _make_records_read(world), records)
    call_store(world, node, _make_members_read(world), members)
    _read_voters(world, node)


def _read_voters(world: World, node: Node) -> None:
    def done(answer: object) -> None:
        if answer is not None:
            deliver(world, node, answer)

    def operation() -> coordination.VotersRead:
        value, revision, _ = world.keys.get("voters", (None, 0, ""))
        return coordination.decode_voters(value, revision)

    call_store(world, node, operation, done)


def _lease_loop(world: World, node: Node, incarnation: int) -> None:
    def later(delay: float) -> None:
        schedule(world, delay, lambda: on_node(world, node, incarnation, step))

    def step() -> None:
        sent_at = clock(world, node)

        def renewed(answer: object) -> None:
            if answer is None:
                later(RENEW_S / 3)
                return
            if answer == 0:
                if node.lease_id:
                    node.lease_id = 0
                    deliver(world, node, coordination.LeaseLost())
                later(RENEW_S / 3)
                return
            node.lease_id = answer
            deliver(
                world,
                node,
                coordination.LeaseRenewed(
                    sent_at=sent_at, ttl_s=TTL_S, lease_id=answer
                ),
            )
            later(RENEW_S)

        call_store(world, node, _make_lease_call(world, node), renewed)

    step()


def _make_lease_call(world: World, node: Node) -> collections.abc.Callable:
    lease_id, name = node.lease_id, node.name
    member = coordination.Member(
        instance_id=name,
        incarnation=node.state.incarnation,
        leaving=node.leaving,
    )

    def operation() -> int:
        _expire(world)
        if lease_id:
            if lease_id not in world.leases:
                return 0
            world.leases[lease_id] = (world.now + TTL_S, member)
            return lease_id
        if any(one.instance_id == name for _, one in world.leases.values()):
            return 0
        world.revision += 1
        world.leases[world.revision] = (world.now + TTL_S, member)
        return world.revision

    return operation


def _expire(world: World) -> None:
    ended = [
        key for key, (until, _) in world.leases.items() if until <= world.now
    ]
    for key in ended:
        del world.leases[key]


def _make_records_read(world: World) -> collections.abc.Callable:
    def operation() -> tuple:
        return tuple(
            coordination.ReadRecord(
                shard=key.removeprefix("shards/"),
                record=coordination.decode_record(value),
                revision=revision,
            )
            for key, (value, revision, _) in world.keys.items()
            if key.startswith("shards/")
        )

    return operation


def _make_members_read(world: World) -> collections.abc.Callable:
    def operation() -> tuple:
        _expire(world)
        return tuple(member for _, member in world.leases.values())

    return operation


def call_store(
    world: World,
    node: Node,
    operation: collections.abc.Callable,
    done: Callback,
) -> None:
    """Call the store and pass `done` its answer, or None on a timeout."""
    incarnation = node.starts
    state = {"open": True}

    def finish(answer: object) -> None:
        if not state["open"]:
            return
        state["open"] = False
        reachable = answer is not None
        deliver(world, node, coordination.StoreReachable(reachable=reachable))
        done(answer)

    def arrive() -> None:
        if world.store_down or node.no_store:
            return
        answer = operation()
        if world.rng.random() >= world.loss:
            schedule(
                world,
                _delay(world),
                lambda: on_node(
                    world, node, incarnation, lambda: finish(answer)
                ),
            )

    schedule(world, _delay(world), arrive)
    schedule(
        world,
        CALL_TIMEOUT_S,
        lambda: on_node(world, node, incarnation, lambda: finish(None)),
    )


def _delay(world: World) -> float:
    if world.rng.random() < world.slow:
        return world.rng.uniform(0.05, 6.0)
    return world.rng.uniform(0.001, 0.01)


def _execute(world: World, node: Node, output: object) -> None:
    incarnation = node.starts
    if isinstance(output, coordination.Send):
        _send(world, node, output)
    elif isinstance(output, coordination.WriteShardRecord):
        _write_record(world, node, output)
    elif isinstance(output, coordination.WriteVoters):
        _write_voters(world, node, output)
    elif isinstance(output, coordination.ShouldRelease):
        message = coordination.ReleaseRequested(
            shard=output.shard, residual={"t": (1.0,)}
        )
        schedule(
            world,
            0.1,
            lambda: on_node(
                world, node, incarnation, lambda: deliver(world, node, message)
            ),
        )
    elif isinstance(output, coordination.ShardAcquired):
        world.acquired.append((world.now, node.name, output))


def _send(world: World, node: Node, send: coordination.Send) -> None:
    target = world.nodes[send.to]
    copies = 1 + (world.rng.random() < world.loss)
    for _ in range(copies):
        if world.rng.random() < world.loss:
            continue

        def arrive() -> None:
            # The message reaches the incarnation that runs on arrival.
            if node.no_mesh or target.no_mesh:
                return
            if frozenset((node.name, target.name)) in world.blocked:
                return
            on_node(
                world,
                target,
                target.starts,
                lambda: deliver(world, target, send.message),
            )

        schedule(world, _delay(world), arrive)


def _cas(
    world: World, key: str, expected: int, value: bytes, write_id: str
) -> int:
    if world.keys.get(key, (None, 0, ""))[1] != expected:
        return -1
    world.revision += 1
    world.keys[key] = (value, world.revision, write_id)
    return world.revision


def _write_record(
    world: World, node: Node, write: coordination.WriteShardRecord
) -> None:
    key = coordination.shard_key(write.shard)
    incarnation = node.starts

    def report(ok: bool, record: object, revision: int) -> None:
        deliver(
            world,
            node,
            coordination.ClaimResult(
                shard=write.shard,
                ok=ok,
                record=record,
                revision=revision,
                write_id=write.write_id,
            ),
        )

    def written(answer: object) -> None:
        if answer is not None and answer > 0:
            report(True, write.record, answer)
        else:
            read_back()

    def read_back() -> None:
        call_store(
            world,
            node,
            lambda: world.keys.get(key, (b"", 0, "")),
            resolved,
        )

    def resolved(answer: object) -> None:
        if answer is None:
            schedule(
                world,
                0.1,
                lambda: on_node(world, node, incarnation, read_back),
            )
            return
        value, revision, write_id = answer
        record = coordination.decode_record(value) if revision else None
        report(write_id == write.write_id, record, revision)

    call_store(
        world,
        node,
        lambda: _cas(
            world,
            key,
            write.expected_revision,
            coordination.encode_record(write.record),
            write.write_id,
        ),
        written,
    )


def _write_voters(
    world: World, node: Node, write: coordination.WriteVoters
) -> None:
    call_store(
        world,
        node,
        lambda: _cas(
            world,
            "voters",
            write.expected_revision,
            coordination.encode_voters(write),
            write.write_id,
        ),
        lambda answer: _read_voters(world, node),
    )


def inject(world: World, fault: Fault) -> None:
    """Schedule the start and the end of a fault."""
    names = sorted(world.nodes)
    node = world.nodes[names[fault.node % len(names)]]
    start_fault, end_fault = _FAULTS[fault.kind]
    schedule(world, fault.at, lambda: start_fault(world, node))
    schedule(world, fault.at + fault.length, lambda: end_fault(world, node))


def _kill(world: World, node: Node) -> None:
    others = [
        one for one in world.nodes.values() if not one.gone and one != node
    ]
    if not others:
        return
    crash(world, node)
    node.gone = True
    schedule(world, LIST_LAG_S, lambda: world.listed_gone.add(node.name))


def _drain(world: World, node: Node) -> None:
    if node.up and not node.paused:
        node.leaving = True
        deliver(world, node, coordination.Drain())


def _end_drain(world: World, node: Node) -> None:
    if node.leaving:
        crash(world, node)
        start(world, node)


def _change_store_down(change_by: int) -> collections.abc.Callable:
    def change(world: World, node: Node) -> None:
        world.store_down += change_by

    return change


def _change_no_store(change_by: int) -> collections.abc.Callable:
    def change(world: World, node: Node) -> None:
        node.no_store += change_by

    return change


def _change_no_mesh(change_by: int) -> collections.abc.Callable:
    def change(world: World, node: Node) -> None:
        node.no_mesh += change_by

    return change


def _no_action(world: World, node: Node) -> None:
    pass


_FAULTS = {
    "crash": (crash, start),
    "drain": (_drain, _end_drain),
    "kill": (_kill, _no_action),
    "mesh": (_change_no_mesh(1), _change_no_mesh(-1)),
    "pause": (pause, resume),
    "store": (_change_store_down(1), _change_store_down(-1)),
    "store_of_one": (_change_no_store(1), _change_no_store(-1)),
}
FAULT_KINDS = tuple(sorted(_FAULTS))
