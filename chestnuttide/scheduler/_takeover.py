"""Takes shards over from former owners and hands them over."""

import asyncio
import collections.abc
import functools
import random
import time

from chestnuttide import coordination
from chestnuttide import errors
from chestnuttide import mesh
from chestnuttide import model
from chestnuttide import queueing
from chestnuttide.scheduler import _journals
from chestnuttide.scheduler import _membership
from chestnuttide.scheduler import _pools
from chestnuttide.scheduler import _requests
from chestnuttide.scheduler import _state
from chestnuttide import telemetry

# Time that a handover waits for dispatches to end. Slots still in use then
# stay occupied at the next owner until it learns that they are free.
HANDOVER_WAIT_S = 0.5
# Time that a handover waits for the journal to commit all events.
FLUSH_WAIT_S = 2.0
POLL_S = 0.01
# Time for which a released shard's answers are kept, for callers whose entry
# failed at the same time.
FORMER_RETENTION_S = 60.0
# Bounds of the delay before a failed takeover is retried.
TAKEOVER_RETRY_S = 0.2
TAKEOVER_RETRY_LIMIT_S = 5.0

LOG = telemetry.make_logger("takeover")


def start_takeover(
    state: _state.SchedulerState, message: coordination.ShardAcquired
) -> None:
    """Start the takeover of a shard."""
    LOG.info(
        "shard %s is acquired",
        message.shard,
        epoch=message.epoch,
        clean=message.clean,
    )
    former = state.activations.pop(message.shard, None)
    if former is not None:
        former.cancel()
    state.activations[message.shard] = _state.start_task(
        state, _activate(state, message)
    )


def stop_serving(
    state: _state.SchedulerState, message: coordination.ShardLost
) -> None:
    """Stop serving a shard whose ownership was lost."""
    LOG.info(
        "shard %s is lost",
        message.shard,
        epoch=message.epoch,
        reason=message.reason,
    )
    activation = state.activations.pop(message.shard, None)
    if activation is not None:
        activation.cancel()
    shard = state.shards.pop(message.shard, None)
    state.metrics.queue_length.set({"queue": message.shard}, 0)
    if shard is not None:
        state.former[shard.name] = (time.monotonic(), shard)
        shard.stop()
        _journals.close(shard.journal)
        announce_shards(state)


def start_handover(
    state: _state.SchedulerState, message: coordination.ShouldRelease
) -> None:
    """Start the handover of a shard to another instance."""
    if message.shard in state.releases:
        return
    task = _state.start_task(state, _release(state, message))
    state.releases[message.shard] = task
    task.add_done_callback(lambda _: state.releases.pop(message.shard, None))


def announce_shards(state: _state.SchedulerState) -> None:
    """Tell all peers which shards this instance serves."""
    message = owned_shards(state)
    for connection in state.network.connections.values():
        mesh.send_if_possible(connection, message)
    state.metrics.shards_owned.set({}, len(state.shards))


def owned_shards(state: _state.SchedulerState) -> mesh.OwnedShards:
    """Return the message that lists the shards that this instance serves."""
    return mesh.OwnedShards(
        shards=tuple(
            (shard.name, shard.epoch) for shard in state.shards.values()
        ),
        draining=state.draining,
    )


def discard_former_shards(state: _state.SchedulerState) -> None:
    """Discard released shards whose retention time is over."""
    oldest = time.monotonic() - FORMER_RETENTION_S
    for name, (released_at, _) in list(state.former.items()):
        if released_at < oldest:
            del state.former[name]


async def _activate(
    state: _state.SchedulerState, message: coordination.ShardAcquired
) -> None:
    """Take a shard over, retrying failures while this instance owns it.

    A shard that cannot be recovered must not stop the other shards. Handing
    it over would not help, as recovery would fail at the next owner too.
    """
    started = time.monotonic()
    failures = 0
    while True:
        try:
            shard = await _open_shard(state, message)
            break
        except errors.DeposedError as error:
            LOG.warning("shard %s is not taken over: %s", message.shard, error)
            return
        except Exception:
            failures += 1
            LOG.exception("the takeover of shard %s failed", message.shard)
            await asyncio.sleep(
                queueing.delay_s(
                    failures,
                    random.Random(),
                    base_s=TAKEOVER_RETRY_S,
                    limit_s=TAKEOVER_RETRY_LIMIT_S,
                )
            )
    state.shards[message.shard] = shard
    state.former.pop(message.shard, None)
    state.activations.pop(message.shard, None)
    LOG.info(
        "shard %s is served",
        message.shard,
        epoch=message.epoch,
        takeover_s=round(time.monotonic() - started, 3),
    )
    announce_shards(state)


async def _open_shard(
    state: _state.SchedulerState, message: coordination.ShardAcquired
) -> _state.Shard:
    recovery, journal = await _journals.open_journal(
        shard=message.shard,
        epoch=message.epoch,
        store=state.store,
        bucket=state.bucket,
        metrics=state.metrics,
        make_write_id=functools.partial(next, state.write_ids),
    )
    make_shard = (
        _pools.make_shard
        if model.is_pool(message.shard)
        else _requests.make_shard
    )
    try:
        return make_shard(state, message, recovery, journal)
    except Exception:
        _journals.close(journal)
        raise


async def _release(
    state: _state.SchedulerState, message: coordination.ShouldRelease
) -> None:
    activation = state.activations.get(message.shard)
    if activation is not None:
        await asyncio.wait([activation], timeout=FLUSH_WAIT_S)
    shard = state.shards.pop(message.shard, None)
    residual: dict[str, tuple[float, ...]] = {}
    if shard is not None:
        LOG.info("shard %s is handed over", shard.name, to=message.to)
        state.former[shard.name] = (time.monotonic(), shard)
        shard.stop()
        announce_shards(state)
        await _wait_until(lambda: not shard.in_flight(), HANDOVER_WAIT_S)
        await _wait_until(
            lambda: _journals.is_idle(shard.journal), FLUSH_WAIT_S
        )
        residual = shard.residual()
        _journals.close(shard.journal)
    _membership.feed(
        state,
        coordination.ReleaseRequested(shard=message.shard, residual=residual),
    )


async def _wait_until(
    condition: collections.abc.Callable[[], bool], limit_s: float
) -> None:
    deadline = time.monotonic() + limit_s
    while not condition() and time.monotonic() < deadline:
        await asyncio.sleep(POLL_S)
