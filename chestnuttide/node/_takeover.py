"""Takeover of a service: its new owner loads workers and jobs."""

import asyncio
import collections.abc
import functools

import attrs

from chestnuttide import errors
from chestnuttide.node import _clock
from chestnuttide.node import _keys
from chestnuttide.node import _listings
from chestnuttide.node import _ownership
from chestnuttide.node import _polls
from chestnuttide.node import _updates
from chestnuttide import platform
from chestnuttide import telemetry

LOG = telemetry.make_logger("owner")

RETRY_S = 0.1


@attrs.frozen(kw_only=True, slots=True)
class Listed:
    """What a takeover has read.

    Attributes
    ----------
    workers, work : int
        Store revisions from which to watch the workers and the service's
        jobs.
    """

    workers: int
    work: int


async def take_over(owner: _ownership.Ownership) -> Listed | None:
    """Load the pool from the store; return None if deposed."""
    started_at = _clock.now()
    _updates.record_former_owner(owner)
    owner.metrics.takeovers.inc({"outcome": "started"})
    LOG.info(
        "Takeover has started.",
        always=True,
        service=owner.service,
        fence=owner.fencing_token,
    )
    workers, work, progress = await asyncio.gather(
        _read(owner, _keys.WORKERS),
        _read(owner, _keys.work(owner.service)),
        _read(owner, _keys.progress(owner.service)),
    )
    read_at = _clock.now()
    if await _confirm(owner):
        await _apply(owner, workers.items, work.items, progress.items)
    if owner.deposed.is_set():
        owner.metrics.takeovers.inc({"outcome": "abandoned"})
        LOG.warning(
            "Takeover is abandoned.",
            always=True,
            service=owner.service,
            fence=owner.fencing_token,
            items=sum(len(each.items) for each in (workers, work, progress)),
            seconds=round(_clock.now() - started_at, 3),
        )
        return None
    for worker in list(owner.pool.workers.values()):
        _polls.ensure_poll_loop(owner, worker)
    owner.plan_requested.set()
    owner.ready = True
    owner.metrics.takeovers.inc({"outcome": "complete"})
    LOG.info(
        "Takeover is complete.",
        always=True,
        service=owner.service,
        fence=owner.fencing_token,
        jobs=len(owner.pool.active),
        awaited_jobs=len(owner.pool.awaited_progress),
        workers=len(owner.pool.workers),
        items=[len(each.items) for each in (workers, work, progress)],
        value_bytes=[
            sum(len(item.value) for item in each.items)
            for each in (workers, work, progress)
        ],
        read_s=round(read_at - started_at, 3),
        seconds=round(_clock.now() - started_at, 3),
    )
    return Listed(workers=workers.revision, work=work.revision)


async def _read(owner: _ownership.Ownership, prefix: str) -> _listings.Listing:
    """Read all pages of a prefix, unless the owner is deposed meanwhile."""
    listing = _listings.Listing()
    while not listing.complete and not owner.deposed.is_set():
        try:
            await _listings.read_next_page(owner.store, prefix, listing)
        except errors.SchedulerError as error:
            LOG.warning(
                "Takeover cannot read the store; trying again.",
                service=owner.service,
                prefix=prefix,
                items=len(listing.items),
                error=str(error),
            )
            owner.metrics.retries.inc({"reason": "takeover_read"})
            await asyncio.sleep(RETRY_S)
    return listing


async def _confirm(owner: _ownership.Ownership) -> bool:
    """Return whether the instance is still the owner after the reads."""
    while not owner.deposed.is_set():
        sent_at = _clock.now()
        try:
            item = await platform.read_key(
                owner.store, _keys.owner(owner.service)
            )
        except errors.SchedulerError:
            owner.metrics.retries.inc({"reason": "takeover_read"})
            await asyncio.sleep(RETRY_S)
            continue
        if item is None or item.revision != owner.fencing_token:
            owner.deposed.set()
            return False
        owner.confirmed_at = sent_at
        return True
    return False


async def _apply(
    owner: _ownership.Ownership,
    workers: list[platform.Item],
    work: list[platform.Item],
    progress: list[platform.Item],
) -> None:
    await apply_workers(owner, workers)
    await apply_jobs(owner, work)
    await _listings.apply_in_slices(
        progress,
        functools.partial(_updates.apply_progress, owner),
        stopped=owner.deposed.is_set,
    )
    await apply_cancellations(owner, work)


async def apply_workers(
    owner: _ownership.Ownership, items: collections.abc.Iterable[platform.Item]
) -> None:
    """Apply the listed entries of workers."""
    await _listings.apply_in_slices(
        items,
        functools.partial(_updates.apply_worker_entry, owner),
        stopped=owner.deposed.is_set,
    )


async def apply_jobs(
    owner: _ownership.Ownership, items: collections.abc.Iterable[platform.Item]
) -> None:
    """Apply the jobs of the service's listed items."""
    await _listings.apply_in_slices(
        items,
        functools.partial(_updates.apply_job, owner),
        stopped=owner.deposed.is_set,
    )


async def apply_cancellations(
    owner: _ownership.Ownership, items: collections.abc.Iterable[platform.Item]
) -> None:
    """Apply the cancellations of listed jobs, which are there by now."""
    await _listings.apply_in_slices(
        items,
        lambda item: _updates.apply_work_items(owner, (item,)),
        stopped=owner.deposed.is_set,
    )
