"""Commits of an owner's decisions, with many jobs in one transaction."""

import asyncio
import collections.abc

import attrs

from chestnuttide import errors
from chestnuttide.node import _clock
from chestnuttide.node import _fencing
from chestnuttide.node import _keys
from chestnuttide.node import _ownership
from chestnuttide.node import _send_window
from chestnuttide.node import _set_aside
from chestnuttide.node import _starts
from chestnuttide import platform
from chestnuttide import telemetry
from chestnuttide import workloads

LOG = telemetry.make_logger("commit")

# Changes made within this delay share a transaction. No caller waits for the
# completion of a single task, so completions are batched for longer than
# starts. While the store is slow, the delay is a multiple of its latency,
# because a job's next start waits for the commit in progress anyway.
URGENT_DELAY_S = 0.002
DELAY_S = 0.02
SLOW_COMMIT_S = 0.05
SLOW_DELAY_COMMITS = 2.0
MAX_DELAY_S = 0.6

# Pause after a failure, doubled with each further one.
RETRY_MINIMUM_S = 0.05
RETRY_MAXIMUM_S = 0.5

# Concurrent commit rounds. A round takes one round trip to the store.
MAX_COMMIT_ROUNDS = 32

# A live job takes one precondition and one put, an ended job one put and one
# removal. One further entry of a transaction checks the owner's key.
_ENTRIES_PER_JOB = 2

# A removed key takes one removal and at most one precondition.
_ENTRIES_PER_KEY = 2

# Bytes of the records in a transaction, unless a single job has more. A link
# of 5 Mbit/s sends them in 64 ms, a tenth of the store's timeout. Values are
# sent as base64, and each job has two entries with its keys.
MAX_CHUNK_BYTES = 40_000
_BASE64_RATIO = 4 / 3
_KEY_BYTES = 200


@attrs.frozen(kw_only=True, slots=True, eq=False)
class _Batch:
    """A transaction and the changes that it stores.

    Attributes
    ----------
    transaction : Transaction
        The transaction.
    jobs : tuple of (Job, JobState, int)
        Its jobs, each with the state and the change number that it stores.
    planned : tuple of Run
        Runs that may be started once it is stored.
    """

    transaction: platform.Transaction
    jobs: tuple[tuple[workloads.Job, workloads.JobState, int], ...]
    planned: tuple[workloads.Run, ...]


async def commit_loop(owner: _ownership.Ownership) -> None:
    """Store changed records until the ownership ends.

    Rounds overlap, so that a slow store delays each change by one round trip
    and not by those of the changes before it.
    """
    while not owner.deposed.is_set():
        await owner.commit_requested.wait()
        await _collect_changes(owner)
        owner.commit_requested.clear()
        owner.commit_urgent = False
        while len(owner.commit_rounds) >= MAX_COMMIT_ROUNDS:
            await asyncio.wait(
                owner.commit_rounds, return_when=asyncio.FIRST_COMPLETED
            )
        task = asyncio.ensure_future(_commit_round(owner))
        owner.commit_rounds.add(task)
        task.add_done_callback(owner.commit_rounds.discard)


async def _collect_changes(owner: _ownership.Ownership) -> None:
    """Wait for further changes to batch, unless a commit is urgent."""
    delay_s = DELAY_S
    if owner.store_latency_s > SLOW_COMMIT_S:
        delay_s = min(MAX_DELAY_S, SLOW_DELAY_COMMITS * owner.store_latency_s)
    until = _clock.now() + delay_s
    while not owner.commit_urgent and _clock.now() < until:
        await asyncio.sleep(DELAY_S)
    await asyncio.sleep(URGENT_DELAY_S)


async def commit_all(owner: _ownership.Ownership) -> None:
    """Wait for the rounds in progress, then store all changed records."""
    if owner.commit_rounds:
        await asyncio.wait(owner.commit_rounds)
    await _commit_round(owner)


async def _commit_round(owner: _ownership.Ownership) -> None:
    """Store the records that are dirty now.

    A live job with a commit in progress waits for a later round. A job that
    has ended never waits.
    """
    dirty = [
        job
        for job in owner.pool.jobs.values()
        if job.dirty
        and (_has_ended(job) or job.spec.id not in owner.jobs_in_commit)
        and not _set_aside.is_set_aside(
            owner.set_aside, _set_aside.Kind.JOB, job.spec.id
        )
    ]
    live = [job for job in dirty if not _has_ended(job)]
    ended = [job for job in dirty if _has_ended(job)]
    # Starts wait for the records of planned runs.
    live.sort(key=lambda job: not _has_planned_runs(job))
    for job in dirty:
        job.dirty = False
    owner.jobs_in_commit.update(job.spec.id for job in live)
    await asyncio.gather(
        *(_commit_jobs(owner, jobs, ended=False) for jobs in _chunks(live)),
        *(_commit_jobs(owner, jobs, ended=True) for jobs in _chunks(ended)),
    )
    if owner.obsolete_keys and not owner.deposed.is_set():
        await _remove_old_records(owner)


