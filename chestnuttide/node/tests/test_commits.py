"""Commits of an owner to a stand-in of the store."""

import asyncio
import collections.abc
import functools
import json
import time

import pytest

from chestnuttide.node import _commits
from chestnuttide.node import _keys
from chestnuttide.node import _metrics
from chestnuttide.node import _owner
from chestnuttide.node import _ownership
from chestnuttide.node import _set_aside
from chestnuttide import platform
from chestnuttide import workloads
from chestnuttide.workloads.tests import _pool_fixtures
from standins import cloud

SERVICE = "workshop"


def _run(
    scenario: collections.abc.Callable[
        [_ownership.Ownership, cloud.Store], collections.abc.Awaitable[None]
    ],
    handle: collections.abc.Callable[
        ..., collections.abc.Awaitable[object]
    ] = cloud.handle_store_request,
) -> None:
    """Run a scenario with an owner whose key is stored."""

    async def main() -> None:
        store, metrics = cloud.Store(), _metrics.make_metrics()
        address, server = cloud.serve(functools.partial(handle, store))
        cloud.put(store, _keys.owner(SERVICE), b"me")
        owner = _ownership.Ownership(
            service=SERVICE,
            fencing_token=store.revision,
            session=None,
            store=platform.KvStore(
                http=platform.make_client(max_clients=10),
                address=address,
                timeout_s=0.7,
                count=_metrics.store_counter(metrics),
            ),
            workers_http=None,
            pool=_pool_fixtures.make_pool(2),
            metrics=metrics,
        )
        commit_task = asyncio.ensure_future(_commits.commit_loop(owner))
        try:
            await scenario(owner, store)
        finally:
            owner.deposed.set()
            commit_task.cancel()
            await asyncio.gather(
                commit_task, *owner.commit_rounds, return_exceptions=True
            )
            server.stop()

    asyncio.run(main())


def _plan_two_tasks(owner: _ownership.Ownership) -> workloads.Job:
    job = _pool_fixtures.submit(owner.pool, _pool_fixtures.make_step(count=2))
    _pool_fixtures.start_all(owner.pool)
    _ownership.request_commit(owner, urgent=True)
    return job


async def _until_shown(job: workloads.Job, *, limit_s: float) -> None:
    async with asyncio.timeout(limit_s):
        while job.shown_state != workloads.JobState.COMPLETE:
            await asyncio.sleep(0.01)


def test_a_jobs_end_does_not_wait_for_an_earlier_commit() -> None:
    """Guards against jobs whose end is delayed by a lost store answer."""

    async def scenario(
        owner: _ownership.Ownership, store: cloud.Store
    ) -> None:
        store.dropped_responses = 1
        job = _plan_two_tasks(owner)
        await asyncio.sleep(0.1)
        assert store.dropped_responses == 0
        for worker in list(owner.pool.workers.values()):
            for run in list(worker.runs.values()):
                _pool_fixtures.complete_run(owner.pool, run, "done")
        _ownership.request_commit(owner, urgent=True)
        # The commit with the lost answer times out after 0.7 s.
        await _until_shown(job, limit_s=0.4)
        record = store.keys[_keys.job(SERVICE, job.spec.id)].value
        assert workloads.decode_job(record).state == "complete"

    _run(scenario)


def test_completions_are_acknowledged_only_once_the_job_is_stored() -> None:
    """Guards against completed tasks that run again after a takeover.

    The job ends while the commit of an earlier change is being retried, so
    that change is never written.
    """

    async def scenario(
        owner: _ownership.Ownership, store: cloud.Store
    ) -> None:
        store.refusal_status = 503
        _plan_two_tasks(owner)
        await asyncio.sleep(0.2)
        for worker in list(owner.pool.workers.values()):
            for run in list(worker.runs.values()):
                _pool_fixtures.complete_run(owner.pool, run, "done")
        await asyncio.sleep(0.2)
        workers = owner.pool.workers.values()
        assert all(worker.stored_completion == 0 for worker in workers)
        store.refusal_status = 0
        async with asyncio.timeout(2.0):
            while not all(
                worker.stored_completion == worker.last_completion
                for worker in workers
            ):
                assert not any(
                    worker.stored_completion for worker in workers
                ) or (_keys.job(SERVICE, "00000000000000aa") in store.keys)
                await asyncio.sleep(0.005)

    _run(scenario)


