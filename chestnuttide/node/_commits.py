"""Storing of what an owner has decided, many jobs in one transaction."""

import asyncio

import attrs

from chestnuttide import errors
from chestnuttide.node import _clock
from chestnuttide.node import _keys
from chestnuttide.node import _ownership
from chestnuttide.node import _worker_calls
from chestnuttide import platform
from chestnuttide import telemetry
from chestnuttide import workloads

LOG = telemetry.make_logger("commit")

# Changes of this time share a transaction. Nobody waits for the end of a
# single task, so ends are gathered for longer than starts.
URGENT_DELAY_S = 0.002
DELAY_S = 0.02

RETRY_PAUSE_S = 0.05

# Rounds under way at once. A round takes one answer of the store.
MAX_ROUNDS = 32

# A live job takes its expectation and its put, an ended one a put, a removal
# and an expectation; one entry is the owner's own expectation.
_ENTRIES_PER_JOB = 4


@attrs.frozen(kw_only=True, slots=True, eq=False)
class _Batch:
    """One transaction and what it stores.

    Attributes
    ----------
    transaction : Transaction
        The transaction.
    jobs : tuple of (Job, JobState)
        Its jobs, with the state that it stores.
    planned : tuple of Run
        Runs that may be ordered once it is stored.
    """

    transaction: platform.Transaction
    jobs: tuple[tuple[workloads.Job, workloads.JobState], ...]
    planned: tuple[workloads.Run, ...]


async def run(owner: _ownership.Ownership) -> None:
    """Store changed records until the ownership ends.

    Rounds overlap, so that a slow store delays each change by one answer and
    not by those of the changes before it.
    """
    former: asyncio.Task[bool] | None = None
    while not owner.deposed.is_set():
        await owner.commit_wanted.wait()
        await asyncio.sleep(URGENT_DELAY_S if owner.commit_urgent else DELAY_S)
        owner.commit_wanted.clear()
        owner.commit_urgent = False
        while len(owner.rounds) >= MAX_ROUNDS:
            await asyncio.wait(
                owner.rounds, return_when=asyncio.FIRST_COMPLETED
            )
        former = asyncio.ensure_future(_commit_round(owner, former))
        owner.rounds.add(former)
        former.add_done_callback(owner.rounds.discard)


async def commit_all(owner: _ownership.Ownership) -> None:
    """Store all changed records and wait for the rounds under way."""
    if owner.rounds:
        await asyncio.wait(owner.rounds)
    await _commit_round(owner, None)


async def _commit_round(
    owner: _ownership.Ownership, former: asyncio.Task[bool] | None
) -> bool:
    """Store the records that are dirty now, and acknowledge ends.

    An end may be acknowledged when its job's record and those of all rounds
    before are stored.
    """
    highest_ends = {
        worker.key: worker.highest_end
        for worker in owner.pool.workers.values()
    }
    dirty = [job for job in owner.pool.jobs.values() if job.dirty]
    busy = [job for job in dirty if job.spec.id in owner.storing]
    free = [job for job in dirty if job.spec.id not in owner.storing]
    for job in free:
        owner.storing.add(job.spec.id)
    limit = platform.MAX_TRANSACTION_ENTRIES - 1
    chunk = limit // _ENTRIES_PER_JOB
    stored = all(
        await asyncio.gather(
            *(
                _commit_jobs(owner, free[begin : begin + chunk])
                for begin in range(0, len(free), chunk)
            )
        )
    )
    if former is not None:
        await asyncio.wait([former])
        stored = stored and former.result()
    if not stored:
        return False
    if busy:
        # Their former change is stored by now; the new one takes a round.
        owner.commit_wanted.set()
        return True
    for key, number in highest_ends.items():
        worker = owner.pool.workers.get(key)
        if worker is not None:
            worker.stored_end = max(worker.stored_end, number)
    owner.committed.set()
    owner.committed = asyncio.Event()
    if owner.removals:
        await _remove_old(owner)
    return True


async def _commit_jobs(
    owner: _ownership.Ownership, jobs: list[workloads.Job]
) -> bool:
    """Store some jobs; return False if the ownership has ended."""
    try:
        return await _commit_until_stored(owner, jobs)
    finally:
        for job in jobs:
            owner.storing.discard(job.spec.id)
            if job.dirty:
                owner.commit_wanted.set()


