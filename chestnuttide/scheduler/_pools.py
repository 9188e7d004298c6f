"""Runs a worker pool: feeds its filter and carries out the outputs."""

import asyncio
import collections.abc
import functools
import random
import time

from chestnuttide import coordination
from chestnuttide import jobs
from chestnuttide import model
from chestnuttide.scheduler import _journals
from chestnuttide.scheduler import _pool_calls
from chestnuttide.scheduler import _pool_state
from chestnuttide.scheduler import _state
from chestnuttide.scheduler import _worker_links
from chestnuttide import telemetry

LOG = telemetry.make_logger("pool")


def make_shard(
    daemon: _state.SchedulerState,
    acquired: coordination.ShardAcquired,
    recovery: coordination.Recovery,
    journal: _journals.Journal,
) -> _state.Shard:
    """Return a shard that was taken over, ready to serve calls.

    Parameters
    ----------
    daemon : SchedulerState
        The daemon's state.
    acquired : ShardAcquired
        Shard name, epoch and previous owner of the takeover.
    recovery : Recovery
        Snapshot and events that the former owners stored.
    journal : Journal
        The open journal.
    """
    pool = jobs.PoolState(
        document=daemon.config.cell_config, rng=random.Random()
    )
    shard = _pool_state.PoolShard(
        daemon=daemon,
        name=acquired.shard,
        epoch=acquired.epoch,
        journal=journal,
        pool=pool,
        run_pool=jobs.make_pool_filter(state=pool),
    )
    shard.feed = functools.partial(_feed, shard)
    journal.take_snapshot = lambda: jobs.encode_snapshot(
        pool, time.monotonic()
    )
    running = _state.Shard(
        name=acquired.shard,
        epoch=acquired.epoch,
        journal=journal,
        handle_message=functools.partial(_pool_calls.handle_message, shard),
        tick=functools.partial(_tick, shard),
        put_config=lambda cell: _feed(
            shard, jobs.ConfigChanged(document=cell)
        ),
        put_instances=functools.partial(_put_instances, shard),
        put_leaving=lambda target_id: None,
        drop_connection=lambda connection: None,
        stop=functools.partial(_stop, shard),
        in_flight=lambda: shard.starting,
        residual=dict,
        waiting=lambda: pool.waiting_tasks,
        describe=functools.partial(_pool_calls.describe, shard),
    )
    _put_instances(shard, list(daemon.instances.values()))
    _feed(
        shard,
        jobs.Recovered(
            snapshot=recovery.snapshot or b"",
            events=recovery.events,
            clean=acquired.clean,
        ),
    )
    return running


def _feed(shard: _pool_state.PoolShard, message: object) -> None:
    started = time.monotonic()
    outputs = shard.run_pool(message, started)
    placed = 0
    for output in outputs:
        placed += isinstance(output, jobs.Placed)
        _carry_out(shard, output)
    if not shard.continue_scheduled and jobs.is_busy(shard.pool, started):
        # Long planning is split into short steps so that the event loop
        # can handle other messages in between.
        shard.continue_scheduled = True
        asyncio.get_running_loop().call_soon(_continue, shard)
    if placed:
        shard.daemon.metrics.placement_seconds.observe(
            {}, (time.monotonic() - started) / placed
        )


def _continue(shard: _pool_state.PoolShard) -> None:
    shard.continue_scheduled = False
    if not shard.released:
        _feed(shard, jobs.Tick())


def _tick(shard: _pool_state.PoolShard) -> None:
    grace_s = shard.daemon.settings.coordination.store_grace_s
    waited_s = time.monotonic() - shard.journal_progress_at
    stalled = shard.pending_events > 0 and waited_s > grace_s
    if stalled != shard.stalled:
        shard.stalled = stalled
        LOG.warning("the journal %s", "stalls" if stalled else "commits again")
        _feed(shard, jobs.JournalStalled(stalled=stalled))
    _feed(shard, jobs.Tick())


