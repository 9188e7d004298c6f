"""Hand-over of a service to a larger instance."""

import asyncio
import collections.abc
import itertools
import json
import pathlib

import attrs
import cbor2
import pytest

from chestnuttide import errors
from chestnuttide.node import _claims
from chestnuttide.node import _clock
from chestnuttide.node import _commits
from chestnuttide.node import _daemon
from chestnuttide.node import _handover
from chestnuttide.node import _keys
from chestnuttide.node import _metrics
from chestnuttide.node import _owner
from chestnuttide.node import _ownership
from chestnuttide.node import _release
from chestnuttide.node import _session
from chestnuttide.node import _settings
from chestnuttide.node import _takeover
from chestnuttide.node import _worker_clients
from chestnuttide import platform
from chestnuttide.workloads.tests import _pool_fixtures
from standins import harness
from standins import node_cell

SERVICE = "layout"
OTHER = "prints"
NOW = 100.0
FENCE = 7

# Processor and link of an instance, in reference cores and Mbit/s.
Size = tuple[float, float]
SMALL: Size = (0.5, 5.0)
LARGE: Size = (2.0, 100.0)

LOST = errors.StoreUnavailableError(message="no answer", remedy="wait")


def _make_owner(
    members: dict[str, Size] | None = None,
    *,
    instance: str = "a",
    member_since: float = 0.0,
    owners: dict[str, str] | None = None,
) -> _ownership.Ownership:
    """Return the ready ownership of the instance, confirmed just now."""
    session = _session.Session(
        settings=_settings.NodeSettings(
            instance=instance,
            data_centre="d",
            ip="127.0.0.1",
            listen=_settings.Listen(callers="", readiness=""),
            mesh_ports=(1, 1),
            store=_settings.StoreSettings(address=""),
        ),
        store=platform.KvStore(
            http=None, address="", timeout_s=1.0, count=lambda *_: None
        ),
        peers=None,
        count_unreadable=lambda kind: None,
        incarnation=instance,
        lease=1,
        cell_known=True,
    )
    for name, (cores, link_mbps) in (members or {}).items():
        session.members[name] = _session.Member(
            address="", cores=cores, link_mbps=link_mbps
        )
        session.member_since[name] = member_since
    for service, name in {SERVICE: instance, **(owners or {})}.items():
        session.owners[service] = _session.Owner(
            instance=name, incarnation=name, fencing_token=FENCE
        )
    return _ownership.Ownership(
        service=SERVICE,
        fencing_token=FENCE,
        session=session,
        store=session.store,
        workers_http=None,
        pool=_pool_fixtures.make_pool(1),
        metrics=_metrics.make_metrics(),
        confirmed_at=NOW,
        ready=True,
    )


def _find(
    owner: _ownership.Ownership,
    *,
    ready_since: float = 0.0,
    unconnected: str = "",
) -> str:
    return _handover.find_successor(
        owner,
        ready_since=ready_since,
        connected=set(owner.session.members) - {unconnected},
        now=NOW,
    )


@pytest.mark.parametrize(
    ("members", "owners", "successor"),
    [
        pytest.param({"b": LARGE}, {}, "b", id="larger"),
        pytest.param({"b": (0.75, 5.0)}, {}, "b", id="just-large-enough"),
        pytest.param({"b": (0.7, 5.0)}, {}, "", id="hardly-larger"),
        pytest.param({"b": SMALL}, {}, "", id="of-equal-size"),
        pytest.param({"b": (2.0, 4.0)}, {}, "", id="smaller-link"),
        pytest.param({}, {}, "", id="alone"),
        pytest.param({"b": LARGE}, {OTHER: "b"}, "", id="owns-as-many"),
        pytest.param(
            {"b": LARGE, "c": LARGE}, {OTHER: "b"}, "c", id="the-one-with-none"
        ),
        pytest.param(
            {"b": LARGE}, {OTHER: "b", "x": "a"}, "b", id="owns-fewer"
        ),
        pytest.param(
            {"b": (1.0, 50.0), "c": LARGE}, {}, "c", id="the-largest"
        ),
    ],
)
def test_a_service_goes_to_a_clearly_larger_member(
    members: dict[str, Size], owners: dict[str, str], successor: str
) -> None:
    """Guards against an overloaded owner beside large idle instances."""
    owner = _make_owner({"a": SMALL, **members}, owners=owners)
    assert _find(owner) == successor


