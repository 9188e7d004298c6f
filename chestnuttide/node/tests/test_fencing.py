"""Fencing tokens and rejections of calls to workers that restart."""

import asyncio
import collections.abc

import attrs
import pytest

from chestnuttide import errors
from chestnuttide.node import _clock
from chestnuttide.node import _commands
from chestnuttide.node import _fencing
from chestnuttide.node import _metrics
from chestnuttide.node import _ownership
from chestnuttide.node import _starts
from chestnuttide import platform
from chestnuttide import workloads
from chestnuttide.workloads.tests import _pool_fixtures

TOKEN = 7


@attrs.define(kw_only=True)
class _Store:
    """Answers transactions with rising revisions, or raises an error."""

    revision: int = TOKEN
    transactions: int = 0
    error: Exception | None = None


def _make_owner(
    monkeypatch: pytest.MonkeyPatch,
) -> tuple[_ownership.Ownership, _Store]:
    store = _Store()

    async def commit(
        store_client: object,
        transaction: platform.Transaction,
        **options: object,
    ) -> int:
        await asyncio.sleep(0)
        assert transaction.expect == {"cell/owners/workshop": TOKEN}
        store.transactions += 1
        if store.error is not None:
            raise store.error
        store.revision += 1
        return store.revision

    monkeypatch.setattr(platform, "commit", commit)
    monkeypatch.setattr(_fencing, "RETRY_PAUSE_S", 0.0)
    owner = _ownership.Ownership(
        service="workshop",
        fencing_token=TOKEN,
        session=None,
        store=None,
        workers_http=None,
        pool=_pool_fixtures.make_pool(2),
        metrics=_metrics.make_metrics(),
        confirmed_at=_clock.now(),
    )
    return owner, store


def _restart(
    owner: _ownership.Ownership, worker: workloads.Worker
) -> workloads.Worker:
    report = attrs.evolve(worker.report, born_ms=worker.report.born_ms + 1)
    return workloads.update_worker(
        owner.pool, report, now=_clock.now(), lease_until=0.0
    )


@pytest.mark.parametrize(
    ("committed", "transactions"),
    [
        pytest.param(True, 0, id="a-commit-has-raised-it"),
        pytest.param(False, 1, id="no-commit-since"),
    ],
)
def test_restarted_workers_get_a_higher_token_with_one_write_at_most(
    monkeypatch: pytest.MonkeyPatch, committed: bool, transactions: int
) -> None:
    """Guards against calls that the next incarnation takes for its own."""
    owner, store = _make_owner(monkeypatch)

    async def main() -> None:
        workers = list(owner.pool.workers.values())
        for worker in workers:
            assert await _fencing.ensure_token(owner, worker)
        assert store.transactions == 0
        if committed:
            _fencing.record_transaction(owner, TOKEN + 1)
        successors = [_restart(owner, worker) for worker in workers]
        assert all(
            await asyncio.gather(
                *(_fencing.ensure_token(owner, each) for each in successors)
            )
        )
        assert [each.fencing_token for each in successors] == [8, 8]
        assert store.transactions == transactions

    asyncio.run(main())


@pytest.mark.parametrize(
    ("error", "deposed"),
    [
        pytest.param(
            errors.StoreUnavailableError(message="down", remedy="wait"),
            False,
            id="store-is-down",
        ),
        pytest.param(platform.ConditionError(()), True, id="deposed"),
    ],
)
def test_a_restarted_worker_is_not_called_without_a_token(
    monkeypatch: pytest.MonkeyPatch, error: Exception, deposed: bool
) -> None:
    """Guards against calls with the token of the former incarnation."""
    owner, store = _make_owner(monkeypatch)

    async def main() -> None:
        worker, _ = owner.pool.workers.values()
        assert await _fencing.ensure_token(owner, worker)
        successor = _restart(owner, worker)
        store.error = error
        assert not await _fencing.ensure_token(owner, successor)
        assert successor.fencing_token == 0
        assert owner.deposed.is_set() == deposed
        assert not _commands.may_send(owner, successor, TOKEN)
        assert not _commands.may_send(owner, successor, 0)

    asyncio.run(main())


@pytest.mark.parametrize(
    ("fence", "deposed"),
    [
        pytest.param(TOKEN, False, id="another-incarnation-has-answered"),
        pytest.param(TOKEN + 1, True, id="another-owner"),
    ],
)
def test_only_the_newest_token_that_is_refused_deposes(
    monkeypatch: pytest.MonkeyPatch, fence: int, deposed: bool
) -> None:
    """Guards against an owner that its own later calls depose."""
    owner, _ = _make_owner(monkeypatch)

    async def main() -> None:
        worker, _ = owner.pool.workers.values()
        await _fencing.ensure_token(owner, worker)
        successor = _restart(owner, worker)
        await _fencing.ensure_token(owner, successor)
        _commands.handle_rejection(
            owner,
            worker if fence == TOKEN else successor,
            platform.CommandReply(status=409, reason="fence"),
            "hold",
            address=_commands.worker_address(worker),
            fence=fence,
        )
        assert owner.deposed.is_set() == deposed

    asyncio.run(main())


def test_a_start_that_the_next_incarnation_rejects_is_planned_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a run that is never settled after a rejected start."""
    owner, _ = _make_owner(monkeypatch)

    async def start_run(
        http: object,
        address: platform.WorkerAddress,
        *,
        may_send: collections.abc.Callable[[], bool],
        **fields: object,
    ) -> platform.CommandReply:
        assert may_send()
        worker = owner.pool.workers[f"{address.id}@1"]
        await _fencing.ensure_token(owner, _restart(owner, worker))
        return platform.CommandReply(status=409, reason="fence", clock_ms=1)

    monkeypatch.setattr(platform, "start_run", start_run)

    async def main() -> None:
        for worker in owner.pool.workers.values():
            await _fencing.ensure_token(owner, worker)
        job = _pool_fixtures.submit(owner.pool, _pool_fixtures.make_step())
        (run,) = workloads.make_plan(owner.pool, now=_clock.now()).runs
        run.recorded = True
        _starts.start_recorded_runs(owner, job)
        await asyncio.gather(*owner.commands)
        assert not owner.deposed.is_set()
        assert run not in run.unit.runs
        assert run.unit.state == workloads.UnitState.WAITING

    asyncio.run(main())


@pytest.mark.parametrize(
    ("moved", "ended"),
    [
        pytest.param(True, False, id="from-its-former-address"),
        pytest.param(False, True, id="from-its-address"),
    ],
)
def test_a_421_ends_runs_only_at_the_address_that_it_came_from(
    monkeypatch: pytest.MonkeyPatch, moved: bool, ended: bool
) -> None:
    """Guards against a second run of a task whose worker lives elsewhere."""
    owner, _ = _make_owner(monkeypatch)

    async def main() -> None:
        _pool_fixtures.submit(owner.pool, _pool_fixtures.make_step())
        (run,) = _pool_fixtures.start_all(owner.pool)
        worker = owner.pool.workers[run.worker_key]
        address = _commands.worker_address(worker)
        if moved:
            worker.report = attrs.evolve(worker.report, address="127.0.0.1:2")
        _commands.handle_rejection(
            owner,
            worker,
            platform.CommandReply(status=421),
            "hold",
            address=address,
            fence=TOKEN,
        )
        assert (run not in run.unit.runs) == ended

    asyncio.run(main())