async def _commit_until_stored(
    owner: _ownership.Ownership, jobs: list[workloads.Job]
) -> bool:
    unanswered = False
    while not owner.deposed.is_set():
        batch = _make_batch(owner, jobs)
        sent_at = _clock.now()
        try:
            revision = await platform.commit(
                owner.store,
                batch.transaction,
                may_send=lambda: not owner.deposed.is_set(),
            )
        except platform.ConditionError as error:
            if not _adopt_revisions(owner, jobs, error.items):
                return False
            continue
        except errors.SchedulerError as error:
            if not unanswered:
                LOG.warning(
                    "Commit failed; trying again.",
                    service=owner.service,
                    jobs=len(jobs),
                    error=str(error),
                )
                owner.metrics.retries.inc({"reason": "store_error"})
            unanswered = True
            for job in jobs:
                job.dirty = True
            await asyncio.sleep(RETRY_PAUSE_S)
            continue
        owner.confirmed_at = max(owner.confirmed_at, sent_at)
        if unanswered:
            LOG.info("Commits succeed again.", service=owner.service)
        _apply(owner, batch, revision)
        return True
    return False


def _make_batch(
    owner: _ownership.Ownership, jobs: list[workloads.Job]
) -> _Batch:
    expect = {_keys.owner(owner.service): owner.fence}
    put: dict[str, bytes] = {}
    remove: list[str] = []
    planned: list[workloads.Run] = []
    for job in jobs:
        job.dirty = False
        # An unanswered transaction may take effect seconds later; with the
        # revision of the record it cannot replace a newer one.
        progress = _keys.progress(owner.service, job.spec.id)
        expect[progress] = job.progress_revision
        if job.state in workloads.TERMINAL_STATES:
            key = _keys.job(owner.service, job.spec.id)
            put[key] = workloads.encode_end(job)
            if job.progress_revision:
                remove.append(progress)
        else:
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
        jobs=tuple((job, job.state) for job in jobs),
        planned=tuple(planned),
    )


def _adopt_revisions(
    owner: _ownership.Ownership,
    jobs: list[workloads.Job],
    items: tuple[platform.Item, ...],
) -> bool:
    """Take over the records' revisions after a lost answer.

    Returns
    -------
    bool
        False if this instance is not the owner any longer.
    """
    revisions = {item.key: item.revision for item in items}
    if revisions.get(_keys.owner(owner.service)) != owner.fence:
        LOG.warning(
            "Deposed by a commit's condition.",
            service=owner.service,
            fence=owner.fence,
        )
        owner.deposed.set()
        return False
    for job in jobs:
        key = _keys.progress(owner.service, job.spec.id)
        job.progress_revision = revisions.get(key, 0)
        job.dirty = True
    owner.metrics.retries.inc({"reason": "store_answer_lost"})
    return True


def _apply(owner: _ownership.Ownership, batch: _Batch, revision: int) -> None:
    for job, state in batch.jobs:
        ended = state in workloads.TERMINAL_STATES
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
    for job, _ in batch.jobs:
        order_recorded(owner, job)


def order_recorded(owner: _ownership.Ownership, job: workloads.Job) -> None:
    """Order the runs of a job that is stored, if their record is, too."""
    if not job.accepted:
        return
    for unit in job.units.values():
        for run in unit.runs:
            if (
                run.phase == workloads.Phase.PLANNED
                and run.recorded
                and not run.stopping
            ):
                run.phase = workloads.Phase.ORDERED
                _ownership.start_order(
                    owner, _worker_calls.order_start(owner, run)
                )


async def _remove_old(owner: _ownership.Ownership) -> None:
    """Remove the records of jobs whose state need not be shown any more."""
    limit = platform.MAX_TRANSACTION_ENTRIES - 1
    keys, owner.removals = owner.removals[:limit], owner.removals[limit:]
    try:
        await platform.commit(
            owner.store,
            platform.Transaction(
                expect={_keys.owner(owner.service): owner.fence},
                remove=tuple(keys),
            ),
        )
    except errors.SchedulerError as error:
        # They are found again by the next owner.
        LOG.info("Old jobs were not removed.", error=str(error))
