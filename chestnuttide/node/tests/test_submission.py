"""Submissions while the store is unresponsive."""

import asyncio
import functools
import time

import pytest

from chestnuttide.node import _clock
from chestnuttide.node import _messages
from chestnuttide.node import _metrics
from chestnuttide.node import _responses
from chestnuttide.node import _submission
from chestnuttide.node.tests import _session_fixtures
from standins import cloud

STORE_TIMEOUT_S = 0.7


@pytest.mark.parametrize(
    ("stops_in_s", "limit_s"),
    [
        pytest.param(0.3, 0.6, id="stopping"),
        pytest.param(1000.0, 1.6, id="callers-deadline"),
    ],
)
def test_a_submission_is_answered_in_time(
    stops_in_s: float, limit_s: float
) -> None:
    """Guards against a shutdown that closes connections without a response.

    In a soak (mix --seed 645617155796 of gnomon-coop), a submission that
    arrived 4.4 s after SIGTERM waited for the store until the process ended.
    """

    async def main() -> float:
        store, metrics = (
            cloud.Store(refusal_status=-1),
            _metrics.make_metrics(),
        )
        address, server = cloud.serve(
            functools.partial(cloud.handle_store_request, store)
        )
        session = _session_fixtures.make_session(
            address,
            timeout_s=STORE_TIMEOUT_S,
            count=_metrics.store_counter(metrics),
        )
        context = _responses.ApiContext(
            session=session,
            owned={},
            metrics=metrics,
            response_deadline=_clock.now() + stops_in_s,
        )
        write = _messages.JobWrite(
            call_id=0,
            absent_keys=("k",),
            key="k",
            value=b"",
            service="s",
            queue="q",
        )
        started_at = time.monotonic()
        outcome = await _submission.store_job(context, write, 2.0)
        taken_s = time.monotonic() - started_at
        # The abandoned transfer ends by its own timeout.
        await asyncio.sleep(STORE_TIMEOUT_S)
        server.stop()
        assert outcome == "unknown"
        return taken_s

    assert asyncio.run(main()) < limit_s