def _has_ended(job: workloads.Job) -> bool:
    return job.state in workloads.TERMINAL_STATES


def _has_planned_runs(job: workloads.Job) -> bool:
    return any(
        run.phase == workloads.Phase.PLANNED
        for unit in job.units.values()
        for run in unit.runs
    )


def _estimate_bytes(job: workloads.Job) -> int:
    """Return roughly what a job adds to the body of a transaction."""
    if _has_ended(job):
        return 2 * _KEY_BYTES
    try:
        record = workloads.estimate_progress_bytes(job)
    except Exception:
        # The job is stored alone, and set aside if that fails, too.
        return MAX_CHUNK_BYTES
    return _KEY_BYTES + int(record * _BASE64_RATIO)


def _chunks(
    jobs: list[workloads.Job],
) -> collections.abc.Iterator[list[workloads.Job]]:
    """Yield the jobs in groups that fit into one transaction."""
    most = (platform.MAX_TRANSACTION_ENTRIES - 1) // _ENTRIES_PER_JOB
    chunk: list[workloads.Job] = []
    chunk_bytes = 0
    for job in jobs:
        size = _estimate_bytes(job)
        if chunk and (
            len(chunk) == most or chunk_bytes + size > MAX_CHUNK_BYTES
        ):
            yield chunk
            chunk, chunk_bytes = [], 0
        chunk.append(job)
        chunk_bytes += size
    if chunk:
        yield chunk


async def _commit_jobs(
    owner: _ownership.Ownership, jobs: list[workloads.Job], *, ended: bool
) -> None:
    """Store a group of jobs that are all live or all ended.

    A live job may end before this coroutine runs, so `ended` tells which of
    the two the jobs were when the group was formed.
    """
    try:
        await _commit_until_stored(owner, jobs, ended=ended)
    except Exception as error:
        if isinstance(error, platform.TransactionRejectedError):
            owner.metrics.retries.inc({"reason": "store_rejected"})
        if len(jobs) == 1:
            jobs[0].dirty = True
            _ownership.set_job_aside(owner, jobs[0], error)
        else:
            # Stored one by one, the job at fault costs no other.
            for job in jobs:
                await _commit_jobs(owner, [job], ended=ended)
    finally:
        if not ended:
            owner.jobs_in_commit.difference_update(job.spec.id for job in jobs)
        if any(job.dirty for job in jobs):
            owner.commit_requested.set()


async def _commit_until_stored(
    owner: _ownership.Ownership, jobs: list[workloads.Job], *, ended: bool
) -> None:
    """Store jobs, again after each failure.

    Nothing counts as in flight during the pause, so that transactions that
    fail hold up no others.
    """
    windows = owner.commit_windows
    window = windows.ended if ended else windows.live
    pause_s = RETRY_MINIMUM_S
    while not owner.deposed.is_set():
        size = sum(map(_estimate_bytes, jobs))
        urgent = ended or any(map(_has_planned_runs, jobs))
        try:
            async with _send_window.hold(window, size, urgent=urgent):
                # A job that has ended since is stored by another transaction.
                jobs = [job for job in jobs if _has_ended(job) == ended]
                if not jobs or owner.deposed.is_set():
                    return
                await _commit_once(owner, jobs)
        except platform.ConditionError as error:
            if not _adopt_revisions(owner, jobs, error.items):
                return
        except platform.TransactionRejectedError:
            raise
        except errors.SchedulerError as error:
            if pause_s == RETRY_MINIMUM_S:
                LOG.warning(
                    "Commit failed; trying again.",
                    service=owner.service,
                    jobs=len(jobs),
                    error=str(error),
                )
                owner.metrics.retries.inc({"reason": "store_error"})
            await asyncio.sleep(pause_s)
            pause_s = min(RETRY_MAXIMUM_S, 2 * pause_s)
        else:
            if pause_s > RETRY_MINIMUM_S:
                LOG.info("Commits succeed again.", service=owner.service)
            return


async def _commit_once(
    owner: _ownership.Ownership, jobs: list[workloads.Job]
) -> None:
    batch = make_batch(owner, jobs)
    sent_at = _clock.now()
    revision = await platform.commit(
        owner.store,
        batch.transaction,
        may_send=lambda: not owner.deposed.is_set(),
    )
    owner.confirmed_at = max(owner.confirmed_at, sent_at)
    owner.store_latency_s = _clock.now() - sent_at
    _fencing.record_transaction(owner, revision)
    apply_batch(owner, batch, revision)