def _forget_owner(owner: _ownership.Ownership) -> None:
    owner.session.owners.clear()


def _note_loss_by_successor(owner: _ownership.Ownership) -> None:
    owner.session.former_owners[SERVICE] = _session.Owner(
        instance="b", incarnation="b", fencing_token=1
    )


@pytest.mark.parametrize(
    "disturb",
    [
        pytest.param(lambda owner: owner.deposed.set(), id="deposed"),
        pytest.param(
            lambda owner: setattr(owner, "ready", False), id="taking-over"
        ),
        pytest.param(
            lambda owner: setattr(owner, "stopping", True), id="under-way"
        ),
        pytest.param(
            lambda owner: setattr(owner, "releasing", True), id="releasing"
        ),
        pytest.param(
            lambda owner: setattr(owner, "confirmed_at", NOW - 2.0),
            id="unconfirmed",
        ),
        pytest.param(
            lambda owner: setattr(owner.store, "failing_since", 1.0),
            id="store-fails",
        ),
        pytest.param(
            lambda owner: setattr(owner.session, "cell_known", False),
            id="watch-is-broken",
        ),
        pytest.param(
            lambda owner: setattr(owner.session, "lease", 0), id="no-lease"
        ),
        pytest.param(
            lambda owner: setattr(owner.session, "stopping", True),
            id="instance-stops",
        ),
        pytest.param(_forget_owner, id="no-longer-owner"),
        pytest.param(
            lambda owner: owner.session.members.pop("a"), id="no-member"
        ),
    ],
)
def test_a_service_stays_while_its_owner_is_in_doubt(
    disturb: collections.abc.Callable[[_ownership.Ownership], None],
) -> None:
    """Guards against a release whose successor cannot take over."""
    owner = _make_owner({"a": SMALL, "b": LARGE})
    assert _find(owner) == "b"
    disturb(owner)
    assert _find(owner) == ""


@pytest.mark.parametrize(
    ("member_since", "ready_since", "lost_it", "unconnected", "successor"),
    [
        pytest.param(98.0, 98.0, False, "", "b", id="long-enough"),
        pytest.param(98.1, 98.0, False, "", "", id="new-member"),
        pytest.param(98.0, 98.1, False, "", "", id="new-owner"),
        pytest.param(94.1, 0.0, True, "", "", id="lost-it-before"),
        pytest.param(94.0, 0.0, True, "", "b", id="lost-it-long-before"),
        pytest.param(0.0, 0.0, False, "b", "", id="not-connected"),
    ],
)
def test_a_service_waits_for_a_successor_that_lasts(
    member_since: float,
    ready_since: float,
    lost_it: bool,
    unconnected: str,
    successor: str,
) -> None:
    """Guards against a service that follows an instance that keeps failing."""
    owner = _make_owner({"a": SMALL, "b": LARGE}, member_since=member_since)
    if lost_it:
        _note_loss_by_successor(owner)
    found = _find(owner, ready_since=ready_since, unconnected=unconnected)
    assert found == successor


