"""Polls worker agents for reports and sends them commands."""

import asyncio
import collections.abc
import random
import time

from chestnuttide import errors
from chestnuttide import jobs
from chestnuttide import model
from chestnuttide import platform
from chestnuttide import queueing
from chestnuttide.scheduler import _pool_state
from chestnuttide.scheduler import _state
from chestnuttide import telemetry

# Bounds of the delay before an unresponsive worker is polled again.
POLL_RETRY_S = 0.2
POLL_RETRY_LIMIT_S = 2.0
# Interval of checks whether this instance may act for the shard again.
NOT_OWNER_DELAY_S = 0.05
# One poll in this many requests all reports even if nothing has changed,
# because they carry resource usage. Reports of 24 tasks take some 4 KB.
FULL_REPORT_POLLS = 5

LOG = telemetry.make_logger("pool")


async def start_tasks(
    shard: _pool_state.PoolShard,
    link: _pool_state.WorkerLink,
    starts: list[jobs.StartTask],
) -> None:
    """Send a worker the start commands of one loop iteration."""
    shard.starting += 1
    sent_at = time.monotonic()
    outcomes: dict[model.Attempt, jobs.StartOutcome] = {}
    default = jobs.StartOutcome.UNSENT
    try:
        if _state.may_act(shard.daemon, shard.name):
            answers = await shard.daemon.agents.start(
                link.address,
                shard.epoch,
                starts[0].lease_s,
                [_to_start(each) for each in starts],
            )
            default = jobs.StartOutcome.UNANSWERED
            outcomes = {
                each.attempt: jobs.StartOutcome(each.outcome)
                for each in answers
            }
    except errors.DeposedError:
        default = jobs.StartOutcome.STALE_EPOCH
    except errors.PlatformError as error:
        default = (
            jobs.StartOutcome.UNANSWERED
            if error.sent
            else jobs.StartOutcome.UNSENT
        )
    finally:
        shard.starting -= 1
    for each in starts:
        shard.feed(
            jobs.StartResult(
                worker_id=link.worker_id,
                attempt=each.attempt,
                outcome=outcomes.get(each.attempt, default),
                sent_at=sent_at,
            ),
        )


def _to_start(start: jobs.StartTask) -> platform.TaskStart:
    return platform.TaskStart(
        attempt=start.attempt,
        resources=start.resources,
        payload=start.payload,
    )


async def stop_tasks(
    shard: _pool_state.PoolShard,
    link: _pool_state.WorkerLink,
    attempts: list[model.Attempt],
    checkpoint: bool,
) -> None:
    """Send a worker the command to stop attempts."""
    await _send_command(
        shard,
        lambda: shard.daemon.agents.stop(
            link.address, shard.epoch, attempts, checkpoint
        ),
    )


async def throttle_task(
    shard: _pool_state.PoolShard, output: jobs.ThrottleTask
) -> None:
    """Send a worker the command to throttle an attempt."""
    link = shard.links.get(output.worker_id)
    if link is None:
        return
    await _send_command(
        shard,
        lambda: shard.daemon.agents.throttle(
            link.address, shard.epoch, [output.attempt], output.share
        ),
    )


async def _send_command(
    shard: _pool_state.PoolShard,
    call: collections.abc.Callable[[], collections.abc.Awaitable[None]],
) -> None:
    """Send a command; if it is lost, the next poll reply corrects that."""
    if not _state.may_act(shard.daemon, shard.name):
        return
    try:
        await call()
    except (errors.PlatformError, errors.DeposedError) as error:
        LOG.info("a worker did not accept a command: %s", error)


async def _poll_loop(
    shard: _pool_state.PoolShard, link: _pool_state.WorkerLink
) -> None:
    """Poll the worker and renew its leases until the shard is released."""
    after = 0
    failed_polls = 0
    poll_count = 0
    rng = random.Random()
    poll_s = shard.daemon.settings.coordination.worker_sync_s
    # The first poll returns at once, since its reply lists the running tasks.
    wait_s = 0.0
    while not shard.released:
        if not (
            _state.may_act(shard.daemon, shard.name)
            and jobs.may_sync(shard.pool, link.worker_id)
        ):
            await asyncio.sleep(NOT_OWNER_DELAY_S)
            continue
        lease_s = shard.daemon.config.cell_config.pool.task_lease_s
        sent_at = time.monotonic()
        shard.feed(jobs.SyncSent(worker_id=link.worker_id, lease_s=lease_s))
        acknowledged, link.acknowledged = link.acknowledged, []
        try:
            result = await shard.daemon.agents.sync(
                link.address,
                shard.epoch,
                lease_s,
                acknowledged,
                wait_s,
                after,
                "" if poll_count % FULL_REPORT_POLLS == 0 else link.digest,
            )
        except (errors.PlatformError, errors.DeposedError) as error:
            link.acknowledged = acknowledged + link.acknowledged
            failed_polls += 1
            wait_s = 0.0
            poll_count = 0
            received = getattr(error, "sent", False)
            shard.feed(
                jobs.SyncFailed(
                    worker_id=link.worker_id,
                    sent_at=sent_at,
                    received=received,
                ),
            )
            await asyncio.sleep(
                queueing.delay_s(
                    failed_polls,
                    rng,
                    base_s=POLL_RETRY_S,
                    limit_s=POLL_RETRY_LIMIT_S,
                )
            )
            continue
        failed_polls = 0
        poll_count += 1
        if result.reports is not None:
            link.reports = result.reports
        link.digest = result.digest
        wait_s = poll_s
        after = result.sequence
        shard.feed(
            jobs.SyncReport(
                worker_id=link.worker_id,
                reports=link.reports,
                sent_at=sent_at,
            ),
        )


def update_link(
    shard: _pool_state.PoolShard, instance: model.Instance
) -> None:
    """Start, update or end the polling of a worker."""
    link = shard.links.get(instance.instance_id)
    if instance.state is model.InstanceState.GONE:
        if link is not None and link.task is not None:
            link.task.cancel()
            del shard.links[instance.instance_id]
        return
    if link is None:
        link = _pool_state.WorkerLink(
            worker_id=instance.instance_id, address=instance.address
        )
        shard.links[link.worker_id] = link
        link.task = _state.start_task(shard.daemon, _poll_loop(shard, link))
    link.address = instance.address
