"""Snapshots of learned run times in the store, and their supervision.

An owner learns for its service. Its successor starts from the last snapshot,
which it reads beside its other work. Without one it learns anew.
"""

import asyncio

from chestnuttide import errors
from chestnuttide.node import _clock
from chestnuttide.node import _keys
from chestnuttide.node import _ownership
from chestnuttide import platform
from chestnuttide import telemetry
from chestnuttide import workloads

LOG = telemetry.make_logger("owner")

# A snapshot is written at this period if runs have ended since the last one.
SNAPSHOT_PERIOD_S = 10.0

# Attempts to read the snapshot of the former owner, and the pause between.
READ_ATTEMPTS = 3
READ_PAUSE_S = 1.0

# Period at which medians, speeds and penalties are updated.
REFRESH_PERIOD_S = 1.0


async def snapshot_loop(owner: _ownership.Ownership) -> None:
    """Start from the stored snapshot, and store changes seldom."""
    times = owner.pool.run_times
    if times is None:
        # A loop that returns would end the ownership.
        await owner.deposed.wait()
        return
    await _read(owner, times)
    stored_samples = times.samples
    while True:
        await asyncio.sleep(SNAPSHOT_PERIOD_S)
        if (
            times.samples != stored_samples
            and not owner.stopping
            and _ownership.may_send_commands(owner)
        ):
            samples = times.samples
            if await _store(owner, times):
                stored_samples = samples


async def _read(
    owner: _ownership.Ownership, times: workloads.RunTimes
) -> None:
    key = _keys.run_times(owner.service)
    for _ in range(READ_ATTEMPTS):
        try:
            item = await platform.read_key(owner.store, key)
        except errors.SchedulerError as error:
            LOG.info(
                "Snapshot of run times was not read.",
                service=owner.service,
                error=str(error),
            )
            await asyncio.sleep(READ_PAUSE_S)
            continue
        if item is not None:
            apply_snapshot(owner, times, item.value)
        return
    owner.metrics.run_time_snapshots.inc({"outcome": "not_read"})


def apply_snapshot(
    owner: _ownership.Ownership, times: workloads.RunTimes, value: bytes
) -> None:
    """Start from a snapshot; one that cannot be read is left out."""
    now = _clock.now()
    try:
        stored = workloads.decode_run_times(value, now=now)
    except errors.ProtocolError as error:
        LOG.warning(
            "Snapshot of run times is ignored.",
            service=owner.service,
            error=str(error),
        )
        owner.metrics.unreadable.inc({"kind": "run_times"})
        owner.metrics.run_time_snapshots.inc({"outcome": "unreadable"})
        return
    workloads.adopt_snapshot(times, stored, now=now)
    owner.metrics.run_time_snapshots.inc({"outcome": "read"})
    LOG.info(
        "Run times of the former owner are known.",
        service=owner.service,
        kinds=len(stored.kinds),
        machines=len(stored.speeds.machines),
    )


async def _store(
    owner: _ownership.Ownership, times: workloads.RunTimes
) -> bool:
    """Write a snapshot; return whether it is stored."""
    value = workloads.encode_run_times(times, now=_clock.now())
    try:
        await platform.commit(
            owner.store,
            platform.Transaction(
                expect={_keys.owner(owner.service): owner.fencing_token},
                put={_keys.run_times(owner.service): value},
            ),
            may_send=lambda: not owner.deposed.is_set(),
        )
    except errors.SchedulerError as error:
        owner.metrics.run_time_snapshots.inc({"outcome": "not_stored"})
        LOG.info(
            "Snapshot of run times was not stored.",
            service=owner.service,
            error=str(error),
        )
        return False
    owner.metrics.run_time_snapshots.inc({"outcome": "stored"})
    LOG.info(
        "Snapshot of run times is stored.",
        service=owner.service,
        bytes=len(value),
        samples=times.samples,
        off_by=workloads.overall_run_time_errors(times),
    )
    return True


def supervise(owner: _ownership.Ownership, now: float) -> None:
    """Update what was learned, and report workers that differ."""
    times = owner.pool.run_times
    if times is None or now - owner.run_times_at < REFRESH_PERIOD_S:
        return
    owner.run_times_at = now
    findings = workloads.refresh_run_times(owner.pool, now=now)
    for outcome, count in times.counts.items():
        owner.metrics.run_time_samples.add({"outcome": outcome}, count)
    times.counts.clear()
    _report(owner, {each.worker_key: each for each in findings})


def _report(
    owner: _ownership.Ownership, findings: dict[str, workloads.Finding]
) -> None:
    for key, each in findings.items():
        if key not in owner.penalised:
            LOG.warning(
                "Worker differs from its like and is used less.",
                worker=key,
                cause=each.cause,
                penalty=round(each.penalty, 2),
            )
            owner.metrics.penalised_workers.inc({"cause": each.cause})
    for key in owner.penalised - findings.keys():
        LOG.info("Worker is used as before.", worker=key)
    owner.penalised = set(findings)
