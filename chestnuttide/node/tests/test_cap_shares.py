"""Owners of two services that share the cap of a workspace."""

import asyncio
import collections.abc
import contextlib
import functools

import attrs
import pytest

from chestnuttide import errors
from chestnuttide import model
from chestnuttide.node import _cap_pages
from chestnuttide.node import _cap_record
from chestnuttide.node import _cap_reports
from chestnuttide.node import _cap_shares
from chestnuttide.node import _clock
from chestnuttide.node import _keys
from chestnuttide.node import _messages
from chestnuttide.node import _metrics
from chestnuttide.node import _ownership
from chestnuttide.node import _session
from chestnuttide.node.tests import _session_fixtures
from chestnuttide import platform
from chestnuttide import workloads
from chestnuttide.workloads.tests import _pool_fixtures
from chestnuttide import workspaces
from standins import cloud

CORE = model.Resources(cpu_millis=1000, memory_mb=100)
CAP = model.Resources(cpu_millis=4000)
HALF = workspaces.WHOLE // 2
CONFIG = platform.ClusterConfig(
    version=1,
    queues=(),
    services=("s1", "s2"),
    workspaces=(workloads.Workspace(name="w", cap=CAP),),
)


@attrs.define(kw_only=True)
class Bed:
    """A store stand-in and the owner of each service."""

    store: cloud.Store
    address: str
    calls: list[str] = attrs.field(factory=list)
    owners: dict[str, _ownership.Ownership] = attrs.field(factory=dict)
    number: int = 0


@contextlib.asynccontextmanager
async def _open_bed() -> collections.abc.AsyncIterator[Bed]:
    store = cloud.Store()
    address, server = cloud.serve(
        functools.partial(cloud.handle_store_request, store)
    )
    bed = Bed(store=store, address=address)
    for service in CONFIG.services:
        _take_over(bed, service)
    try:
        yield bed
    finally:
        server.stop()


def _take_over(bed: Bed, service: str) -> _ownership.Ownership:
    """Let another instance own a service, with the runs that are stored."""
    session = _session_fixtures.make_session(
        bed.address,
        timeout_s=0.2,
        count=lambda kind, outcome: bed.calls.append(kind),
    )
    session.config = CONFIG
    cloud.put(bed.store, _keys.owner(service), b"")
    former = bed.owners.get(service)
    owner = _ownership.Ownership(
        service=service,
        fencing_token=bed.store.keys[_keys.owner(service)].revision,
        session=session,
        store=session.store,
        workers_http=None,
        pool=former.pool if former else _pool_fixtures.make_pool(4),
        metrics=_metrics.make_metrics(),
        confirmed_at=_clock.now(),
    )
    bed.owners[service] = owner
    return owner


def _submit(bed: Bed, service: str, tasks: int) -> None:
    bed.number += 1
    job = _pool_fixtures.submit(
        bed.owners[service].pool,
        _pool_fixtures.make_step(count=tasks, need=CORE),
        job_id=f"{bed.number:016x}",
    )
    job.spec = attrs.evolve(job.spec, workspace="w")


def _plan(bed: Bed, service: str) -> int:
    """Plan once and return the runs of the workspace in the service."""
    owner, now = bed.owners[service], _clock.now()
    round_ = _cap_shares.make_round(owner, now)
    plan = workloads.make_plan(owner.pool, now=now, caps=round_)
    _cap_shares.record_round(owner, round_, plan, now)
    return sum(len(each.runs) for each in owner.pool.workers.values())


async def _share(bed: Bed, *services: str) -> None:
    """Let owners report to each other and share, without the mesh."""
    for service in services or bed.owners:
        owner = bed.owners[service]
        owner.caps.written_at = 0.0
        with contextlib.suppress(errors.SchedulerError):
            await _cap_shares.share(owner)
        for other in bed.owners.values():
            if other is not owner:
                other.session.caps.reports[service] = (
                    owner.session.caps.reports[service]
                )