def _carry_out(shard: _pool_state.PoolShard, output: object) -> None:
    metrics = shard.daemon.metrics
    match output:
        case jobs.StartTask():
            _queue_command(shard, output)
        case jobs.StopTask():
            _queue_command(shard, output)
        case jobs.ThrottleTask():
            _state.start_task(
                shard.daemon, _worker_links.throttle_task(shard, output)
            )
        case jobs.AcknowledgeEnd():
            link = shard.links.get(output.worker_id)
            if link is not None:
                link.acknowledged.append(output.attempt)
        case jobs.AppendEvent():
            _append(shard, output)
        case jobs.JobAccepted():
            document = {"id": output.job_id, "state": "queued"}
            _pool_calls.reply(
                output.token, _pool_calls.HTTP_ACCEPTED, document
            )
        case jobs.JobRefused():
            _pool_calls.refuse(shard, output.token, output.error)
        case jobs.JobCancelled():
            document = {"id": output.job_id, "state": output.state.value}
            _pool_calls.reply(output.token, _pool_calls.HTTP_OK, document)
        case jobs.Placed():
            telemetry.observe_wait(
                metrics, "task", output.wait_s, urgent=output.urgent
            )
        case jobs.Retried():
            telemetry.count_retry(metrics, output.reason)
        case jobs.Refused():
            telemetry.count_refusal(metrics, output.reason)
        case jobs.Deposed():
            # The shard's record shows the new owner soon; until then workers
            # reject this instance's commands.
            LOG.warning("a worker has seen a higher epoch", shard=shard.name)
        case _:
            pass


def _append(shard: _pool_state.PoolShard, output: jobs.AppendEvent) -> None:
    if shard.pending_events == 0:
        shard.journal_progress_at = time.monotonic()
    shard.pending_events += 1

    def on_durable() -> None:
        shard.pending_events -= 1
        shard.journal_progress_at = time.monotonic()
        shard.durable_tokens.append(output.token)
        _flush_soon(shard)

    _journals.append(shard.journal, output.event, on_durable)


def _queue_command(
    shard: _pool_state.PoolShard, output: jobs.StartTask | jobs.StopTask
) -> None:
    link = shard.links.get(output.worker_id)
    if link is None:
        return
    if isinstance(output, jobs.StartTask):
        link.starts.append(output)
    else:
        link.stops.append(output)
    _flush_soon(shard)


def _flush_soon(shard: _pool_state.PoolShard) -> None:
    """Schedule a flush that batches this loop iteration's commands."""
    if not shard.flush_scheduled:
        shard.flush_scheduled = True
        asyncio.get_running_loop().call_soon(_flush, shard)


def _flush(shard: _pool_state.PoolShard) -> None:
    shard.flush_scheduled = False
    if shard.durable_tokens:
        tokens, shard.durable_tokens = tuple(shard.durable_tokens), []
        _feed(shard, jobs.JournalDurable(tokens=tokens))
    for link in list(shard.links.values()):
        if link.starts:
            starts, link.starts = link.starts, []
            _state.start_task(
                shard.daemon, _worker_links.start_tasks(shard, link, starts)
            )
        if link.stops:
            stops, link.stops = link.stops, []
            for checkpoint in (False, True):
                attempts = [
                    each.attempt
                    for each in stops
                    if each.checkpoint == checkpoint
                ]
                if attempts:
                    _state.start_task(
                        shard.daemon,
                        _worker_links.stop_tasks(
                            shard, link, attempts, checkpoint
                        ),
                    )


def _put_instances(
    shard: _pool_state.PoolShard,
    instances: collections.abc.Sequence[model.Instance],
) -> None:
    pools = shard.daemon.config.cell_config.pool.pools
    pool_workers = tuple(
        each
        for each in instances
        if each.kind is model.InstanceKind.WORKER
        and model.pool_shard(each.instance_id, pools) == shard.name
    )
    if not pool_workers:
        return
    for each in pool_workers:
        _worker_links.update_link(shard, each)
    _feed(shard, jobs.WorkersChanged(instances=pool_workers))


def _stop(shard: _pool_state.PoolShard) -> None:
    _feed(shard, jobs.Stopping())
    shard.released = True
    for link in shard.links.values():
        if link.task is not None:
            link.task.cancel()