def test_a_progress_record_stored_late_is_removed() -> None:
    """Guards against progress records of ended jobs left in the store."""

    async def scenario(
        owner: _ownership.Ownership, store: cloud.Store
    ) -> None:
        job = _plan_two_tasks(owner)
        batch = _commits.make_batch(owner, [job])
        job.shown_state = workloads.JobState.COMPLETE
        _commits.apply_batch(owner, batch, 99)
        key = _keys.progress(SERVICE, job.spec.id)
        assert owner.obsolete_keys == {key: 99}

    _run(scenario)


@pytest.mark.parametrize(
    ("lost_answers", "late_s"),
    [
        pytest.param(0, 0.0, id="in-the-same-round"),
        pytest.param(1, 0.5, id="executed-late"),
    ],
)
def test_a_repeated_job_keeps_its_record(
    lost_answers: int, late_s: float
) -> None:
    """Guards against tasks that a takeover starts beside their former runs.

    A job that was announced and not stored is dropped, and its record removed.
    Then its caller sends the same id again, and its tasks start.
    """

    async def scenario(
        owner: _ownership.Ownership, store: cloud.Store
    ) -> None:
        dropped = _plan_two_tasks(owner)
        dropped.accepted = False
        await _commits.commit_all(owner)
        key = _keys.progress(SERVICE, dropped.spec.id)
        assert key in store.keys
        now = dropped.accepted_at + _owner.ANNOUNCED_JOB_LIMIT_S + 0.1
        _owner._drop_unstored_jobs(owner, now)
        assert not owner.pool.jobs
        store.dropped_responses = lost_answers
        store.commit_delay_s = late_s
        if lost_answers:
            removal = asyncio.ensure_future(_commits.commit_all(owner))
            await _until(lambda: not store.dropped_responses)
        repeated = _plan_two_tasks(owner)
        await _commits.commit_all(owner)
        if lost_answers:
            await removal
        assert repeated.progress_revision
        assert store.keys[key].revision == repeated.progress_revision

    _run(scenario)


def test_a_replaced_record_keeps_no_other_in_the_store() -> None:
    """Guards against records of ended jobs that stay for good."""

    async def scenario(
        owner: _ownership.Ownership, store: cloud.Store
    ) -> None:
        replaced, *others = (
            _keys.progress(SERVICE, f"{number:016x}") for number in range(40)
        )
        for key in (replaced, *others):
            cloud.put(store, key, b"")
            owner.obsolete_keys[key] = store.revision
        cloud.put(store, replaced, b"")
        while owner.obsolete_keys:
            await _commits.commit_all(owner)
        assert replaced in store.keys
        assert not store.keys.keys() & set(others)

    _run(scenario)


async def _until(condition: collections.abc.Callable[[], bool]) -> None:
    async with asyncio.timeout(2.0):
        while not condition():
            await asyncio.sleep(0.01)


def test_a_job_that_ends_early_does_not_block_its_chunk() -> None:
    """Guards against live jobs that are never stored again.

    In seed 4108 of the soak, the first job of a chunk ended after the chunk
    was formed and before its transaction, and the chunk's other jobs stayed
    marked as being stored.
    """

    async def scenario(
        owner: _ownership.Ownership, store: cloud.Store
    ) -> None:
        first = _pool_fixtures.submit(
            owner.pool, _pool_fixtures.make_step(), job_id="a" * 16
        )
        second = _pool_fixtures.submit(
            owner.pool, _pool_fixtures.make_step(), job_id="b" * 16
        )
        runs = _pool_fixtures.start_all(owner.pool)
        commit_round = asyncio.ensure_future(_commits.commit_all(owner))
        # The chunk is formed in the next iteration of the event loop, and its
        # transaction in the one after that.
        await asyncio.sleep(0)
        await _end_before_the_transaction(owner, first, runs)
        await commit_round
        async with asyncio.timeout(1.0):
            while _keys.progress(SERVICE, second.spec.id) not in store.keys:
                await asyncio.sleep(0.01)
        assert second.spec.id not in owner.jobs_in_commit

    _run(scenario)