def make_batch(
    owner: _ownership.Ownership, jobs: list[workloads.Job]
) -> _Batch:
    """Return the transaction that stores the jobs' current state."""
    expect = {_keys.owner(owner.service): owner.fencing_token}
    put: dict[str, bytes] = {}
    remove: list[str] = []
    planned: list[workloads.Run] = []
    for job in jobs:
        progress = _keys.progress(owner.service, job.spec.id)
        if _has_ended(job):
            put[_keys.job(owner.service, job.spec.id)] = (
                workloads.encode_ended_job(job)
            )
            remove.append(progress)
        else:
            # An unanswered transaction may take effect seconds later. The
            # expected revision keeps it from replacing a newer record. A
            # job's first record may still appear after the job has ended; a
            # takeover ignores progress records of ended jobs.
            expect[progress] = job.progress_revision
            put[progress] = workloads.encode_progress(job)
            planned.extend(
                run
                for unit in job.units.values()
                for run in unit.runs
                if run.phase == workloads.Phase.PLANNED
            )
    return _Batch(
        transaction=platform.Transaction(
            expect=expect, put=put, remove=tuple(remove)
        ),
        jobs=tuple((job, job.state, job.change) for job in jobs),
        planned=tuple(planned),
    )


def _adopt_revisions(
    owner: _ownership.Ownership,
    jobs: list[workloads.Job],
    items: tuple[platform.Item, ...],
) -> bool:
    """Adopt the stored revisions after the answer to a commit was lost.

    Returns
    -------
    bool
        False if this instance is no longer the owner.
    """
    revisions = {item.key: item.revision for item in items}
    if revisions.get(_keys.owner(owner.service)) != owner.fencing_token:
        LOG.warning(
            "Deposed: a commit found another owner.",
            service=owner.service,
            fence=owner.fencing_token,
        )
        owner.deposed.set()
        return False
    for job in jobs:
        key = _keys.progress(owner.service, job.spec.id)
        job.progress_revision = revisions.get(key, 0)
    owner.metrics.retries.inc({"reason": "store_answer_lost"})
    return True


def apply_batch(
    owner: _ownership.Ownership, batch: _Batch, revision: int
) -> None:
    """Publish the states that a transaction stored and start its runs."""
    for job, state, change in batch.jobs:
        job.stored_change = max(job.stored_change, change)
        ended = state in workloads.TERMINAL_STATES
        if job.shown_state in workloads.TERMINAL_STATES and not ended:
            # Stored after the job ended, and no longer needed.
            key = _keys.progress(owner.service, job.spec.id)
            owner.obsolete_keys[key] = revision
            continue
        job.progress_revision = 0 if ended else revision
        if ended and job.shown_state != state:
            queue = job.spec.queue.name
            LOG.info(
                "Job has ended.",
                job=job.spec.id,
                state=str(state),
                revision=revision,
                age_s=round(_clock.now() - job.accepted_at, 3),
            )
            owner.metrics.job_seconds.observe(
                {"queue": queue, "state": str(state)},
                _clock.now() - job.accepted_at,
            )
        job.shown_state = state
    for run in batch.planned:
        run.recorded = True
    for job, _, _ in batch.jobs:
        _starts.start_recorded_runs(owner, job)
    for worker in owner.pool.workers.values():
        workloads.update_stored_completion(worker)
    owner.committed.set()
    owner.committed = asyncio.Event()


async def _remove_old_records(owner: _ownership.Ownership) -> None:
    """Remove records that nobody needs, as many as one transaction takes.

    A record that was replaced belongs to a job of the same id and stays.
    """
    expect = {_keys.owner(owner.service): owner.fencing_token}
    removed: dict[str, int] = {}
    for key, revision in owner.obsolete_keys.items():
        entries = len(expect) + len(removed)
        if entries + _ENTRIES_PER_KEY > platform.MAX_TRANSACTION_ENTRIES:
            break
        removed[key] = revision
        if revision:
            expect[key] = revision
    for key in removed:
        del owner.obsolete_keys[key]
    try:
        await platform.commit(
            owner.store,
            platform.Transaction(expect=expect, remove=tuple(removed)),
        )
    except platform.ConditionError as error:
        stored = {item.key: item.revision for item in error.items}
        owner.obsolete_keys.update(
            (key, revision)
            for key, revision in removed.items()
            if not revision or stored.get(key) == revision
        )
    except errors.SchedulerError as error:
        # The next owner finds them again.
        LOG.info("Old jobs were not removed.", error=str(error))
