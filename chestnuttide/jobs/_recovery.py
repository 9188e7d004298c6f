"""Takeover of a pool shard, and changes of its workers."""

from chestnuttide.jobs import _acceptance
from chestnuttide.jobs import _attempts
from chestnuttide.jobs import _backlog
from chestnuttide.jobs import _events
from chestnuttide.jobs import _journal
from chestnuttide.jobs import _messages
from chestnuttide.jobs import _outcomes
from chestnuttide.jobs import _reservations
from chestnuttide.jobs import _snapshot
from chestnuttide.jobs import _state
from chestnuttide.jobs import _timers
from chestnuttide import model
from chestnuttide import placement

# Seconds after the end of a job during which some of its attempts may still be
# running.
ORPHAN_WINDOW_S = 60.0


def on_recovered(
    state: _state.PoolState,
    message: _messages.Recovered,
    now: float,
    out: list[object],
) -> None:
    """Rebuild the jobs, and start to wait for the workers' reports.

    No task starts before the takeover is durable, because the attempt numbers
    of this owner depend on it. Tasks of recovered jobs start only once all
    listed workers have reported, or once any leases that the previous owner
    granted have expired.
    """
    _snapshot.rebuild(state, message.snapshot, message.events, now)
    state.recovered_at = now
    state.ready = False
    state.settled = False
    # A start sent by the previous owner may take effect until it expires.
    state.settle_at = (
        now
        + model.START_VALID_S
        + model.CLOCK_SKEW_S
        + _reservations.lease_s(state) * _state.LEASE_MARGIN_RATIO
    )
    for worker_id, worker in state.workers.items():
        worker.reported = False
        state.unreported.add(worker_id)
        _state.update_availability(state, worker, now)
    for record in state.jobs.values():
        if _state.is_open(record) or (
            record.state is not model.JobState.SUCCEEDED
            and now - record.ended_at < ORPHAN_WINDOW_S
        ):
            _reservations.assume_running(
                state, record, record.job.tasks - record.done_count
            )
    _timers.schedule(state, state.settle_at, "settle")
    _journal.append(state, _events.owner(state.generation, now), out, "owner")


def on_workers_changed(
    state: _state.PoolState,
    message: _messages.WorkersChanged,
    now: float,
) -> None:
    """Apply changes of the instance list.

    A worker receives no work before its first report. A worker that is listed
    as gone keeps its attempts until their leases have expired. A worker that
    is gone at the time of a takeover may still run attempts of the previous
    owner, so its report is waited for as well. The message should leave out
    workers that have been gone for longer than a lease with its margin.
    """
    for instance in message.instances:
        if instance.kind is not model.InstanceKind.WORKER:
            continue
        worker_id = instance.instance_id
        gone = instance.state is model.InstanceState.GONE
        worker = state.workers.get(worker_id)
        if worker is None:
            if gone and state.settled:
                continue
            worker = _state.WorkerRecord(instance=instance)
            state.workers[worker_id] = worker
            if not state.settled:
                state.unreported.add(worker_id)
        worker.instance = instance
        worker.allows_overcommit = True
        placement.upsert_worker(state.cell, instance, now)
        if instance.state is model.InstanceState.LEAVING:
            state.leaving[worker_id] = None
        else:
            state.leaving.pop(worker_id, None)
        state.freed[worker_id] = None
        _state.update_availability(state, worker, now)
        _attempts.schedule_lease_check(state, worker)
        _attempts.remove_if_gone(state, worker)
    _state.mark_capacity_changed(state)


def settle_if_known(
    state: _state.PoolState, now: float, out: list[object]
) -> None:
    """Assign the states of recovered tasks once it is known which ones run."""
    if state.settled:
        return
    known = bool(state.workers) and not state.unreported
    if not known and now < state.settle_at:
        return
    state.settled = True
    state.unreported.clear()
    for record in list(state.jobs.values()):
        _reservations.release_assumed(state, record, record.assumed)
        if not record.settled:
            _settle(state, record, now, out)
    for worker in list(state.workers.values()):
        _attempts.remove_if_gone(state, worker)
    _state.mark_capacity_changed(state)


def _settle(
    state: _state.PoolState,
    record: _state.JobRecord,
    now: float,
    out: list[object],
) -> None:
    """Assign the states of one recovered job's tasks."""
    record.settled = True
    if not _state.is_open(record):
        return
    _acceptance.schedule_wait_limit(state, record)
    tasks = record.job.tasks
    if record.done_count == tasks:
        _outcomes.finish_job(
            state, record, model.JobState.SUCCEEDED, "", now, out
        )
        return
    started_end = max(
        len(record.done) * 8,
        max(record.live, default=-1) + 1,
        max(record.delayed, default=-1) + 1,
        max(record.numbers, default=-1) + 1,
    )
    record.first_unstarted = min(started_end, tasks)
    record.waiting = {
        index: None
        for index in range(record.first_unstarted)
        if index not in record.live
        and index not in record.delayed
        and not _state.is_done(record, index)
    }
    if _state.is_gang(record) and record.live and _state.pending(record):
        _outcomes.abort_gang(state, record, now, out)
        return
    _backlog.enqueue(state, record)