async def _end_before_the_transaction(
    owner: _ownership.Ownership,
    job: workloads.Job,
    runs: list[workloads.Run],
) -> None:
    assert job.spec.id in owner.jobs_in_commit
    run = next(each for each in runs if each.job is job)
    _pool_fixtures.complete_run(owner.pool, run, "done")
    _ownership.request_commit(owner, urgent=True)


def _submit_chunk(owner: _ownership.Ownership) -> list[workloads.Job]:
    """Submit and plan as many jobs as share a transaction."""
    for number in (2, 3):
        _pool_fixtures.add_worker(owner.pool, f"w{number}")
    jobs = [
        _pool_fixtures.submit(
            owner.pool, _pool_fixtures.make_step(), job_id=f"{number:016x}"
        )
        for number in range(15)
    ]
    workloads.make_plan(owner.pool, now=0.1)
    return jobs


async def _until_stored(
    store: cloud.Store, jobs: list[workloads.Job], *, limit_s: float
) -> None:
    keys = {_keys.progress(SERVICE, job.spec.id) for job in jobs}
    async with asyncio.timeout(limit_s):
        while not keys <= store.keys.keys():
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("status", [400, 413, 422])
def test_a_rejected_record_costs_no_other_job(status: int) -> None:
    """Guards against jobs never stored beside one that the store rejects.

    A record above the store's limit was sent every 0.05 s for ever, together
    with up to 14 others.
    """
    bad_key = _keys.progress(SERVICE, f"{7:016x}")

    async def handle(
        store: cloud.Store, request: object, body: dict[str, object]
    ) -> object:
        if any(row["key"] == bad_key for row in body.get("puts", ())):
            return status, {}
        return await cloud.handle_store_request(store, request, body)

    async def scenario(
        owner: _ownership.Ownership, store: cloud.Store
    ) -> None:
        jobs = _submit_chunk(owner)
        bad = jobs.pop(7)
        _ownership.request_commit(owner, urgent=True)
        await _until_stored(store, jobs, limit_s=2.0)
        async with asyncio.timeout(2.0):
            while owner.jobs_in_commit:
                await asyncio.sleep(0.01)
        assert set(owner.set_aside.items) == {
            (_set_aside.Kind.JOB, bad.spec.id)
        }
        assert bad.dirty
        rejected = {"reason": "store_rejected"}
        # Once with the chunk and once alone.
        assert owner.metrics.retries.get(rejected) == 2

    _run(scenario, handle)


@pytest.mark.parametrize("status", [401, 408, 429, 500, 502, 503, 504, -1])
def test_a_commit_of_unknown_outcome_sets_no_job_aside(status: int) -> None:
    """Guards against jobs set aside for a failure of the store."""

    async def scenario(
        owner: _ownership.Ownership, store: cloud.Store
    ) -> None:
        store.refusal_status = status
        jobs = _submit_chunk(owner)
        _ownership.request_commit(owner, urgent=True)
        await asyncio.sleep(0.3)
        assert not owner.set_aside.items
        assert len(owner.jobs_in_commit) == len(jobs)
        store.refusal_status = 0
        await _until_stored(store, jobs, limit_s=3.0)
        assert not owner.set_aside.items

    _run(scenario)


LINK_BYTES_PER_S = 5e6 / 8
STORE_TIMEOUT_S = 0.7


def _make_slow_link() -> collections.abc.Callable[
    ..., collections.abc.Awaitable[object]
]:
    """Return a store behind a link of 5 Mbit/s that all requests share.

    A request that the client has given up sends no more bytes.
    """
    sending = 0

    async def handle(
        store: cloud.Store, request: object, body: dict[str, object]
    ) -> object:
        nonlocal sending
        remaining = len(json.dumps(body))
        started_at = at = time.monotonic()
        sending += 1
        try:
            while remaining > 0:
                await asyncio.sleep(0.005)
                now = time.monotonic()
                remaining -= (now - at) * LINK_BYTES_PER_S / sending
                at = now
                if now - started_at > STORE_TIMEOUT_S:
                    return None
        finally:
            sending -= 1
        return await cloud.handle_store_request(store, request, body)

    return handle


