"""The stand-in for a worker: its incarnations, leases and late calls."""

import asyncio
import collections.abc
import random

import pytest
from tornado import httputil

from standins import cloud
from standins.cloud import _worker

TASK = "00000000000000aa.0.0.0"


def _make_worker(**fields: object) -> cloud.Worker:
    return cloud.Worker(
        id="i-0", service="layout", capacity={"cpu": 1000}, **fields
    )


async def _call(
    worker: cloud.Worker, path: str, **body: object
) -> tuple[int, dict[str, object]] | None:
    request = httputil.HTTPServerRequest(
        start_line=httputil.RequestStartLine("POST", path, "HTTP/1.1"),
        headers=httputil.HTTPHeaders(
            {"Host": "worker", "Expect-Instance": worker.id}
        ),
    )
    return await cloud.handle_worker_request(
        worker, request, {"fence": 1, **body}
    )


async def _poll(
    worker: cloud.Worker, *, seen: int = 0, **body: object
) -> dict[str, object]:
    _, reply = await _call(worker, "/v1/hold", seenUpto=seen, **body)
    return reply


async def _start(
    worker: cloud.Worker, *, deadline_ms: int, run: int = 1, ticket: str = ""
) -> tuple[int, dict[str, object]] | None:
    return await _call(
        worker,
        "/v1/run-start",
        task=TASK,
        run=run,
        spec="",
        deadlineMs=deadline_ms,
        ticket=ticket,
    )


def _remaining_s(worker: cloud.Worker) -> float:
    return worker.lease_expires_s - _worker._clock_s(worker)


@pytest.mark.parametrize(
    "origin_s", [pytest.param(each, id=f"{each}-s") for each in (0.0, 1e7)]
)
def test_an_incarnation_has_a_clock_and_a_lease_of_its_own(
    origin_s: float,
) -> None:
    """Guards against stand-ins whose clock and lease outlive a restart."""

    async def main() -> None:
        worker = _make_worker()
        former = await _poll(worker)
        await _poll(worker, deadlineMs=former["clockMs"] + 2000)
        cloud.restart(worker, clock_origin_s=origin_s)
        assert _remaining_s(worker) <= 0.0
        reply = await _poll(worker)
        assert 0 <= reply["clockMs"] - origin_s * 1000 < 1000
        assert reply["born"] > former["born"]

    asyncio.run(main())


@pytest.mark.parametrize(
    ("requested_s", "least_s", "most_s"),
    [
        pytest.param(2.0, 1.5, 2.0, id="shorter"),
        pytest.param(1e6, 3.5, 4.0, id="longer-than-the-longest"),
    ],
)
def test_a_lease_is_cut_to_the_longest_one(
    requested_s: float, least_s: float, most_s: float
) -> None:
    """Guards against stand-ins that grant any lease, or shorten one."""

    async def main() -> None:
        worker = _make_worker(longest_lease_s=4.0)
        clock_ms = (await _poll(worker))["clockMs"]
        await _poll(worker, deadlineMs=clock_ms + int(requested_s * 1000))
        await _poll(worker, deadlineMs=clock_ms + 10)
        assert least_s <= _remaining_s(worker) <= most_s

    asyncio.run(main())


async def _wait_for_late_calls(worker: cloud.Worker) -> None:
    await asyncio.gather(*worker.late_calls)


async def _restart_at_once(worker: cloud.Worker) -> None:
    cloud.restart(worker)


async def _leave(worker: cloud.Worker) -> None:
    """Let nothing happen before the late call."""


async def _crash(worker: cloud.Worker) -> None:
    cloud.crash(worker)


async def _see_new_owner(worker: cloud.Worker) -> None:
    worker.late_rng = None
    cloud.restart(worker)
    await _poll(worker, fence=2)


@pytest.mark.parametrize(
    ("meanwhile", "starts"),
    [
        pytest.param(_leave, 1, id="same-incarnation"),
        pytest.param(_restart_at_once, 1, id="later-incarnation"),
        pytest.param(_crash, 0, id="no-incarnation"),
        pytest.param(_see_new_owner, 0, id="lower-fence"),
    ],
)
def test_a_late_call_is_executed_without_an_answer(
    meanwhile: collections.abc.Callable[
        [cloud.Worker], collections.abc.Awaitable[None]
    ],
    starts: int,
) -> None:
    """Guards against stand-ins that execute calls at once or not at all."""

    async def main() -> None:
        worker = _make_worker(run_s=5.0)
        clock_ms = (await _poll(worker))["clockMs"]
        worker.late_share = 1.0
        worker.late_delay_s = (0.05, 0.1)
        worker.late_rng = random.Random(1)
        answer = await _start(worker, deadline_ms=clock_ms + 2000)
        assert answer is None and not worker.starts
        await meanwhile(worker)
        await _wait_for_late_calls(worker)
        assert worker.starts == [(TASK, 1)] * starts

    asyncio.run(main())