def _stored(bed: Bed) -> workspaces.CapParts:
    item = bed.store.keys[_keys.CAPS]
    return workspaces.decode_parts(item.value, item.revision)


def _tell(bed: Bed) -> None:
    """Bring the stored record to all owners, as the mesh and watches do."""
    item = bed.store.keys[_keys.CAPS]
    for owner in bed.owners.values():
        message = _messages.CapRecord(value=item.value, revision=item.revision)
        _cap_record.adopt_record(owner.session, message)


def test_parts_go_where_work_waits_and_their_sum_stays() -> None:
    """A service with work must get the parts that another leaves idle."""

    async def main() -> None:
        async with _open_bed() as bed:
            _submit(bed, "s1", 9)
            assert _plan(bed, "s1") == 0
            await _share(bed, "s1")
            _tell(bed)
            assert _plan(bed, "s1") == 2
            await _share(bed, "s1", "s2")
            _tell(bed)
            assert _plan(bed, "s1") == 4
            _submit(bed, "s2", 9)
            assert _plan(bed, "s2") == 0
            assert _stored(bed).rows["w"]["s1"][0] == workspaces.WHOLE
            rows = _cap_pages.list_use({"s1": bed.owners["s1"]})
            assert rows[0]["use"] == (4000, 400, 0)
            assert rows[0]["waiting"] == {"cap": 5}
            assert _cap_pages.explain_wait(
                {"s1": bed.owners["s1"]}, f"{1:016x}"
            )[0]["waiting"] == {"cap": 5}

    asyncio.run(main())


def _set_cap(bed: Bed, cap: model.Resources) -> None:
    for owner in bed.owners.values():
        owner.session.config = attrs.evolve(
            CONFIG,
            version=owner.session.config.version + 1,
            workspaces=(workloads.Workspace(name="w", cap=cap),),
        )


def test_nothing_starts_above_a_lowered_cap() -> None:
    """An owner must count what others use beyond their new parts."""

    async def main() -> None:
        async with _open_bed() as bed:
            _set_cap(bed, model.Resources(cpu_millis=8000))
            await _share(bed)
            _tell(bed)
            _submit(bed, "s1", 4)
            assert _plan(bed, "s1") == 4
            await _share(bed)
            _submit(bed, "s2", 2)
            _set_cap(bed, CAP)
            assert _stored(bed).rows["w"]["s2"] == (HALF, HALF, HALF)
            assert _plan(bed, "s2") == 0
            _set_cap(bed, model.Resources(cpu_millis=5000))
            assert _plan(bed, "s2") == 1

    asyncio.run(main())


def test_a_lent_part_outlives_an_owner_that_is_killed() -> None:
    """A successor must neither use what was lent nor lose its own part."""

    async def main() -> None:
        async with _open_bed() as bed:
            _submit(bed, "s1", 9)
            await _share(bed)
            _tell(bed)
            _plan(bed, "s1")
            await _share(bed, "s1", "s2")
            _tell(bed)
            assert _plan(bed, "s1") == 4
            _submit(bed, "s2", 9)
            successor = _take_over(bed, "s2")
            # Its instance knows a record from before the loan.
            successor.session.caps.parts = workspaces.CapParts(
                revision=1, rows={"w": {"s2": (workspaces.WHOLE,) * 3}}
            )
            assert _plan(bed, "s2") == 0
            await _share(bed, "s2")
            assert _plan(bed, "s2") == 0
            # The owner that borrowed is replaced too; its runs go on.
            _take_over(bed, "s1")
            assert _plan(bed, "s1") == 4
            for worker in bed.owners["s1"].pool.workers.values():
                for run in list(worker.runs.values()):
                    run.unit.state = workloads.UnitState.DONE
                    workloads.drop_run(bed.owners["s1"].pool, run)
            bed.owners["s1"].pool.active.clear()
            assert _plan(bed, "s1") == 0
            await _share(bed, "s2", "s1")
            _tell(bed)
            assert _plan(bed, "s2") == 4

    asyncio.run(main())


