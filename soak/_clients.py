"""Callers that submit, ask for and cancel jobs."""

import asyncio
import json
import random
import time

import attrs
from tornado import httpclient

from soak import _checks
from standins import node_cell

# Callers wait this long for an answer, and say so.
DEADLINE_S = 3.0
# Limit of a call, beyond which it counts as left without an answer.
ANSWER_LIMIT_S = 8.0

RETRY_PAUSE_S = 0.3
POLL_PAUSE_S = 0.4

CANCEL_SHARE = 0.15
MAX_STEPS = 3
MAX_COUNT = 5
CPU_CHOICES = (500, 1500, 4000)


@attrs.define(kw_only=True)
class Callers:
    """What the callers of a run share.

    Attributes
    ----------
    ledger : Ledger
        What they have seen.
    nodes : list of Node
        The daemons.
    rng : Random
        Source of all choices.
    calm : asyncio.Event
        Set once no fault comes any more.
    """

    ledger: _checks.Ledger
    nodes: list[node_cell.Node]
    rng: random.Random
    calm: asyncio.Event = attrs.field(factory=asyncio.Event)


async def _call(
    callers: Callers, job_id: str, *, method: str, body: bytes | None = None
) -> tuple[int, dict[str, object]]:
    """Call a random daemon; return 599 if there was no whole answer."""
    node = callers.rng.choice(callers.nodes)
    began = time.monotonic()
    try:
        response = await httpclient.AsyncHTTPClient().fetch(
            httpclient.HTTPRequest(
                node_cell.url(node, job_id),
                method=method,
                body=body,
                headers={
                    "Host": node_cell.HOST,
                    "Deadline-Ms": str(int(DEADLINE_S * 1000)),
                },
                request_timeout=ANSWER_LIMIT_S,
                allow_nonstandard_methods=True,
            ),
            raise_error=False,
        )
    except (OSError, httpclient.HTTPError):
        return 599, {}
    waited_s = time.monotonic() - began
    if callers.calm.is_set() and waited_s > DEADLINE_S:
        _checks.break_promise(
            callers.ledger,
            f"{method} {job_id} at {node.name} took {waited_s:.1f} s",
        )
    if response.code == 599:
        return 599, {}
    return response.code, json.loads(response.body or b"{}")


def _make_body(rng: random.Random, job_id: str) -> dict[str, object]:
    steps = []
    for number in range(rng.randint(1, MAX_STEPS)):
        steps.append(
            {
                "count": rng.randint(1, MAX_COUNT),
                "cpu": rng.choice(CPU_CHOICES),
                "memMb": 50,
                "estRuntimeMs": 300,
                "after": [number - 1] if number else [],
            }
        )
    return {"spec": f"spec of {job_id}", "steps": steps}


async def run_job(callers: Callers, job_id: str) -> None:
    """Submit a job, follow it to its end, and cancel some."""
    rng, ledger = callers.rng, callers.ledger
    job = _checks.Job(id=job_id, body=_make_body(rng, job_id))
    ledger.jobs[job_id] = job
    if not await _submit(callers, job):
        return
    cancels = rng.random() < CANCEL_SHARE
    while job.state not in _checks.TERMINAL:
        await asyncio.sleep(POLL_PAUSE_S)
        if cancels and not job.cancelled_at:
            status, _ = await _call(callers, job_id, method="DELETE")
            if status == 200:
                job.cancelled_at = time.monotonic()
            continue
        status, document = await _call(callers, job_id, method="GET")
        _checks.note_state(ledger, job, status, document.get("state", ""))


async def _submit(callers: Callers, job: _checks.Job) -> bool:
    body = json.dumps(job.body).encode()
    refusals_only = True
    while True:
        status, _ = await _call(callers, job.id, method="POST", body=body)
        if status == 200:
            job.accepted_at = time.monotonic()
            return True
        if status not in (429, 503, 404):
            refusals_only = False
        elif refusals_only and callers.rng.random() < 0.3:
            # The caller gives up; what was refused must never run.
            job.refused = True
            return False
        await asyncio.sleep(RETRY_PAUSE_S)
