"""Driver of a pool of workers: mesh calls, worker agents and the journal."""

import asyncio
import collections.abc
import functools
import json
import random
import time

import attrs

from chestnuttide import coordination
from chestnuttide import errors
from chestnuttide import jobs
from chestnuttide import mesh
from chestnuttide import model
from chestnuttide import pipes
from chestnuttide import placement
from chestnuttide import platform
from chestnuttide import queueing
from chestnuttide.scheduler import _journals
from chestnuttide.scheduler import _requests
from chestnuttide.scheduler import _state
from chestnuttide import telemetry

# Pauses before a worker that did not answer is asked again.
SYNC_RETRY_S = 0.2
SYNC_RETRY_LIMIT_S = 2.0
# Pause while this instance may not act, before it looks again.
NOT_OWNER_PAUSE_S = 0.05

HTTP_ACCEPTED = 202
HTTP_OK = 200

LOG = telemetry.make_logger("pool")


@attrs.define(kw_only=True, slots=True, eq=False)
class WorkerLink:
    """The conversation with one worker.

    Attributes
    ----------
    worker_id : str
        Instance id.
    address : str
        ``ip:port`` of its agent.
    task : asyncio.Task or None
        The sync loop.
    acknowledged : list of Attempt
        Ends to be acknowledged in the next sync.
    starts : list of StartTask
        Starts of this loop iteration.
    stops : list of StopTask
        Stops of this loop iteration.
    """

    worker_id: str
    address: str
    task: asyncio.Task[None] | None = None
    acknowledged: list[model.Attempt] = attrs.field(factory=list)
    starts: list[jobs.StartTask] = attrs.field(factory=list)
    stops: list[jobs.StopTask] = attrs.field(factory=list)


@attrs.define(kw_only=True, slots=True, eq=False)
class PoolShard:
    """A pool of workers and its calls.

    Attributes
    ----------
    daemon : SchedulerState
        The daemon's state.
    name : str
        Name of the shard.
    epoch : int
        Epoch of the ownership.
    journal : Journal
        Its journal.
    pool : PoolState
        State of the pure part.
    run_pool : Filter
        The pure part.
    links : dict of str to WorkerLink
        Workers by instance id.
    starting : int
        Starts that have not ended.
    durable : list of int
        Tokens of events to be reported as durable.
    oldest_append : float
        Time at which the oldest event that is not durable was appended; 0
        if all are.
    unsaved : int
        Events that are not durable.
    stalled : bool
        Whether the journal does not commit.
    flushing : bool
        Whether the end of the loop iteration is waited for.
    continuing : bool
        Whether a step of long work is due in the next loop iteration.
    released : bool
        Whether the shard was given up.
    """

    daemon: _state.SchedulerState
    name: str
    epoch: int
    journal: _journals.Journal
    pool: jobs.PoolState
    run_pool: pipes.Filter
    links: dict[str, WorkerLink] = attrs.field(factory=dict)
    starting: int = 0
    durable: list[int] = attrs.field(factory=list)
    oldest_append: float = 0.0
    unsaved: int = 0
    stalled: bool = False
    flushing: bool = False
    continuing: bool = False
    released: bool = False