@pytest.mark.parametrize("owned", list(itertools.product("abcd", repeat=2)))
@pytest.mark.parametrize(
    "sizes",
    [
        pytest.param((SMALL, SMALL, SMALL, SMALL), id="equal"),
        pytest.param((SMALL, LARGE, LARGE, LARGE), id="one-small"),
        pytest.param((SMALL, SMALL, SMALL, LARGE), id="one-large"),
        pytest.param(
            ((0.5, 5.0), (1.0, 5.0), (2.0, 5.0), (4.0, 5.0)), id="steps"
        ),
        pytest.param(
            ((0.5, 50.0), (1.0, 5.0), (2.0, 50.0), (2.0, 5.0)), id="mixed"
        ),
    ],
)
def test_services_come_to_rest(
    sizes: tuple[Size, ...], owned: tuple[str, str]
) -> None:
    """Guards against instances that hand a service back and forth."""
    members = dict(zip("abcd", sizes, strict=True))
    owners = dict(zip((SERVICE, OTHER), owned, strict=True))
    moves = 0
    moved = True
    while moved:
        moved = False
        for service in owners:
            former = owners[service]
            owner = _make_owner(members, instance=former)
            session = owner.session
            owner.service = service
            session.owners.clear()
            for key, name in owners.items():
                session.owners[key] = _session.Owner(
                    instance=name, incarnation=name, fencing_token=FENCE
                )
            successor = _find(owner)
            if not successor:
                continue
            session.former_owners[service] = session.owners.pop(service)
            # The one that all members expect to claim first.
            assert _claims.rank_members(session, service)[0] == successor
            assert members[successor][0] > members[former][0]
            owners[service] = successor
            moves += 1
            moved = True
    assert moves <= 4