def _submit_started(
    owner: _ownership.Ownership, *, jobs: int, units: int, first: int = 0
) -> list[workloads.Job]:
    """Submit jobs whose records have about 59 bytes a unit."""
    submitted = []
    for number in range(first, first + jobs):
        job = _pool_fixtures.submit(
            owner.pool,
            _pool_fixtures.make_step(count=units),
            job_id=f"{number:016x}",
        )
        _pool_fixtures.create_all_units(job)
        for unit in job.units.values():
            unit.last_run = 1
            unit.checkpoint = "c" * 38
        assert len(job.units) == units
        job.dirty = True
        submitted.append(job)
    return submitted


def test_all_records_are_stored_over_a_slow_link() -> None:
    """Guards against an owner that never stores its records after an outage.

    15 records of 500 started units were one transaction of 600 kB, which a
    link of 5 Mbit/s does not send within the store's timeout.
    """

    async def scenario(
        owner: _ownership.Ownership, store: cloud.Store
    ) -> None:
        jobs = _submit_started(owner, jobs=15, units=500)
        sizes = [len(workloads.encode_progress(job)) for job in jobs]
        assert 25_000 < min(sizes)
        _ownership.request_commit(owner, urgent=True)
        # The link alone needs 1 s.
        await _until_stored(store, jobs, limit_s=5.0)
        assert not owner.set_aside.items

    _run(scenario, _make_slow_link())


def test_a_record_that_fails_holds_up_no_others() -> None:
    """Guards against one large record that takes the link from all others."""
    large_key = _keys.progress(SERVICE, f"{0:016x}")
    attempts: list[float] = []

    async def handle(
        store: cloud.Store, request: object, body: dict[str, object]
    ) -> object:
        if any(row["key"] == large_key for row in body.get("puts", ())):
            attempts.append(time.monotonic())
            return 503, {}
        return await cloud.handle_store_request(store, request, body)

    async def scenario(
        owner: _ownership.Ownership, store: cloud.Store
    ) -> None:
        (large,) = _submit_started(owner, jobs=1, units=2000)
        others = _submit_started(owner, jobs=5, units=20, first=1)
        _ownership.request_commit(owner, urgent=True)
        await _until_stored(store, others, limit_s=1.0)
        await asyncio.sleep(2.0)
        # After 0, 0.05, 0.15, 0.35, 0.75, 1.25, 1.75 and 2.25 s.
        assert 4 <= len(attempts) <= 8
        assert large.spec.id in owner.jobs_in_commit

    _run(scenario, handle)


@pytest.mark.parametrize(
    ("jobs", "units", "expected"),
    [
        pytest.param(31, 10, [15, 15, 1], id="by-entries"),
        pytest.param(5, 150, [2, 2, 1], id="by-bytes"),
        pytest.param(2, 2000, [1, 1], id="large-job-alone"),
        pytest.param(0, 0, [], id="none"),
    ],
)
def test_chunks_are_bounded_by_entries_and_by_bytes(
    jobs: int, units: int, expected: list[int]
) -> None:
    """Guards against transactions too large for the store or for a link."""

    async def scenario(
        owner: _ownership.Ownership, store: cloud.Store
    ) -> None:
        submitted = _submit_started(owner, jobs=jobs, units=units)
        chunks = list(_commits._chunks(submitted))
        assert [len(chunk) for chunk in chunks] == expected
        assert [job for chunk in chunks for job in chunk] == submitted

    _run(scenario)


def test_the_end_of_a_job_does_not_wait_for_the_bytes_in_flight() -> None:
    """Guards against ends that wait for a large change of the same job."""

    async def scenario(
        owner: _ownership.Ownership, store: cloud.Store
    ) -> None:
        store.dropped_responses = 1
        (job,) = _submit_started(owner, jobs=1, units=5000)
        _ownership.request_commit(owner, urgent=True)
        await asyncio.sleep(0.2)
        assert store.dropped_responses == 0
        window = owner.commit_windows.live
        assert window.used_bytes > window.limit_bytes
        job.state = workloads.JobState.COMPLETE
        job.dirty = True
        _ownership.request_commit(owner, urgent=True)
        # The commit with the lost answer times out after 0.7 s.
        await _until_shown(job, limit_s=0.4)

    _run(scenario)