def make_shard(
    daemon: _state.SchedulerState,
    acquired: coordination.ShardAcquired,
    recovery: coordination.Recovery,
    journal: _journals.Journal,
) -> _state.Shard:
    """Return the running shard of a takeover.

    Parameters
    ----------
    daemon : SchedulerState
        The daemon's state.
    acquired : ShardAcquired
        The takeover.
    recovery : Recovery
        What the former owners left in the journal.
    journal : Journal
        The open journal.
    """
    pool = jobs.PoolState(
        document=daemon.config.cell_config, rng=random.Random()
    )
    shard = PoolShard(
        daemon=daemon,
        name=acquired.shard,
        epoch=acquired.epoch,
        journal=journal,
        pool=pool,
        run_pool=jobs.make_pool_filter(state=pool),
    )
    journal.take_snapshot = lambda: jobs.encode_snapshot(
        pool, time.monotonic()
    )
    running = _state.Shard(
        name=acquired.shard,
        epoch=acquired.epoch,
        journal=journal,
        take=functools.partial(_take, shard),
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
        describe=functools.partial(_describe, shard),
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


def _feed(shard: PoolShard, message: object) -> None:
    started = time.monotonic()
    outputs = shard.run_pool(message, started)
    placed = 0
    for output in outputs:
        placed += isinstance(output, jobs.Placed)
        _carry_out(shard, output)
    if not shard.continuing and jobs.is_busy(shard.pool, started):
        # Long work is cut into short steps, so that other messages get
        # their turn in between.
        shard.continuing = True
        asyncio.get_running_loop().call_soon(_continue, shard)
    if placed:
        shard.daemon.metrics.placement_seconds.observe(
            {}, (time.monotonic() - started) / placed
        )


def _continue(shard: PoolShard) -> None:
    shard.continuing = False
    if not shard.released:
        _feed(shard, jobs.Tick())


def _tick(shard: PoolShard) -> None:
    grace_s = shard.daemon.settings.coordination.store_grace_s
    waited_s = time.monotonic() - shard.oldest_append
    stalled = shard.unsaved > 0 and waited_s > grace_s
    if stalled != shard.stalled:
        shard.stalled = stalled
        LOG.warning("the journal %s", "stalls" if stalled else "commits")
        _feed(shard, jobs.JournalStalled(stalled=stalled))
    _feed(shard, jobs.Tick())


def _take(
    shard: PoolShard, connection: mesh.Connection, message: object
) -> None:
    match message:
        case mesh.JobSubmit():
            token = (connection, message.call_id)
            job = _to_job(message)
            known = jobs.read_job(shard.pool, job.job_id, time.monotonic())
            if message.resend and known is not None and known.job == job:
                _reply(token, HTTP_ACCEPTED, _describe_job(known))
                return
            _feed(shard, jobs.SubmitJob(token=token, job=job))
        case mesh.JobCancel():
            token = (connection, message.call_id)
            _feed(shard, jobs.CancelJob(token=token, job_id=message.job_id))
        case mesh.JobRead():
            _answer_read(shard, connection, message)
        case _:
            LOG.warning("message %s is not taken", type(message).__name__)


def _to_job(message: mesh.JobSubmit) -> model.Job:
    return model.Job(
        job_id=message.job_id,
        kind=model.JobKind(message.kind),
        team=message.team,
        workload_class=message.workload_class,
        tasks=message.tasks,
        resources=model.Resources(
            cpu_millis=message.cpu_millis,
            memory_mb=message.memory_mb,
            accelerators=message.accelerators,
        ),
        urgent=message.urgent,
        declared_run_s=message.declared_run_s,
        wait_limit_s=message.wait_limit_s,
        payload=message.payload,
    )


_Token = tuple[mesh.Connection, int]


def _reply(token: _Token, status: int, document: object) -> None:
    connection, call_id = token
    mesh.send_if_possible(
        connection,
        mesh.Reply(
            call_id=call_id,
            status=status,
            reason="",
            body=json.dumps(document).encode(),
        ),
    )


def _refuse(
    shard: PoolShard, token: _Token, error: errors.RefusedError
) -> None:
    telemetry.count_refusal(shard.daemon.metrics, error.reason)
    connection, call_id = token
    mesh.send_if_possible(
        connection, _requests.make_refusal_reply(call_id, error)
    )


def _answer_read(
    shard: PoolShard, connection: mesh.Connection, message: mesh.JobRead
) -> None:
    token = (connection, message.call_id)
    if not message.job_id:
        found = jobs.list_jobs(
            shard.pool,
            time.monotonic(),
            team=message.team,
            after=message.after,
        )
        documents = [_describe_job(each) for each in found]
        _reply(token, HTTP_OK, {"jobs": documents})
        return
    view = jobs.read_job(shard.pool, message.job_id, time.monotonic())
    if view is None:
        _refuse(
            shard,
            token,
            errors.RefusedError(
                reason=errors.Reason.UNKNOWN_JOB,
                message=f"There is no job {message.job_id}.",
                remedy="Check the id; ended jobs are kept for a time only.",
            ),
        )
        return
    _reply(token, HTTP_OK, _describe_job(view))


def _carry_out(shard: PoolShard, output: object) -> None:
    metrics = shard.daemon.metrics
    match output:
        case jobs.StartTask():
            _queue_command(shard, output)
        case jobs.StopTask():
            _queue_command(shard, output)
        case jobs.ThrottleTask():
            _state.start_task(shard.daemon, _throttle(shard, output))
        case jobs.AcknowledgeEnd():
            link = shard.links.get(output.worker_id)
            if link is not None:
                link.acknowledged.append(output.attempt)
        case jobs.AppendEvent():
            _append(shard, output)
        case jobs.JobAccepted():
            document = {"id": output.job_id, "state": "queued"}
            _reply(output.token, HTTP_ACCEPTED, document)
        case jobs.JobRefused():
            _refuse(shard, output.token, output.error)
        case jobs.JobCancelled():
            document = {"id": output.job_id, "state": output.state.value}
            _reply(output.token, HTTP_OK, document)
        case jobs.Retried():
            telemetry.count_retry(metrics, output.reason)
        case jobs.Refused():
            telemetry.count_refusal(metrics, output.reason)
        case jobs.Deposed():
            # The shard's record will tell; until then workers refuse.
            LOG.warning("a worker has seen a higher epoch", shard=shard.name)
        case _:
            pass


def _append(shard: PoolShard, output: jobs.AppendEvent) -> None:
    if shard.unsaved == 0:
        shard.oldest_append = time.monotonic()
    shard.unsaved += 1

    def durable() -> None:
        shard.unsaved -= 1
        shard.oldest_append = time.monotonic()
        shard.durable.append(output.token)
        _flush_soon(shard)

    _journals.append(shard.journal, output.event, durable)


def _queue_command(
    shard: PoolShard, output: jobs.StartTask | jobs.StopTask
) -> None:
    link = shard.links.get(output.worker_id)
    if link is None:
        return
    if isinstance(output, jobs.StartTask):
        link.starts.append(output)
    else:
        link.stops.append(output)
    _flush_soon(shard)


def _flush_soon(shard: PoolShard) -> None:
    """Send all commands of one loop iteration together."""
    if not shard.flushing:
        shard.flushing = True
        asyncio.get_running_loop().call_soon(_flush, shard)


def _flush(shard: PoolShard) -> None:
    shard.flushing = False
    if shard.durable:
        tokens, shard.durable = tuple(shard.durable), []
        _feed(shard, jobs.JournalDurable(tokens=tokens))
    for link in list(shard.links.values()):
        if link.starts:
            starts, link.starts = link.starts, []
            _state.start_task(shard.daemon, _start(shard, link, starts))
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
                        _stop_tasks(shard, link, attempts, checkpoint),
                    )


