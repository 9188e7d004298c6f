"""Operators' pages about workspaces, and why a job waits."""

import collections.abc

from chestnuttide import model
from chestnuttide.node import _cap_reports
from chestnuttide.node import _cap_shares
from chestnuttide.node import _cap_state
from chestnuttide.node import _clock
from chestnuttide.node import _ownership
from chestnuttide.node import _waiting_reports
from chestnuttide import workloads
from chestnuttide import workspaces


def list_use(
    owned: collections.abc.Mapping[str, _ownership.Ownership],
) -> list[dict[str, object]]:
    """Return what each workspace uses, by service that is owned here.

    Amounts are processors in thousandths of a core, memory in megabytes, and
    accelerators. Parts are thousandths of the cap.
    """
    rows = []
    for service, owner in sorted(owned.items()):
        config = owner.session.config
        if config is None or config.workspaces is None:
            continue
        rows += _list_rows(service, owner, config.workspaces)
    return rows


def _list_rows(
    service: str,
    owner: _ownership.Ownership,
    configured: tuple[workloads.Workspace, ...],
) -> list[dict[str, object]]:
    now = _clock.now()
    board = owner.session.caps
    used = workloads.requested_by_workspace(owner.pool)
    waiting: dict[str, dict[str, int]] = {}
    counts = workloads.count_by_workspace(owner.pool, now=now)
    for (name, reason), tasks in counts.items():
        waiting.setdefault(name, {})[str(reason)] = tasks
    elsewhere = _cap_reports.sum_elsewhere(board, service, now)
    round_ = _cap_shares.make_round(owner, now)
    return [
        {
            "workspace": each.name,
            "service": service,
            "weight": each.weight,
            "cap": _values(each.cap),
            "parts": workspaces.thousandths(
                _cap_state.own_parts(board, owner.caps, service, each.name)
            ),
            "parts_by_service": {
                name: workspaces.thousandths(held)
                for name, held in board.parts.rows.get(each.name, {}).items()
            },
            "use": _values(used.get(each.name, model.ZERO)),
            "use_elsewhere": _values(elsewhere.get(each.name, model.ZERO)),
            "level": round(
                workspaces.level(
                    round_.shares,
                    each.name,
                    used.get(each.name, model.ZERO),
                ),
                3,
            ),
            "waiting": waiting.get(each.name, {}),
        }
        for each in configured
    ]


def explain_wait(
    owned: collections.abc.Mapping[str, _ownership.Ownership], job_id: str
) -> list[dict[str, object]]:
    """Return why a job's tasks wait, if a service owned here has the job."""
    rows = []
    for service, owner in sorted(owned.items()):
        job = owner.pool.jobs.get(job_id)
        if job is None:
            continue
        counts = workloads.explain_wait(owner.pool, job, now=_clock.now())
        rows.append(
            {
                "job": job_id,
                "service": service,
                "workspace": job.spec.workspace,
                "state": str(job.state),
                "waiting": {
                    str(reason): tasks for reason, tasks in counts.items()
                },
                "tasks": _waiting_reports.explain_job(owner, job),
            }
        )
    return rows


def _values(amount: model.Resources) -> tuple[int, int, int]:
    return amount.cpu_millis, amount.memory_mb, amount.accelerators