@pytest.mark.parametrize(
    ("validity_s", "restarts", "reason"),
    [
        pytest.param(2.0, False, "", id="valid"),
        pytest.param(0.0, False, "ticket", id="expired"),
        pytest.param(2.0, True, "ticket", id="of-a-former-incarnation"),
    ],
)
def test_a_ticket_is_valid_for_a_time_in_one_incarnation(
    validity_s: float, restarts: bool, reason: str
) -> None:
    """Guards against stand-ins that accept starts which workers reject."""

    async def main() -> None:
        worker = _make_worker()
        ticket = _worker.issue_ticket(worker, validity_s=validity_s)
        if restarts:
            cloud.restart(worker)
        status, reply = await _start(worker, deadline_ms=10**9, ticket=ticket)
        assert (status, reply.get("reason", "")) == (
            409 if reason else 200,
            reason,
        )

    asyncio.run(main())


@pytest.mark.parametrize(
    ("deadline_ms", "ticket", "ended_run", "reason", "extended"),
    [
        pytest.param(10**9, "", 0, "", True, id="accepted"),
        pytest.param(10**9, "", 1, "old", True, id="old"),
        pytest.param(10**9, "checked-x", 0, "ticket", False, id="ticket"),
        pytest.param(-1, "", 0, "late", False, id="late"),
    ],
)
def test_a_start_extends_the_lease_if_accepted_or_old(
    deadline_ms: int, ticket: str, ended_run: int, reason: str, extended: bool
) -> None:
    """Guards against stand-ins whose leases are longer than the platform's."""

    async def main() -> None:
        worker = _make_worker(highest_ended_runs={TASK: ended_run})
        _, reply = await _start(worker, deadline_ms=deadline_ms, ticket=ticket)
        assert reply.get("reason", "") == reason
        assert (worker.lease_expires_s > 0.0) == extended

    asyncio.run(main())


def test_executed_calls_are_described() -> None:
    """Guards against traces that lack what a call carried."""

    async def main() -> None:
        calls: list[dict[str, object]] = []
        worker = _make_worker(on_call=calls.append, longest_lease_s=4.0)
        await _start(worker, deadline_ms=10**9, run=2)
        await _poll(worker, seen=3)
        cloud.restart(worker)
        await _start(worker, deadline_ms=-1)
        start, poll, late = calls
        assert (start["task"], start["run"], start["status"]) == (TASK, 2, 200)
        assert start["deadline_ms"] == 10**9
        assert start["lease_before_ms"] == 0
        assert 3500 <= start["lease_ms"] - start["clock_ms"] <= 4100
        assert (poll["path"], poll["seen"]) == ("/v1/hold", 3)
        assert poll["deadline_ms"] is None
        assert poll["running"] == [[TASK, 2]]
        assert late["incarnation"] > start["incarnation"]
        assert (late["status"], late["reason"]) == (409, "late")

    asyncio.run(main())


def test_the_advisor_issues_tickets_that_its_workers_check() -> None:
    """Guards against soaks in which any ticket is valid for ever."""

    async def main() -> None:
        worker = _make_worker()
        advisor = cloud.Advisor(workers=[worker], refused={"i-1"})
        _, reply = await cloud.handle_advisor_request(
            advisor, None, {"workers": ["i-0", "i-1", "i-2"]}
        )
        tickets = dict(reply["good"])
        assert set(tickets) == {"i-0", "i-2"}
        assert set(worker.tickets) == {tickets["i-0"]}

    asyncio.run(main())


def test_the_share_of_late_calls_follows_the_seed() -> None:
    """Guards against late calls that a seed does not repeat."""

    async def count(seed: int) -> int:
        worker = _make_worker(
            late_share=0.3,
            late_delay_s=(0.0, 0.0),
            late_rng=random.Random(seed),
        )
        answers = [
            await _call(worker, "/v1/hold", seenUpto=0) for _ in range(200)
        ]
        await _wait_for_late_calls(worker)
        return answers.count(None)

    late = [asyncio.run(count(seed)) for seed in (1, 1, 2)]
    assert late[0] == late[1] != late[2]
    assert all(40 <= each <= 80 for each in late)


def test_a_waiting_poll_ends_with_its_incarnation() -> None:
    """Guards against polls that another incarnation answers at once."""

    async def main() -> None:
        worker = _make_worker()
        waiting = asyncio.ensure_future(
            _call(worker, "/v1/hold", seenUpto=0, waitMs=100)
        )
        await asyncio.sleep(0.02)
        cloud.restart(worker)
        assert await waiting is None

    asyncio.run(main())
