"""Reports of the tasks that wait, in the log and for operators' pages."""

import collections
import collections.abc

import attrs

from chestnuttide.node import _cap_shares
from chestnuttide.node import _cap_state
from chestnuttide.node import _clock
from chestnuttide.node import _ownership
from chestnuttide import telemetry
from chestnuttide import workloads

LOG = telemetry.make_logger("owner")

# Period of the report, which is one log line for a service, and the period
# while a task that lasts has waited for `workloads.LONG_WAIT_S`.
REPORT_PERIOD_S = 5.0
LONG_WAIT_REPORT_PERIOD_S = 2.0

# Period of the checks whether one has.
CHECK_PERIOD_S = 0.25


def report(owner: _ownership.Ownership, now: float) -> None:
    """Log which tasks wait, and for what, if that is due."""
    if now - owner.waiting_checked_at < CHECK_PERIOD_S:
        return
    owner.waiting_checked_at = now
    jobs = _ownership.list_live_jobs(owner)
    wait_s = workloads.longest_lasting_wait_s(owner.pool, jobs, now=now)
    is_long = wait_s >= workloads.LONG_WAIT_S
    elapsed_s = now - owner.waiting_reported_at
    if elapsed_s < REPORT_PERIOD_S and not (
        is_long and now >= owner.long_wait_due_at
    ):
        return
    owner.waiting_reported_at = now
    owner.long_wait_due_at = now + LONG_WAIT_REPORT_PERIOD_S if is_long else 0
    _report(owner, jobs, now)


def _report(
    owner: _ownership.Ownership,
    jobs: list[workloads.Job],
    now: float,
) -> None:
    counts = workloads.count_waiting_tasks(owner.pool, now=now)
    _set_waiting_tasks(owner, counts)
    tasks = workloads.list_waiting_tasks(
        owner.pool, jobs, now=now, caps=_list_caps(owner, now)
    )
    if not counts and not tasks.lasting and not tasks.others:
        return
    workers = owner.pool.workers.values()
    LOG.info(
        "Tasks wait to start.",
        always=True,
        service=owner.service,
        tasks=[[*key, count] for key, count in sorted(counts.items())],
        lasting=[attrs.astuple(each) for each in tasks.lasting],
        others=[attrs.astuple(each) for each in tasks.others],
        workers=sum(worker.listed for worker in workers),
        usable=sum(workloads.is_usable(worker, now) for worker in workers),
        trial_workers=sum(worker.trials > 0 for worker in workers),
        queries=len(owner.advisor_queries),
        waiting_queries=len(owner.waiting_queries),
        may_send=_ownership.may_send_commands(owner),
        confirmed_s=round(now - owner.confirmed_at, 2),
    )


def clear(owner: _ownership.Ownership) -> None:
    """Show no waiting tasks once the ownership has ended."""
    _set_waiting_tasks(owner, collections.Counter())


def explain_job(
    owner: _ownership.Ownership, job: workloads.Job
) -> list[dict[str, object]]:
    """Return what the tasks of a job that wait longest wait for."""
    if job.state in workloads.TERMINAL_STATES:
        return []
    now = _clock.now()
    tasks = workloads.list_waiting_tasks(
        owner.pool,
        (job,),
        now=now,
        caps=_list_caps(owner, now),
        min_wait_s=0.0,
    )
    return [attrs.asdict(each) for each in (*tasks.lasting, *tasks.others)]


def _set_waiting_tasks(
    owner: _ownership.Ownership,
    counts: collections.Counter[tuple[str, workloads.WaitReason]],
) -> None:
    for queue in {job.spec.queue.name for job in owner.pool.jobs.values()}:
        for reason in workloads.COUNTED_REASONS:
            owner.metrics.waiting_tasks.set(
                {"queue": queue, "reason": reason}, counts[(queue, reason)]
            )


def _list_caps(
    owner: _ownership.Ownership, now: float
) -> dict[str, workloads.CapWait]:
    """Return what is known of the caps for which tasks wait."""
    session, caps = owner.session, owner.caps
    result = {}
    for name, waiting in caps.put_off.items():
        parts = _cap_state.own_parts(session.caps, caps, owner.service, name)
        result[name] = workloads.CapWait(
            head_key=waiting.head_key,
            silent=_list_silent(owner, name, now),
            parts="/".join(map(str, parts)),
        )
    return result


def _list_silent(
    owner: _ownership.Ownership, workspace: str, now: float
) -> str:
    """Return the parts of a cap held by services whose owners are silent."""
    board = owner.session.caps
    silent = []
    for service, parts in board.parts.rows.get(workspace, {}).items():
        if service == owner.service or not any(parts):
            continue
        known = board.reports.get(service)
        age_s = now - known.received_at if known else None
        if age_s is None or age_s > _cap_shares.DEMAND_AGE_S:
            heard = "never" if age_s is None else f"{age_s:.1f} s ago"
            values = "/".join(map(str, parts))
            silent.append(f"{service} has {values}, heard {heard}")
    return "; ".join(sorted(silent))
