"""Cancellations whose job ends meanwhile, or that are executed late."""

import asyncio
import collections.abc
import functools

import attrs
import pytest
from tornado import httputil

from chestnuttide.node import _keys
from chestnuttide.node import _metrics
from chestnuttide.node import _responses
from chestnuttide.node import _submission
from chestnuttide.node.tests import _session_fixtures
from chestnuttide.platform import _http
from chestnuttide import workloads
from chestnuttide.workloads.tests import _pool_fixtures
from standins import cloud

SPEC = _pool_fixtures.make_spec(_pool_fixtures.make_step())
SERVICE = SPEC.queue.service
JOB_KEY = _keys.job(SERVICE, SPEC.id)
CANCEL_KEY = _keys.cancel(SERVICE, SPEC.id)

Answer = tuple[int, dict[str, object]] | None


@attrs.define(kw_only=True, eq=False)
class _Store:
    """A store in which the job changes before the first transaction.

    Attributes
    ----------
    store : Store
        What it stores.
    before : function
        Called before the first transaction is executed.
    holds : bool
        Whether that is left unanswered.
    held : list of function
        Executes the transaction that was left unanswered.
    transactions : int
        Number of transactions that have arrived.
    """

    store: cloud.Store = attrs.field(factory=cloud.Store)
    before: collections.abc.Callable[[cloud.Store], None] = lambda store: None
    holds: bool = False
    held: list[
        collections.abc.Callable[[], collections.abc.Awaitable[Answer]]
    ] = attrs.field(factory=list)
    transactions: int = 0


async def _handle(
    store: _Store,
    request: httputil.HTTPServerRequest,
    body: dict[str, object],
) -> Answer:
    execute = functools.partial(
        cloud.handle_store_request, store.store, request, body
    )
    if request.path.endswith("/kv-txn"):
        store.transactions += 1
        if store.transactions == 1:
            store.before(store.store)
            if store.holds:
                store.held.append(execute)
                return None
    return await execute()


def _end_job(store: cloud.Store) -> None:
    job = _pool_fixtures.submit(
        _pool_fixtures.make_pool(0), _pool_fixtures.make_step()
    )
    job.state = workloads.JobState.COMPLETE
    cloud.put(store, JOB_KEY, workloads.encode_ended_job(job))


def _cancel(store: _Store) -> int:
    """Cancel the job; return the status of the answer."""

    async def main() -> int:
        address, server = cloud.serve(functools.partial(_handle, store))
        session = _session_fixtures.make_session(
            address, timeout_s=0.2, count=lambda kind, outcome: None
        )
        context = _responses.ApiContext(
            session=session, owned={}, metrics=_metrics.make_metrics()
        )
        cloud.put(store.store, JOB_KEY, workloads.encode_job(SPEC))
        response = await _submission.cancel(context, SPEC.queue, SPEC.id)
        if store.held:
            cloud.remove(store.store, JOB_KEY)
            cloud.put(store.store, JOB_KEY, workloads.encode_job(SPEC))
            await store.held[0]()
        server.stop()
        # libcurl's transfers end with their connections.
        await server.close_all_connections()
        await asyncio.sleep(0.1)
        _http.close(session.store.http)
        return response.status

    return asyncio.run(main())


@pytest.mark.parametrize(
    ("before", "status", "cancelled", "transactions"),
    [
        pytest.param(lambda store: None, 200, True, 1, id="lives"),
        pytest.param(_end_job, 200, False, 1, id="has-ended"),
        pytest.param(
            functools.partial(cloud.remove, key=JOB_KEY),
            410,
            False,
            1,
            id="was-removed",
        ),
    ],
)
def test_a_job_that_ends_meanwhile_is_not_cancelled(
    before: collections.abc.Callable[[cloud.Store], None],
    status: int,
    cancelled: bool,
    transactions: int,
) -> None:
    """Guards against cancellations that stay when their job is gone."""
    store = _Store(before=before)
    assert _cancel(store) == status
    assert (CANCEL_KEY in store.store.keys) is cancelled
    assert store.transactions == transactions


def test_a_late_cancellation_cancels_no_later_job() -> None:
    """Guards against a job that ends by the cancellation of its namesake."""
    store = _Store(holds=True)
    assert _cancel(store) == 503
    assert JOB_KEY in store.store.keys
    assert CANCEL_KEY not in store.store.keys