@pytest.mark.parametrize(
    ("answer", "rejoined", "successor"),
    [
        pytest.param(None, False, "", id="still-a-member"),
        pytest.param(None, True, "b", id="joined-again"),
        pytest.param(LOST, False, "b", id="was-not-released"),
    ],
)
def test_an_instance_that_leaves_a_service_unclaimed_is_not_asked_again(
    answer: Exception | None,
    rejoined: bool,
    successor: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a service that its owner releases again and again."""

    async def commit(store: object, transaction: object) -> int:
        if answer is not None:
            raise answer
        return FENCE + 1

    async def commit_all(owner: _ownership.Ownership) -> None:
        pass

    monkeypatch.setattr(platform, "commit", commit)
    monkeypatch.setattr(_commits, "commit_all", commit_all)
    owner = _make_owner({"a": SMALL, "b": LARGE})

    async def main() -> None:
        _handover._start(owner, _find(owner))
        # Members may change before the release is sent.
        owner.session.members.clear()
        owner.session.member_since.clear()
        await asyncio.gather(*owner.commands)

    asyncio.run(main())
    assert owner.deposed.is_set()
    again = _make_owner({"a": SMALL, "b": LARGE})
    again.session.handed_to = owner.session.handed_to
    if rejoined:
        again.session.member_since["b"] = 50.0
    assert _find(again) == successor


def test_the_session_notes_when_an_instance_joined(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an instance that counts as a member of long standing."""
    session = _make_owner().session
    value = cbor2.dumps(["1.2.3.4:5", "x", 2.0, 100.0])
    joined = platform.Item(key=_keys.member("b"), value=value, revision=1)
    left = platform.Item(key=_keys.member("b"), revision=2, removed=True)
    monkeypatch.setattr(_clock, "now", lambda: 1.0)
    _session.apply_cell_item(session, joined)
    assert session.member_since == {"b": 1.0}
    monkeypatch.setattr(_clock, "now", lambda: 2.0)
    # A daemon that has started again joins anew, at times before its former
    # lease has expired.
    _session.apply_cell_item(session, attrs.evolve(joined, revision=2))
    assert session.member_since == {"b": 2.0}
    _session.apply_cell_item(session, left)
    assert session.member_since == {}


def test_an_ownership_does_not_end_before_its_release(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a claim by the former owner that undoes the release."""

    async def main() -> None:
        answered = asyncio.Event()

        async def commit(store: object, transaction: object) -> int:
            await answered.wait()
            return FENCE + 1

        async def take_over(owner: object) -> _takeover.Listed:
            return _takeover.Listed(workers=1, work=1)

        monkeypatch.setattr(platform, "commit", commit)
        monkeypatch.setattr(_takeover, "take_over", take_over)
        monkeypatch.setattr(_owner, "_make_loops", lambda listed: {})
        owner = _make_owner({"a": SMALL, "b": LARGE})
        running = asyncio.ensure_future(_owner.run_ownership(owner))
        release = asyncio.ensure_future(_release.hand_over(owner))
        await owner.deposed.wait()
        await asyncio.sleep(0.05)
        assert not running.done()
        answered.set()
        await asyncio.wait_for(running, 1.0)
        assert await release

    asyncio.run(main())


def test_a_service_that_was_not_released_is_claimed_anew(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a service whose owner has stopped and keeps its key."""
    claims: list[int] = []

    async def claim(
        session: object, service: str, *, replaced: int = 0
    ) -> None:
        claims.append(replaced)

    async def commit(store: object, transaction: object) -> int:
        raise LOST

    async def run_ownership(owner: _ownership.Ownership) -> None:
        await owner.deposed.wait()
        async with owner.hand_over_lock:
            pass

    async def main() -> None:
        monkeypatch.setattr(_claims, "claim", claim)
        monkeypatch.setattr(platform, "commit", commit)
        owner = _make_owner({"a": SMALL, "b": LARGE})
        daemon = _daemon.Daemon(
            session=owner.session,
            context=None,
            owned={SERVICE: owner},
            workers=_worker_clients.make_worker_clients(
                owner.session.settings
            ),
            metrics=owner.metrics,
        )
        running = {SERVICE: asyncio.ensure_future(run_ownership(owner))}
        _daemon._update_ownership(daemon, running, SERVICE)
        assert not await _release.hand_over(owner)
        for _ in range(3):
            await asyncio.sleep(0)
            _daemon._update_ownership(daemon, running, SERVICE)
        await asyncio.sleep(0)
        assert claims and set(claims) == {FENCE}
        assert not daemon.owned

    asyncio.run(main())


def test_work_goes_on_while_a_larger_instance_takes_a_service(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a small owner that keeps its service to the end."""
    jobs = [f"{number:016x}" for number in range(8)]

    async def main() -> None:
        capacity = {"core_share": 0.5, "link_mbps": 5.0}
        async with node_cell.run_cell(
            tmp_path, nodes=1, capacity=capacity
        ) as cell:
            small = cell.nodes[0]
            for worker in cell.workers:
                worker.run_s = 6.0
            for job_id in jobs[:4]:
                assert await node_cell.submit(small, job_id) == 200
            await node_cell.wait_until(
                lambda: sum(len(each.runs) for each in cell.workers) == 8
            )
            settings = json.loads(small.settings.read_text())
            port = harness.find_ports(
                harness.make_harness(tmp_path), node_cell.PORTS_PER_NODE
            )
            large = node_cell.start_node(
                tmp_path,
                "n1",
                settings["store"]["address"],
                settings["advisor"],
                port,
                capacity={"core_share": 2.0, "link_mbps": 100.0},
            )
            cell.nodes.append(large)
            await node_cell.wait_until_ready(large)
            await node_cell.wait_until(
                lambda: (
                    f"cell/owners/{SERVICE}" in cell.store.keys
                    and node_cell.owner_of(cell) is large
                ),
                limit_s=6.0,
            )
            # The claim has removed the record of the release.
            released = _keys.released(SERVICE)
            assert released in {key for _, key in cell.store.history}
            assert released not in cell.store.keys
            for job_id in jobs[4:]:
                assert await node_cell.submit(small, job_id) == 200
            for job_id in jobs:
                await node_cell.wait_until_state(
                    small, job_id, "complete", limit_s=30.0
                )
            starts = [task for each in cell.workers for task, _ in each.starts]
            # No run of the first jobs was lost with the former owner.
            assert len(starts) == len(set(starts)) == 16
            assert node_cell.owner_of(cell) is large
            node_cell.check_runs(cell)

    asyncio.run(main())