async def _start(
    shard: PoolShard, link: WorkerLink, starts: list[jobs.StartTask]
) -> None:
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
        _feed(
            shard,
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


async def _stop_tasks(
    shard: PoolShard,
    link: WorkerLink,
    attempts: list[model.Attempt],
    checkpoint: bool,
) -> None:
    await _command(
        shard,
        lambda: shard.daemon.agents.stop(
            link.address, shard.epoch, attempts, checkpoint
        ),
    )


async def _throttle(shard: PoolShard, output: jobs.ThrottleTask) -> None:
    link = shard.links.get(output.worker_id)
    if link is None:
        return
    await _command(
        shard,
        lambda: shard.daemon.agents.throttle(
            link.address, shard.epoch, [output.attempt], output.share
        ),
    )


async def _command(
    shard: PoolShard,
    call: collections.abc.Callable[[], collections.abc.Awaitable[None]],
) -> None:
    """Send a command whose loss the next sync report repairs."""
    if not _state.may_act(shard.daemon, shard.name):
        return
    try:
        await call()
    except (errors.PlatformError, errors.DeposedError) as error:
        LOG.info("a worker did not take a command: %s", error)


async def _sync_loop(shard: PoolShard, link: WorkerLink) -> None:
    """Renew the worker's leases and take its reports, until stopped."""
    after = 0
    failures = 0
    rng = random.Random()
    sync_s = shard.daemon.settings.coordination.worker_sync_s
    # The first answer is wanted at once: it tells what runs on the worker.
    wait_s = 0.0
    while not shard.released:
        if not (
            _state.may_act(shard.daemon, shard.name)
            and jobs.may_sync(shard.pool, link.worker_id)
        ):
            await asyncio.sleep(NOT_OWNER_PAUSE_S)
            continue
        lease_s = shard.daemon.config.cell_config.pool.task_lease_s
        sent_at = time.monotonic()
        _feed(shard, jobs.SyncSent(worker_id=link.worker_id, lease_s=lease_s))
        acknowledged, link.acknowledged = link.acknowledged, []
        try:
            result = await shard.daemon.agents.sync(
                link.address,
                shard.epoch,
                lease_s,
                acknowledged,
                wait_s,
                after,
            )
        except (errors.PlatformError, errors.DeposedError) as error:
            link.acknowledged = acknowledged + link.acknowledged
            failures += 1
            wait_s = 0.0
            received = getattr(error, "sent", False)
            _feed(
                shard,
                jobs.SyncFailed(
                    worker_id=link.worker_id,
                    sent_at=sent_at,
                    received=received,
                ),
            )
            await asyncio.sleep(
                queueing.delay_s(
                    failures,
                    rng,
                    base_s=SYNC_RETRY_S,
                    limit_s=SYNC_RETRY_LIMIT_S,
                )
            )
            continue
        failures = 0
        wait_s = sync_s
        after = result.sequence
        _feed(
            shard,
            jobs.SyncReport(
                worker_id=link.worker_id,
                reports=result.reports,
                sent_at=sent_at,
            ),
        )


def _put_instances(
    shard: PoolShard, instances: collections.abc.Sequence[model.Instance]
) -> None:
    pools = shard.daemon.config.cell_config.pool.pools
    mine = tuple(
        each
        for each in instances
        if each.kind is model.InstanceKind.WORKER
        and model.pool_shard(each.instance_id, pools) == shard.name
    )
    if not mine:
        return
    for each in mine:
        _update_link(shard, each)
    _feed(shard, jobs.WorkersChanged(instances=mine))


def _update_link(shard: PoolShard, instance: model.Instance) -> None:
    link = shard.links.get(instance.instance_id)
    if instance.state is model.InstanceState.GONE:
        if link is not None and link.task is not None:
            link.task.cancel()
            del shard.links[instance.instance_id]
        return
    if link is None:
        link = WorkerLink(
            worker_id=instance.instance_id, address=instance.address
        )
        shard.links[link.worker_id] = link
        link.task = _state.start_task(shard.daemon, _sync_loop(shard, link))
    link.address = instance.address


def _stop(shard: PoolShard) -> None:
    _feed(shard, jobs.Stopping())
    shard.released = True
    for link in shard.links.values():
        if link.task is not None:
            link.task.cancel()


def _describe_job(view: jobs.JobView) -> dict[str, object]:
    """Return a job as the callers' interface shows it."""
    job = view.job
    return {
        "id": job.job_id,
        "kind": job.kind.value,
        "team": job.team,
        "workload_class": job.workload_class,
        "urgent": job.urgent,
        "state": view.state.value,
        "reason": view.reason,
        "tasks": job.tasks,
        "tasks_waiting": view.waiting,
        "tasks_running": view.running,
        "tasks_succeeded": view.done,
        "waited_s": round(view.waited_s, 3),
        "workers": view.workers,
    }


def _describe(shard: PoolShard) -> dict[str, list[object]]:
    view = jobs.read_pool(shard.pool)
    cell = shard.pool.cell
    workers = []
    for worker_id in placement.worker_ids(cell):
        instance = shard.pool.workers[worker_id].instance
        capacity = instance.capacity
        reserved = model.subtract(capacity, placement.free_of(cell, worker_id))
        workers.append(
            {
                "worker_id": worker_id,
                "state": instance.state.value,
                "ejected": placement.is_ejected(cell, worker_id),
                "cpu_millis": capacity.cpu_millis,
                "cpu_millis_reserved": reserved.cpu_millis,
                "memory_mb": capacity.memory_mb,
                "memory_mb_reserved": reserved.memory_mb,
                "accelerators": capacity.accelerators,
                "accelerators_reserved": reserved.accelerators,
            }
        )
    return {
        "workers": workers,
        "queues": [
            {
                "shard": shard.name,
                "waiting": view.waiting_tasks,
                "running": view.live_attempts,
            }
        ],
    }
