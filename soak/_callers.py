"""Callers that submit, query and cancel jobs."""

import asyncio
import json
import random
import time

import attrs
from tornado import httpclient

from soak import _checks
from soak import _keys
from standins import node_cell

# Deadline that callers send with each request.
DEADLINE_S = 3.0
# Client timeout, after which a request counts as unanswered.
RESPONSE_TIMEOUT_S = 8.0

RETRY_PAUSE_S = 0.3
POLL_PAUSE_S = 0.4

CANCEL_SHARE = 0.15
# Share of the jobs with a task that crashes each worker that starts it.
DEADLY_SHARE = 0.04
MAX_STEPS = 3
MAX_TASKS_PER_STEP = 5
CPU_MILLIS_CHOICES = (500, 1500, 4000)


@attrs.define(kw_only=True)
class Callers:
    """State shared by the callers of a run.

    Attributes
    ----------
    ledger : Ledger
        Record of what callers and workers observe.
    nodes : list of Node
        Daemons that receive the requests.
    rng : Random
        Source of all random choices.
    faults_ended : asyncio.Event
        Set once fault injection is over and responses must be on time.
    """

    ledger: _checks.Ledger
    nodes: list[node_cell.Node]
    rng: random.Random
    faults_ended: asyncio.Event = attrs.field(factory=asyncio.Event)


async def _call(
    callers: Callers, job_id: str, *, method: str, body: bytes | None = None
) -> tuple[int, dict[str, object]]:
    """Call a random daemon; return 599 without a complete response."""
    node = callers.rng.choice(callers.nodes)
    started_at_s = time.monotonic()
    try:
        response = await httpclient.AsyncHTTPClient().fetch(
            httpclient.HTTPRequest(
                node_cell.url(node, job_id),
                method=method,
                body=body,
                headers={
                    "Host": node_cell.HOST,
                    "X-Api-Key": _keys.key_of(job_id),
                    "Deadline-Ms": str(int(DEADLINE_S * 1000)),
                },
                request_timeout=RESPONSE_TIMEOUT_S,
                allow_nonstandard_methods=True,
            ),
            raise_error=False,
        )
    except (OSError, httpclient.HTTPError):
        return 599, {}
    waited_s = time.monotonic() - started_at_s
    if callers.faults_ended.is_set() and waited_s > DEADLINE_S:
        _checks.record_violation(
            callers.ledger,
            f"{method} {job_id} at {node.name} took {waited_s:.1f} s",
        )
    if response.code == 599:
        return 599, {}
    if response.code in (401, 403):
        _checks.record_violation(
            callers.ledger,
            f"{method} {job_id} at {node.name}: key in force is refused",
        )
    return response.code, json.loads(response.body or b"{}")


def _make_body(rng: random.Random, job_id: str) -> dict[str, object]:
    steps = []
    for number in range(rng.randint(1, MAX_STEPS)):
        steps.append(
            {
                "count": rng.randint(1, MAX_TASKS_PER_STEP),
                "cpu": rng.choice(CPU_MILLIS_CHOICES),
                "memMb": 50,
                "estRuntimeMs": 300,
                "after": [number - 1] if number else [],
            }
        )
    return {"spec": f"spec of {job_id}", "steps": steps}


async def run_job(callers: Callers, job_id: str) -> None:
    """Submit a job and poll it until it ends; cancel a share of the jobs."""
    rng, ledger = callers.rng, callers.ledger
    job = _checks.Job(id=job_id, body=_make_body(rng, job_id))
    ledger.jobs[job_id] = job
    if rng.random() < DEADLY_SHARE:
        index = rng.randrange(job.body["steps"][0]["count"])
        ledger.deadly_starts[f"{job_id}.0.0.{index}"] = 0
    if not await _submit(callers, job):
        return
    will_cancel = rng.random() < CANCEL_SHARE
    while job.state not in _checks.TERMINAL:
        await asyncio.sleep(POLL_PAUSE_S)
        if will_cancel and not job.cancelled_at:
            status, _ = await _call(callers, job_id, method="DELETE")
            if status == 200:
                job.cancelled_at = time.monotonic()
            continue
        status, document = await _call(callers, job_id, method="GET")
        _checks.update_state(ledger, job, status, document.get("state", ""))


async def _submit(callers: Callers, job: _checks.Job) -> bool:
    body = json.dumps(job.body).encode()
    all_refused = True
    while True:
        status, _ = await _call(callers, job.id, method="POST", body=body)
        if status == 200:
            job.accepted_at = time.monotonic()
            return True
        if status not in (429, 503, 404):
            all_refused = False
        elif all_refused and callers.rng.random() < 0.3:
            # The caller gives up. A job whose every attempt was refused must
            # never run.
            job.refused = True
            return False
        await asyncio.sleep(RETRY_PAUSE_S)