@pytest.mark.parametrize(
    ("executed", "status"),
    [
        pytest.param(True, -1, id="executed-without-answer"),
        pytest.param(False, -1, id="not-executed"),
        pytest.param(False, 503, id="refused"),
    ],
)
def test_a_giver_keeps_to_less_while_a_write_is_uncertain(
    executed: bool, status: int
) -> None:
    """The store away while a cap is spread unevenly must free nothing."""

    async def main() -> None:
        async with _open_bed() as bed:
            await _share(bed)
            _submit(bed, "s2", 9)
            _tell(bed)
            _plan(bed, "s2")
            await _share(bed, "s2")
            if executed:
                bed.store.dropped_responses = 1
            else:
                bed.store.refusal_status = status
            await _share(bed, "s1")
            _submit(bed, "s1", 9)
            # The demand of the receiver is not known any more.
            bed.owners["s1"].session.caps.reports.pop("s2")
            bed.owners["s1"].caps.bounds = {}
            assert _plan(bed, "s1") == 0
            bed.store.refusal_status = 0
            await asyncio.sleep(0.3)
            # A write of the same owner settles what became of the former.
            bed.owners["s1"].caps.written_at = -9.0
            with contextlib.suppress(errors.SchedulerError):
                await _cap_shares.share(bed.owners["s1"])
            _tell(bed)
            assert _plan(bed, "s1") + _plan(bed, "s2") == 4

    asyncio.run(main())


def test_an_owner_with_an_older_version_takes_nothing() -> None:
    """Parts come from the record alone, not from a configuration."""

    async def main() -> None:
        async with _open_bed() as bed:
            older, owner = bed.owners["s1"], bed.owners["s2"]
            older.session.config = attrs.evolve(CONFIG, workspaces=None)
            assert _cap_shares.make_round(older, _clock.now()) is None
            bed.calls.clear()
            await _cap_shares.share(older)
            assert bed.calls == []
            _submit(bed, "s2", 9)
            await _share(bed, "s2")
            assert _plan(bed, "s2") == 2
            # A version that lowers the cap stops new starts, and ends none.
            owner.session.config = attrs.evolve(
                CONFIG,
                workspaces=(workloads.Workspace(name="w", cap=CORE),),
            )
            _submit(bed, "s2", 1)
            assert _plan(bed, "s2") == 2

    asyncio.run(main())


@pytest.mark.parametrize(
    "owned", [pytest.param(True, id="owned"), pytest.param(False, id="gone")]
)
def test_parts_of_a_service_that_has_left_come_back(owned: bool) -> None:
    """A part must not be lost with its service, nor be taken from an owner."""

    async def main() -> None:
        async with _open_bed() as bed:
            await _share(bed)
            owner = bed.owners["s1"]
            owner.session.config = attrs.evolve(CONFIG, services=("s1",))
            if not owned:
                cloud.remove(bed.store, _keys.owner("s2"))
            await _share(bed, "s1")
            held = _stored(bed).rows["w"]
            assert held["s1"][0] == (HALF if owned else workspaces.WHOLE)

    asyncio.run(main())


