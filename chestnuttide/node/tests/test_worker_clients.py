"""Polls and commands over loopback, where transfers are few."""

import asyncio
import functools
import math

import attrs

from chestnuttide.node import _metrics
from chestnuttide.node import _ownership
from chestnuttide.node import _poll_pacing
from chestnuttide.node import _polls
from chestnuttide.node import _worker_clients
from chestnuttide.platform import _http
from chestnuttide.workloads.tests import _pool_fixtures
from standins import cloud

WORKERS = 30
SILENT = 6
WAITING = 8
SHORT = 4

# Only tells an owner that polls all workers from one that doesn't.
LIMIT_S = 20.0


def _queued(client: _http.HttpClient) -> int:
    """Return the number of requests that the client has not taken up."""
    return len(client.curl._requests)


def _is_running(owner: _ownership.Ownership) -> bool:
    return any(not task.done() for task in owner.poll_loops.values())


def test_no_poll_is_queued_in_its_client() -> None:
    """Guards against polls and commands that wait behind others.

    The client's queue has no timeout, so that polls came too late for the
    leases of their workers, and starts waited for the end of polls.
    """

    async def main() -> None:
        clients = _worker_clients.WorkerClients(
            pacing=_poll_pacing.Pacing(
                limits=_poll_pacing.Limits(waiting=WAITING, short=SHORT)
            )
        )
        _worker_clients.open_clients(clients)
        owner = _ownership.Ownership(
            service="workshop",
            fencing_token=7,
            session=None,
            store=None,
            workers_http=clients.commands,
            polls_http=clients.polls,
            pacing=clients.pacing,
            pool=_pool_fixtures.make_pool(WORKERS),
            metrics=_metrics.make_metrics(),
            confirmed_at=math.inf,
        )
        servers = []
        for number, worker in enumerate(owner.pool.workers.values()):
            stand_in = cloud.Worker(
                id=worker.report.id,
                service="workshop",
                capacity={},
                silent=number < SILENT,
            )
            address, server = cloud.serve(
                functools.partial(cloud.handle_worker_request, stand_in)
            )
            servers.append(server)
            worker.report = attrs.evolve(worker.report, address=address)
            worker.last_reply_at = 0.0
            _polls.ensure_poll_loop(owner, worker)
        answering = list(owner.pool.workers.values())[SILENT:]
        async with asyncio.timeout(LIMIT_S):
            while not all(worker.last_reply_at for worker in answering):
                await asyncio.sleep(0.005)
                assert not _queued(clients.polls)
        # Short and waiting polls are under way together.
        for _ in range(100):
            await asyncio.sleep(0.005)
            assert not _queued(clients.polls)
        assert not _queued(clients.commands)
        owner.deposed.set()
        async with asyncio.timeout(LIMIT_S):
            while _is_running(owner):
                await asyncio.sleep(0.05)
        for server in servers:
            server.stop()
        _http.close(clients.polls)
        _http.close(clients.commands)

    asyncio.run(main())
