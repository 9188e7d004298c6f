"""Ownership of a service: its takeover and the owner's loops."""

import asyncio
import collections.abc
import functools
import typing

from chestnuttide.node import _admission
from chestnuttide.node import _advisor_queries
from chestnuttide.node import _cap_shares
from chestnuttide.node import _clock
from chestnuttide.node import _commands
from chestnuttide.node import _commits
from chestnuttide.node import _directory_sync
from chestnuttide.node import _handover
from chestnuttide.node import _keys
from chestnuttide.node import _ownership
from chestnuttide.node import _polls
from chestnuttide.node import _release
from chestnuttide.node import _run_time_snapshots
from chestnuttide.node import _set_aside
from chestnuttide.node import _start_window
from chestnuttide.node import _starts
from chestnuttide.node import _takeover
from chestnuttide.node import _updates
from chestnuttide.node import _waiting_reports
from chestnuttide.node import _watches
from chestnuttide import platform
from chestnuttide import telemetry
from chestnuttide import workloads

LOG = telemetry.make_logger("owner")

# Period of the checks for due occurrences, stalled runs and draining workers.
SUPERVISION_PERIOD_S = 0.1

# After a planning round, the owner pauses planning for as long as it took, so
# that at least half of its processor time is left for commands, polls and
# commits. The bound lets work start when a round took long because the process
# was paused.
MAX_PLAN_PAUSE_S = 0.5

# Ended jobs are kept for this long after callers may no longer query them.
STATUS_MARGIN_S = 30.0

# A job that was announced but not stored within this time is dropped. Its
# caller got a refusal or no answer.
ANNOUNCED_JOB_LIMIT_S = 5.0

# Instances notify the owner of jobs and cancellations directly. The watch only
# recovers lost notices, so it may batch changes for this long.
WATCH_BATCH_S = 0.3

_Loop: typing.TypeAlias = collections.abc.Callable[
    [_ownership.Ownership], collections.abc.Coroutine[None, None, None]
]


async def run_ownership(owner: _ownership.Ownership) -> None:
    """Run a service as its owner until deposed; never raises."""
    loops: list[asyncio.Task[None]] = []
    try:
        listed = await _takeover.take_over(owner)
        if listed is None:
            return
        loops = [
            asyncio.ensure_future(
                _set_aside.run_loop(
                    owner.set_aside,
                    name,
                    functools.partial(make_loop, owner),
                )
            )
            for name, make_loop in _make_loops(listed).items()
        ]
        deposed = asyncio.ensure_future(owner.deposed.wait())
        loops.append(deposed)
        await asyncio.wait(loops, return_when=asyncio.FIRST_COMPLETED)
    except Exception:
        LOG.exception("Ownership has failed.", service=owner.service)
    finally:
        owner.deposed.set()
        # Commands and polls in progress end by themselves and start no others.
        for task in loops:
            task.cancel()
        await asyncio.gather(*loops, return_exceptions=True)
        # Claimed anew meanwhile, the service would stay here.
        async with owner.hand_over_lock:
            pass
        _waiting_reports.clear(owner)
        owner.metrics.start_window.set({"service": owner.service}, 0)
        LOG.info(
            "Ownership has ended.",
            always=True,
            service=owner.service,
            fence=owner.fencing_token,
        )


def _make_loops(
    listed: _takeover.Listed,
) -> dict[str, _Loop]:
    """Return the loops of an owner by name."""
    return {
        "commit_loop": _commits.commit_loop,
        "plan_loop": _plan_loop,
        "supervision_loop": _supervision_loop,
        "watch_work": functools.partial(_watch_work, revision=listed.work),
        "watch_workers": functools.partial(
            _watch_workers, revision=listed.workers
        ),
        "confirm_loop": _release.confirm_loop,
        "hand_over_loop": _handover.hand_over_loop,
        "sync_loop": _directory_sync.sync_loop,
        "snapshot_loop": _run_time_snapshots.snapshot_loop,
        "share_loop": _cap_shares.share_loop,
        "watch_loop": _cap_shares.watch_loop,
    }