@pytest.mark.parametrize(
    ("lost", "age_s", "silent", "uses", "expected"),
    [
        pytest.param(3, 9.0, "", 0, 3, id="taken"),
        pytest.param(3, 1.0, "", 0, 0, id="not-seen-by-all-yet"),
        pytest.param(3, 9.0, "s2", 0, 0, id="an-owner-is-silent"),
        pytest.param(3, 9.0, "", 2, 1, id="two-are-in-use"),
        pytest.param(0, 9.0, "", 0, 0, id="nothing-lost"),
    ],
)
def test_what_no_service_holds_is_taken(
    lost: int, age_s: float, silent: str, uses: int, expected: int
) -> None:
    """Guards against parts that writes of a former release lose for good.

    What a run uses beyond its service's part must not be taken.
    """

    async def main() -> None:
        async with _open_bed() as bed:
            unit = workspaces.WHOLE // 4
            row = {
                "s1": (unit,) * 3,
                "s2": ((3 - lost) * unit, 3 * unit, 3 * unit),
            }
            owner = bed.owners["s1"]
            await _share(bed)
            _submit(bed, "s2", uses)
            bed.owners["s2"].session.caps.parts = workspaces.CapParts(
                rows={"w": {"s2": (workspaces.WHOLE,) * 3}}
            )
            assert _plan(bed, "s2") == uses
            parts = workspaces.CapParts(rows={"w": row})
            cloud.put(bed.store, _keys.CAPS, workspaces.encode_parts(parts))
            _tell(bed)
            for name in bed.owners:
                if name != silent:
                    await _share(bed, name)
            if silent:
                owner.session.caps.reports.pop(silent, None)
            rests = owner.session.caps.rests
            for name, (since, rest) in rests.items():
                rests[name] = (since - age_s, rest)
            await _share(bed, "s1")
            held = _stored(bed).rows["w"]["s1"]
            assert held == (unit * (1 + expected), unit, unit)

    asyncio.run(main())


@pytest.mark.parametrize(
    "removed",
    [
        pytest.param(False, id="unreadable"),
        pytest.param(True, id="removed"),
    ],
)
def test_a_lost_record_allows_no_more_and_is_repaired(removed: bool) -> None:
    """Owners keep to what they have read; a successor has read nothing."""

    async def main() -> None:
        async with _open_bed() as bed:
            await _share(bed)
            _tell(bed)
            await _share(bed)
            before = _stored(bed).rows
            _submit(bed, "s1", 9)
            _submit(bed, "s2", 9)
            if removed:
                revision = bed.store.revision + 1
                cloud.remove(bed.store, _keys.CAPS)
                lost = platform.Item(
                    key=_keys.CAPS, value=b"", revision=revision, removed=True
                )
            else:
                cloud.put(bed.store, _keys.CAPS, b"\xff")
                lost = platform.Item(
                    key=_keys.CAPS,
                    value=b"\xff",
                    revision=bed.store.keys[_keys.CAPS].revision,
                )
            _take_over(bed, "s2")
            for owner in bed.owners.values():
                _cap_record.adopt_item(owner.session, lost)
            await _share(bed)
            assert _plan(bed, "s1") == 2
            assert _plan(bed, "s2") == 0
            # Not before all owners have seen what came before.
            if removed:
                assert _keys.CAPS not in bed.store.keys
            else:
                assert bed.store.keys[_keys.CAPS].value == b"\xff"
            for owner in bed.owners.values():
                owner.session.caps.lost_since -= _cap_shares.REPAIR_AFTER_S
            await _share(bed, "s2", "s1")
            assert _stored(bed).rows == before
            _tell(bed)
            await _share(bed, "s2")
            assert _plan(bed, "s1") == 2
            assert _plan(bed, "s2") == 2

    asyncio.run(main())


async def _see_by_write(bed: Bed) -> None:
    await _share(bed, "s2")
    for _ in range(10):
        with contextlib.suppress(errors.SchedulerError):
            await _cap_shares.share(bed.owners["s1"])


async def _see_by_unreadable_record(bed: Bed) -> None:
    """Let a write that repairs a record find that it was removed."""
    owner = bed.owners["s1"]
    revision = owner.session.caps.parts.revision + 1
    item = platform.Item(key=_keys.CAPS, value=b"\xff", revision=revision)
    _cap_record.adopt_item(owner.session, item)
    owner.session.caps.lost_since -= _cap_shares.REPAIR_AFTER_S
    await _share(bed, "s1")
    assert owner.session.caps.lost_expects == 0


async def _see_by_listing(bed: Bed) -> None:
    owner = bed.owners["s1"]
    task = asyncio.create_task(_cap_shares.watch_loop(owner))
    await asyncio.sleep(0.2)
    task.cancel()
    await asyncio.wait([task])
    await _share(bed, "s1")


