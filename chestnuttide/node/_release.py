"""Confirmation and release of an ownership."""

import asyncio
import math
import random
import time

from chestnuttide import errors
from chestnuttide.node import _clock
from chestnuttide.node import _commits
from chestnuttide.node import _keys
from chestnuttide.node import _messages
from chestnuttide.node import _ownership
from chestnuttide.node import _peers
from chestnuttide.node import _session
from chestnuttide import platform
from chestnuttide import telemetry

LOG = telemetry.make_logger("owner")

# An owner without commits checks in the store at this rate whether it is still
# the owner.
CONFIRM_PERIOD_S = 1.0

# An owner that the store has not confirmed for this long, while calls fail,
# has a peer release its ownership, so that an instance that reaches the store
# takes over at once.
RELEASE_AFTER_S = 0.3

# A peer without a successful call to the store for this long counts as
# disconnected too. Instances renew their leases more often than that.
STORE_REACHABLE_S = 0.35

# No command is sent while peers are asked, and runs keep their leases only if
# most of the time is left for renewals, whatever the number of instances. If
# the store fails for this instance alone, nearly every peer can release.
MAX_PEERS_ASKED = 8
REFUSED_PAUSE_S = 1.0


async def confirm_loop(owner: _ownership.Ownership) -> None:
    """Check the ownership in the store if no commit has confirmed it."""
    confirmed = True
    release_at = 0.0
    while True:
        await asyncio.sleep(CONFIRM_PERIOD_S / 10)
        sent_at = _clock.now()
        limit_s = (
            RELEASE_AFTER_S if owner.store.failing_since else CONFIRM_PERIOD_S
        )
        if sent_at - owner.confirmed_at < limit_s:
            continue
        try:
            item = await platform.read_key(
                owner.store, _keys.owner(owner.service)
            )
        except errors.SchedulerError as error:
            if confirmed:
                LOG.warning(
                    "Ownership is not confirmed.",
                    service=owner.service,
                    age_s=round(sent_at - owner.confirmed_at, 2),
                    error=str(error),
                )
            confirmed = False
            if _clock.now() >= release_at and await release_through_peer(
                owner
            ):
                release_at = _clock.now() + REFUSED_PAUSE_S
            continue
        if item is None or item.revision != owner.fencing_token:
            LOG.warning(
                "Deposed: the owner's key in the store has changed.",
                service=owner.service,
                fence=owner.fencing_token,
            )
            owner.deposed.set()
            return
        if not confirmed:
            LOG.info("Ownership is confirmed again.", service=owner.service)
        confirmed = True
        owner.confirmed_at = max(owner.confirmed_at, sent_at)


async def release_through_peer(owner: _ownership.Ownership) -> bool:
    """Ask some peers until one that reaches the store releases the ownership.

    Returns
    -------
    bool
        Whether peers were asked and none of them may release it.
    """
    owner.releasing = True
    refused = False
    names = _peers.connected_names(owner.session.peers)
    for name in random.sample(names, min(MAX_PEERS_ASKED, len(names))):
        try:
            reply = await _peers.call(
                owner.session.peers,
                name,
                lambda call_id: _messages.Release(
                    call_id=call_id,
                    service=owner.service,
                    fencing_token=owner.fencing_token,
                    former_calls_ms=_former_calls_ms(owner),
                ),
            )
        except errors.PeerNotConnectedError as error:
            LOG.info("Peer was not asked.", peer=name, error=str(error))
            continue
        except errors.MeshError as error:
            # The peer may still release it, so no more commands may be sent.
            LOG.info(
                "Peer did not answer the release call.",
                peer=name,
                error=str(error),
            )
            owner.deposed.set()
            return False
        if reply.released:
            LOG.warning(
                "Ownership was released through a peer.",
                service=owner.service,
                fence=owner.fencing_token,
                peer=name,
            )
            owner.deposed.set()
            return False
        refused = True
    owner.releasing = False
    if refused:
        owner.metrics.retries.inc({"reason": "release_refused"})
    return refused


def _former_calls_ms(owner: _ownership.Ownership) -> int:
    """Return for how long owners before this one may send commands.

    One that lost the store goes on until its authority ends, and its leases
    may last for longer than those of this owner.
    """
    left_s = owner.pool.former_calls_until - _clock.now()
    if left_s == -math.inf:
        # The takeover has not begun.
        left_s = _ownership.former_authority_s(owner)
    return max(0, math.ceil(left_s * 1000))


def _release_transaction(
    service: str, fencing_token: int, *, former_calls_ms: int
) -> platform.Transaction:
    """Return the transaction that releases an ownership.

    Its owner sends no more commands, which the released key records.
    """
    key = _keys.owner(service)
    value = _session.encode_release(
        fencing_token, former_calls_ms=former_calls_ms
    )
    return platform.Transaction(
        expect={key: fencing_token},
        put={_keys.released(service): value},
        remove=(key,),
    )


async def release_for_peer(
    session: _session.Session, message: _messages.Release
) -> _messages.ReleaseReply:
    """Release a peer's ownership on its behalf, if it still exists."""
    released = False
    age_s = time.monotonic() - session.store.last_response_at
    if not session.store.failing_since and age_s < STORE_REACHABLE_S:
        try:
            await platform.commit(
                session.store,
                _release_transaction(
                    message.service,
                    message.fencing_token,
                    former_calls_ms=message.former_calls_ms,
                ),
            )
            released = True
        except platform.ConditionError:
            released = True
        except platform.StoreRefusedError as error:
            LOG.info("Ownership was not released.", error=str(error))
    return _messages.ReleaseReply(call_id=message.call_id, released=released)


async def hand_over(owner: _ownership.Ownership) -> bool:
    """Store pending changes and give up the ownership.

    The ownership ends in any case. If its key stays, the instance claims the
    service anew, unless it is shutting down.

    Returns
    -------
    bool
        Whether the store has confirmed the release.
    """
    owner.stopping = True
    async with owner.hand_over_lock:
        await _store_pending(owner)
        owner.deposed.set()
        try:
            revision = await platform.commit(
                owner.store,
                _release_transaction(
                    owner.service,
                    owner.fencing_token,
                    former_calls_ms=_former_calls_ms(owner),
                ),
            )
        except errors.SchedulerError as error:
            LOG.warning(
                "Ownership was not handed over.",
                service=owner.service,
                fence=owner.fencing_token,
                error=str(error),
            )
            return False
        # Before the watch shows it, the instance would take it for a failure.
        _session.apply_cell_item(
            owner.session,
            platform.Item(
                key=_keys.owner(owner.service),
                revision=revision,
                removed=True,
            ),
        )
        owner.session.changed.set()
        return True


async def _store_pending(owner: _ownership.Ownership) -> None:
    """Store pending changes; a successor learns the others from polls."""
    try:
        async with asyncio.timeout(CONFIRM_PERIOD_S):
            await _commits.commit_all(owner)
    except TimeoutError:
        LOG.info("Timed out storing changes.", service=owner.service)
    except Exception:
        LOG.exception("Changes were not stored.", service=owner.service)