async def _watch_work(owner: _ownership.Ownership, *, revision: int) -> None:
    async def on_list(items: tuple[platform.Item, ...]) -> None:
        await _takeover.apply_jobs(owner, items)
        await _takeover.apply_cancellations(owner, items)

    await _watches.watch_prefix(
        owner.session.store,
        _keys.work(owner.service),
        on_list=on_list,
        on_item=lambda item: _updates.apply_work_items(owner, (item,)),
        on_working=lambda working: None,
        pause_s=WATCH_BATCH_S,
        revision=revision,
    )


async def _watch_workers(
    owner: _ownership.Ownership, *, revision: int
) -> None:
    async def on_list(items: tuple[platform.Item, ...]) -> None:
        names = {item.key.removeprefix(_keys.WORKERS) for item in items}
        for worker in owner.pool.workers.values():
            if worker.report.id not in names:
                worker.listed = False
        await _takeover.apply_workers(owner, items)

    await _watches.watch_prefix(
        owner.session.store,
        _keys.WORKERS,
        on_list=on_list,
        on_item=functools.partial(_updates.apply_worker_entry, owner),
        on_working=lambda working: None,
        revision=revision,
    )


async def _plan_loop(owner: _ownership.Ownership) -> None:
    while True:
        await owner.plan_requested.wait()
        owner.plan_requested.clear()
        if owner.stopping or not _ownership.may_send_commands(owner):
            await asyncio.sleep(SUPERVISION_PERIOD_S)
            continue
        started_at = _clock.now()
        # Starts make room for occurrences that were held back.
        _release_occurrences(owner, started_at, _clock.unix_time())
        caps = _cap_shares.make_round(owner, started_at)
        plan = workloads.make_plan(
            owner.pool,
            now=started_at,
            query_limit=_advisor_queries.make_query_limit(owner),
            caps=caps,
            max_runs=_start_window.room(
                owner.starts, planned=workloads.count_planned(owner.pool)
            ),
        )
        _cap_shares.record_round(owner, caps, plan, started_at)
        for job, error in plan.failed:
            _ownership.set_job_aside(owner, job, error)
        if plan.runs:
            _ownership.request_commit(owner, urgent=True)
        _advisor_queries.start_queries(owner, plan.queries)
        # Events that arrive meanwhile share the next plan.
        planned_s = _clock.now() - started_at
        owner.metrics.plan_seconds.observe(
            {"service": owner.service}, planned_s
        )
        await asyncio.sleep(plan_pause_s(planned_s))


def plan_pause_s(planned_s: float) -> float:
    """Return the pause after a planning round that took `planned_s`."""
    return min(MAX_PLAN_PAUSE_S, planned_s)


async def _supervision_loop(owner: _ownership.Ownership) -> None:
    while True:
        await asyncio.sleep(SUPERVISION_PERIOD_S)
        _supervise(owner)


def _supervise(owner: _ownership.Ownership) -> None:
    """Run each part of the supervision; one that fails pauses alone."""
    now = _clock.now()
    unix_time = _clock.unix_time()
    parts: dict[str, collections.abc.Callable[[], None]] = {
        "priorities": lambda: _update_top_priority(owner),
        "occurrences": lambda: _release_occurrences(owner, now, unix_time),
        "silent workers": lambda: _polls.expire_silent_leases(owner),
        "stalled runs": lambda: _stop_stalled_runs(owner, now),
        "deadly tasks": lambda: _give_up_deadly_tasks(owner, now, unix_time),
        "run times": lambda: _run_time_snapshots.supervise(owner, now),
        "draining workers": lambda: _evacuate(owner, now),
        "starts": lambda: _starts.supervise(owner),
        "stops": lambda: _send_due_stops(owner),
        "waiting tasks": lambda: _waiting_reports.report(owner, now),
        "unstored jobs": lambda: _drop_unstored_jobs(owner, now),
        "ended jobs": lambda: _drop_ended_jobs(owner, unix_time),
        "admission": lambda: _admission.observe(owner),
    }
    kind = _set_aside.Kind.PART
    for name, action in parts.items():
        if not _set_aside.is_set_aside(owner.set_aside, kind, name):
            _set_aside.attempt(owner.set_aside, kind, name, action)
    _set_aside.retry_due(owner.set_aside)
    owner.plan_requested.set()


