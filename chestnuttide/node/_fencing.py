"""Fencing tokens of an owner's calls to each incarnation of a worker."""

import asyncio

from chestnuttide import errors
from chestnuttide.node import _clock
from chestnuttide.node import _keys
from chestnuttide.node import _ownership
from chestnuttide import platform
from chestnuttide import telemetry
from chestnuttide import workloads

LOG = telemetry.make_logger("owner")

# Pause after a failed attempt to raise the token.
RETRY_PAUSE_S = 0.25


async def ensure_token(
    owner: _ownership.Ownership, worker: workloads.Worker
) -> bool:
    """Give a worker incarnation its token, after a write if need be.

    Commits raise the owner's newest token, so a write of its own is needed
    only if a worker restarts twice between two of them.

    Returns
    -------
    bool
        Whether the incarnation may be called.
    """
    if _assign(owner, worker):
        return True
    if owner.raising is None or owner.raising.done():
        owner.raising = asyncio.ensure_future(_raise_token(owner))
    # Other workers wait for the same write.
    await asyncio.shield(owner.raising)
    return _assign(owner, worker)


def _assign(owner: _ownership.Ownership, worker: workloads.Worker) -> bool:
    return workloads.assign_fencing_token(
        owner.pool, worker, owner.newest_fencing_token
    )


def record_transaction(owner: _ownership.Ownership, revision: int) -> None:
    """Record a transaction that had the ownership as a condition."""
    owner.newest_fencing_token = max(owner.newest_fencing_token, revision)


async def _raise_token(owner: _ownership.Ownership) -> None:
    sent_at = _clock.now()
    try:
        revision = await platform.commit(
            owner.store,
            platform.Transaction(
                expect={_keys.owner(owner.service): owner.fencing_token},
                put={_keys.fence(owner.service): b""},
            ),
            may_send=lambda: not owner.deposed.is_set(),
        )
    except platform.ConditionError:
        LOG.warning(
            "Deposed: the fencing token of a restarted worker cannot be"
            " raised by a former owner.",
            service=owner.service,
            fence=owner.fencing_token,
        )
        owner.deposed.set()
    except errors.SchedulerError as error:
        LOG.warning(
            "Fencing token was not raised for a restarted worker;"
            " trying again.",
            service=owner.service,
            error=str(error),
        )
        owner.metrics.retries.inc({"reason": "raise_fence"})
        await asyncio.sleep(RETRY_PAUSE_S)
    else:
        owner.confirmed_at = max(owner.confirmed_at, sent_at)
        record_transaction(owner, revision)