async def _see_by_takeover(bed: Bed) -> None:
    parts = bed.owners["s1"].session.caps.parts
    successor = _take_over(bed, "s1")
    successor.session.caps.parts = parts
    await _share(bed, "s1")


@pytest.mark.parametrize(
    ("see", "writes", "repairs"),
    [
        pytest.param(_see_by_write, 1, True, id="write"),
        pytest.param(_see_by_listing, 0, True, id="listing"),
        pytest.param(_see_by_takeover, 0, False, id="takeover"),
        pytest.param(
            _see_by_unreadable_record, 1, True, id="after-an-unreadable-one"
        ),
    ],
)
def test_a_removal_that_the_watch_misses_is_noticed(
    see: collections.abc.Callable[
        [Bed], collections.abc.Coroutine[None, None, None]
    ],
    writes: int,
    repairs: bool,
) -> None:
    """Guards against gifts that conflict ten times a second for ever."""

    async def main() -> None:
        async with _open_bed() as bed:
            await _share(bed)
            _tell(bed)
            await _share(bed)
            before = _stored(bed).rows
            _submit(bed, "s2", 9)
            assert _plan(bed, "s2") == 2
            revision = bed.owners["s1"].session.caps.parts.revision
            # Later changes of other keys raise the store's revision.
            cloud.remove(bed.store, _keys.CAPS)
            cloud.put(bed.store, "x", b"")
            bed.calls.clear()
            await see(bed)
            board = bed.owners["s1"].session.caps
            assert board.lost_revision > revision
            assert board.parts.rows == before
            assert bed.calls.count("write") == writes
            board.lost_since -= _cap_shares.REPAIR_AFTER_S
            await _share(bed, "s1")
            assert (_keys.CAPS in bed.store.keys) is repairs
            if repairs:
                assert _stored(bed).rows == before
                _tell(bed)
                assert not board.lost_revision

    asyncio.run(main())


@pytest.mark.parametrize(
    ("capacity", "rows"),
    [
        pytest.param((1, 2), (), id="too-few-amounts"),
        pytest.param((1, 2, -3), (), id="negative"),
        pytest.param((1, 2, 3), (("w", *[1] * 9),), id="short-row"),
        pytest.param((1, 2, 3), (("w", *["x"] * 10),), id="text"),
        pytest.param((1, 2, 3), (7,), id="not-a-row"),
    ],
)
def test_unreadable_reports_are_left_out(
    capacity: tuple[int, ...], rows: tuple[object, ...]
) -> None:
    """A peer's message of another form must not reach the decisions."""
    board = _session.Session(
        settings=None,
        store=None,
        peers=None,
        count_unreadable=lambda kind: None,
    ).caps
    message = _messages.CapUse(
        service="s", fencing_token=1, capacity=capacity, rows=rows
    )
    with pytest.raises(errors.ProtocolError):
        _cap_reports.receive(board, message, 0.0)
    assert not board.reports


def test_reports_of_replaced_owners_do_not_count() -> None:
    """A paused owner that goes on must not hide its successor's use."""
    board = _session.Session(
        settings=None,
        store=None,
        peers=None,
        count_unreadable=lambda kind: None,
    ).caps
    row = ("w", 1000, 100, 0, 2000, 0, 0, 4000, 0, 0, 1500)
    for token, rows in ((5, (row,)), (4, ())):
        message = _messages.CapUse(
            service="s", fencing_token=token, capacity=(1, 2, 3), rows=rows
        )
        _cap_reports.receive(board, message, 1.0)
    demands = _cap_reports.list_demands(board, "w", CAP, 1.5, max_age_s=1.0)
    assert demands["s"] == workspaces.Demand(
        use=(HALF // 2, 0, 0),
        head=(HALF, 0, 0),
        waiting=(workspaces.WHOLE, 0, 0),
        waiting_s=2.0,
    )
    assert _cap_reports.list_demands(board, "w", CAP, 2.5, max_age_s=1.0) == {}