def _update_top_priority(owner: _ownership.Ownership) -> None:
    workloads.update_top_priority(
        owner.pool,
        (
            queue.priority
            for queue in owner.session.config.queues
            if queue.service == owner.service
        ),
    )


def _release_occurrences(
    owner: _ownership.Ownership, now: float, unix_time: float
) -> None:
    for job in list(owner.pool.active.values()):
        try:
            workloads.release_due_occurrences(
                owner.pool, job, unix_time + owner.pool.limits.early_s, now
            )
        except Exception as error:
            _ownership.set_job_aside(owner, job, error)


def _stop_stalled_runs(owner: _ownership.Ownership, now: float) -> None:
    for run in workloads.find_stalled(owner.pool, now=now):
        LOG.warning(
            "Run makes no progress; stopping it.",
            job=run.job.spec.id,
            task=run.task,
            run=run.number,
            worker=run.worker_key,
            percent=run.percent,
            silent_s=round(now - run.progress_at, 2),
        )
        workloads.stop_stalled(owner.pool, run, now=now)


def _evacuate(owner: _ownership.Ownership, now: float) -> None:
    moved = workloads.evacuate(
        owner.pool, now=now, stop_s=owner.pool.limits.stop_s
    )
    for run in moved:
        LOG.info(
            "Run is moved off a draining worker.",
            job=run.job.spec.id,
            task=run.task,
            worker=run.worker_key,
        )


def _send_due_stops(owner: _ownership.Ownership) -> None:
    for worker in owner.pool.workers.values():
        _commands.send_due_stops(owner, worker)


def _give_up_deadly_tasks(
    owner: _ownership.Ownership, now: float, unix_time: float
) -> None:
    """Fail the jobs of tasks that crash the workers that start them."""
    given_up = workloads.settle_crashes(
        owner.pool, now=now, now_unix_s=unix_time
    )
    for job, unit in given_up:
        LOG.warning(
            "Task crashes its workers; giving it up.",
            job=job.spec.id,
            unit=unit.key,
            crashes=[
                [number, crash.index, crash.worker_key, crash.suspects]
                for number, crash in unit.crashes.items()
            ],
        )
        owner.metrics.given_up.inc({"reason": "crashes"})
    if given_up:
        _ownership.request_commit(owner, urgent=True)


def _drop_unstored_jobs(owner: _ownership.Ownership, now: float) -> None:
    for job in list(owner.pool.active.values()):
        if (
            not job.accepted
            and now - job.accepted_at > ANNOUNCED_JOB_LIMIT_S
            and not _may_have_been_started(job)
        ):
            for unit in list(job.units.values()):
                workloads.stop_runs(owner.pool, unit)
            if job.progress_revision:
                key = _keys.progress(owner.service, job.spec.id)
                # The same id may be sent again and get a record of its own.
                owner.obsolete_keys[key] = job.progress_revision
            del owner.pool.active[job.spec.id]
            del owner.pool.jobs[job.spec.id]
            # Its write may still take effect; a repeat is not refused.
            workloads.remember_doubtful(owner.admission, job.spec.id, now)
            LOG.info(
                "Announced job was not stored; dropping it.", job=job.spec.id
            )


def _may_have_been_started(job: workloads.Job) -> bool:
    """Return whether a former owner may have started runs of a job.

    It has seen the job stored then, so the watch shows it soon.
    """
    return job.restored and (
        job.started
        or any(
            run.phase != workloads.Phase.PLANNED
            for unit in job.units.values()
            for run in unit.runs
        )
    )


def _drop_ended_jobs(owner: _ownership.Ownership, unix_time: float) -> None:
    retention_s = owner.session.settings.bounds.status_s + STATUS_MARGIN_S
    old = [
        job_id
        for job_id, job in owner.pool.jobs.items()
        if job.shown_state in workloads.TERMINAL_STATES
        and not job.dirty
        and unix_time - job.ended_unix_s > retention_s
    ]
    for job_id in old:
        del owner.pool.jobs[job_id]
        owner.obsolete_keys[_keys.job(owner.service, job_id)] = 0
        owner.obsolete_keys[_keys.cancel(owner.service, job_id)] = 0
    if old:
        _ownership.request_commit(owner, urgent=False)
