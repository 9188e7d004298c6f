"""Journal events of a pool shard.

An event is a CBOR array ``[tag, at, fields...]``. `at` is the reading of the
owner's monotonic clock in seconds, from which the waiting times of jobs are
computed.
"""

import cbor2

from chestnuttide import model

ACCEPTED = "a"
CANCELLED = "c"
TASK_ENDED = "t"
JOB_ENDED = "j"
JOB_STARTED = "s"
OWNER = "o"


def encode_job(job: model.Job) -> list[object]:
    """Return the fields of a job as plain values."""
    need = job.resources
    return [
        job.job_id,
        job.kind.value,
        job.team,
        job.workload_class,
        job.tasks,
        [need.cpu_millis, need.memory_mb, need.accelerators],
        job.urgent,
        job.declared_run_s,
        job.wait_limit_s,
        job.payload,
    ]


def decode_job(fields: list) -> model.Job:
    """Return the job that `encode_job` encoded."""
    cpu_millis, memory_mb, accelerators = fields[5]
    return model.Job(
        job_id=fields[0],
        kind=model.JobKind(fields[1]),
        team=fields[2],
        workload_class=fields[3],
        tasks=fields[4],
        resources=model.Resources(
            cpu_millis=cpu_millis,
            memory_mb=memory_mb,
            accelerators=accelerators,
        ),
        urgent=fields[6],
        declared_run_s=fields[7],
        wait_limit_s=fields[8],
        payload=fields[9],
    )


def accepted(job: model.Job, now: float) -> bytes:
    """Return the event of a job's acceptance."""
    return cbor2.dumps([ACCEPTED, now, encode_job(job)])


def cancelled(job_id: str, now: float) -> bytes:
    """Return the event of a job's cancellation."""
    return cbor2.dumps([CANCELLED, now, job_id])


def task_ended(
    report: model.AttemptReport, worker_id: str, now: float
) -> bytes:
    """Return the event of an attempt's completion."""
    attempt = report.attempt
    return cbor2.dumps(
        [
            TASK_ENDED,
            now,
            attempt.job_id,
            attempt.index,
            attempt.number,
            report.state.value,
            worker_id,
        ]
    )


def job_ended(
    job_id: str, state: model.JobState, reason: str, now: float
) -> bytes:
    """Return the event of a job's end."""
    return cbor2.dumps([JOB_ENDED, now, job_id, state.value, reason])


def job_started(job_id: str, now: float) -> bytes:
    """Return the event of the first start of a job with a wait limit."""
    return cbor2.dumps([JOB_STARTED, now, job_id])


def owner(generation: int, now: float) -> bytes:
    """Return the event of a takeover."""
    return cbor2.dumps([OWNER, now, generation])


def decode(event: bytes) -> list:
    """Decode an event to its array."""
    return cbor2.loads(event)
