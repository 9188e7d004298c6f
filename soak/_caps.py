"""Caps of workspaces, checked at each start over all workers."""

import typing

from soak import _checks
from soak import _keys

# Processors in thousandths of a core that a workspace may have running over
# both services; it is less than one of them offers.
CAPS: typing.Final = {"a": 12000}

# The platform allows this much more, and one task.
OVERSHOOT: typing.Final = 1.1


def check_start(
    ledger: _checks.Ledger, command: dict[str, object], label: str
) -> None:
    """Record a start that brings a workspace above its cap."""
    workspace = _keys.key_of(command["task"].partition(".")[0])
    name = next(
        each for each, key in _keys.LASTING.items() if key == workspace
    )
    if name not in CAPS:
        return
    need = _cpu_of(ledger, command["task"])
    used = sum(
        _cpu_of(ledger, task)
        for worker in ledger.workers
        for task, _ in worker.runs
        if _keys.key_of(task.partition(".")[0]) == workspace
    )
    ledger.cap_starts += 1
    if used > OVERSHOOT * CAPS[name]:
        _checks.record_violation(
            ledger,
            f"over the cap of {name} ({used} and {need} millicores): {label}",
        )


def _cpu_of(ledger: _checks.Ledger, task: str) -> int:
    job_id, _, step, _ = task.split(".")
    return ledger.jobs[job_id].body["steps"][int(step)]["cpu"]
