"""Handles job calls and status queries that arrive for a pool."""

import json
import time

from chestnuttide import errors
from chestnuttide import jobs
from chestnuttide import mesh
from chestnuttide import model
from chestnuttide import placement
from chestnuttide.scheduler import _pool_state
from chestnuttide.scheduler import _requests
from chestnuttide import telemetry

HTTP_ACCEPTED = 202
HTTP_OK = 200

LOG = telemetry.make_logger("pool")

# Identifies the call that a reply belongs to: connection and call id.
Token = tuple[mesh.Connection, int]


def handle_message(
    shard: _pool_state.PoolShard, connection: mesh.Connection, message: object
) -> None:
    """Handle a mesh message that submits, cancels or reads jobs."""
    match message:
        case mesh.JobSubmit():
            token = (connection, message.call_id)
            job = _to_job(message)
            known = jobs.read_job(shard.pool, job.job_id, time.monotonic())
            if message.resend and known is not None and known.job == job:
                reply(token, HTTP_ACCEPTED, _describe_job(known))
                return
            shard.feed(jobs.SubmitJob(token=token, job=job))
        case mesh.JobCancel():
            token = (connection, message.call_id)
            shard.feed(jobs.CancelJob(token=token, job_id=message.job_id))
        case mesh.JobRead():
            _reply_to_read(shard, connection, message)
        case _:
            LOG.warning("unexpected message %s", type(message).__name__)


def _to_job(message: mesh.JobSubmit) -> model.Job:
    return model.Job(
        job_id=message.job_id,
        kind=model.JobKind(message.kind),
        team=message.team,
        workload_class=message.workload_class,
        tasks=message.tasks,
        resources=model.Resources(
            cpu_millis=message.cpu_millis,
            memory_mb=message.memory_mb,
            accelerators=message.accelerators,
        ),
        urgent=message.urgent,
        declared_run_s=message.declared_run_s,
        wait_limit_s=message.wait_limit_s,
        payload=message.payload,
    )


def reply(token: Token, status: int, document: object) -> None:
    """Reply to a call with a JSON document."""
    connection, call_id = token
    mesh.send_if_possible(
        connection,
        mesh.Reply(
            call_id=call_id,
            status=status,
            reason="",
            body=json.dumps(document).encode(),
        ),
    )


def refuse(
    shard: _pool_state.PoolShard, token: Token, error: errors.RefusedError
) -> None:
    """Reply to a call with an error, and count the refusal."""
    telemetry.count_refusal(shard.daemon.metrics, error.reason)
    connection, call_id = token
    mesh.send_if_possible(
        connection, _requests.make_refusal_reply(call_id, error)
    )


def _reply_to_read(
    shard: _pool_state.PoolShard,
    connection: mesh.Connection,
    message: mesh.JobRead,
) -> None:
    token = (connection, message.call_id)
    if not message.job_id:
        found = jobs.list_jobs(
            shard.pool,
            time.monotonic(),
            team=message.team,
            after=message.after,
        )
        documents = [_describe_job(each) for each in found]
        reply(token, HTTP_OK, {"jobs": documents})
        return
    view = jobs.read_job(shard.pool, message.job_id, time.monotonic())
    if view is None:
        refuse(
            shard,
            token,
            errors.RefusedError(
                reason=errors.Reason.UNKNOWN_JOB,
                message=f"There is no job {message.job_id}.",
                remedy="Check the id; ended jobs are kept for a time only.",
            ),
        )
        return
    reply(token, HTTP_OK, _describe_job(view))


def _describe_job(view: jobs.JobView) -> dict[str, object]:
    """Return the JSON document that callers get for a job."""
    job = view.job
    return {
        "id": job.job_id,
        "kind": job.kind.value,
        "team": job.team,
        "workload_class": job.workload_class,
        "urgent": job.urgent,
        "state": view.state.value,
        "reason": view.reason,
        "tasks": job.tasks,
        "tasks_waiting": view.waiting,
        "tasks_running": view.running,
        "tasks_succeeded": view.done,
        "waited_s": round(view.waited_s, 3),
        "workers": view.workers,
    }


def describe(shard: _pool_state.PoolShard) -> dict[str, list[object]]:
    """Return the pool's rows of the status document, by table."""
    view = jobs.read_pool(shard.pool)
    cell = shard.pool.cell
    workers = []
    for worker_id in placement.worker_ids(cell):
        instance = shard.pool.workers[worker_id].instance
        capacity = instance.capacity
        reserved = model.subtract(capacity, placement.free_of(cell, worker_id))
        workers.append(
            {
                "worker_id": worker_id,
                "state": instance.state.value,
                "ejected": placement.is_ejected(cell, worker_id),
                "cpu_millis": capacity.cpu_millis,
                "cpu_millis_reserved": reserved.cpu_millis,
                "memory_mb": capacity.memory_mb,
                "memory_mb_reserved": reserved.memory_mb,
                "accelerators": capacity.accelerators,
                "accelerators_reserved": reserved.accelerators,
            }
        )
    return {
        "workers": workers,
        "queues": [
            {
                "shard": shard.name,
                "waiting": view.waiting_tasks,
                "running": view.live_attempts,
            }
        ],
    }
