"""Runs a request shard: mesh calls, dispatches to targets, journal."""

import asyncio
import functools
import json
import time

import attrs

from chestnuttide import config as config_module
from chestnuttide import coordination
from chestnuttide import errors
from chestnuttide import mesh
from chestnuttide import model
from chestnuttide import pipes
from chestnuttide import platform
from chestnuttide import routing
from chestnuttide.scheduler import _journals
from chestnuttide.scheduler import _state
from chestnuttide import telemetry

LOG = telemetry.make_logger("routing")


@attrs.define(kw_only=True, slots=True, eq=False)
class RequestShard:
    """A request shard that this instance owns.

    Attributes
    ----------
    daemon : SchedulerState
        The daemon's state.
    name : str
        Name of the shard.
    service : str
        Service whose requests the shard routes.
    epoch : int
        Epoch of the ownership.
    journal : Journal
        The shard's journal.
    router : RouterState
        State of the router filter.
    run_router : Filter
        The filter that queues and routes requests.
    calls : dict of int to (Connection, int)
        Connection and mesh call id by the shard's own call number.
    next_call : int
        Number of the next call.
    intents : list of RecordIntent
        Intents to be journalled at the end of this loop iteration.
    outcomes : list of RecordOutcome
        Outcomes to be journalled at the end of this loop iteration.
    next_token : int
        Token of the batch of intents journalled last.
    flush_scheduled : bool
        Whether a flush is scheduled for the next loop iteration.
    released : bool
        Whether this instance has released the shard.
    """

    daemon: _state.SchedulerState
    name: str
    service: str
    epoch: int
    journal: _journals.Journal
    router: routing.RouterState
    run_router: pipes.Filter
    calls: dict[int, tuple[mesh.Connection, int]] = attrs.field(factory=dict)
    next_call: int = 1
    intents: list[routing.RecordIntent] = attrs.field(factory=list)
    outcomes: list[routing.RecordOutcome] = attrs.field(factory=list)
    next_token: int = 0
    flush_scheduled: bool = False
    released: bool = False


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
    now = time.monotonic()
    cell = daemon.config.cell_config
    service = model.service_of(acquired.shard)
    policy = cell.services.get(service, config_module.ServiceConfig())
    router = routing.RouterState(
        shard=acquired.shard,
        policy=policy,
        teams=cell.teams,
        ledger=coordination.recover_ledger(
            recovery.snapshot, recovery.events, now
        ),
        store_grace_s=daemon.settings.coordination.store_grace_s,
        unaccounted_until=(
            0.0 if acquired.clean else now + policy.request_limit_s
        ),
        residual=_residual_times(acquired, now),
    )
    shard = RequestShard(
        daemon=daemon,
        name=acquired.shard,
        service=service,
        epoch=acquired.epoch,
        journal=journal,
        router=router,
        run_router=routing.make_router_filter(state=router),
    )
    journal.take_snapshot = lambda: coordination.encode_ledger(
        router.ledger, time.monotonic()
    )
    running = _state.Shard(
        name=acquired.shard,
        epoch=acquired.epoch,
        journal=journal,
        handle_message=functools.partial(_handle_message, shard),
        tick=functools.partial(_feed, shard, routing.Tick()),
        put_config=functools.partial(_put_config, shard),
        put_instances=functools.partial(_put_instances, shard),
        put_leaving=lambda target_id: _feed(
            shard, routing.TargetLeaving(target_id=target_id)
        ),
        drop_connection=functools.partial(_drop_connection, shard),
        stop=functools.partial(_stop, shard),
        in_flight=lambda: routing.in_flight(router.pool),
        residual=functools.partial(_residual, shard),
        waiting=lambda: len(router.queue.items),
        describe=functools.partial(_describe, shard),
    )
    _put_instances(shard, list(daemon.instances.values()))
    _apply_early_freed_slots(shard)
    for target_id in daemon.leaving:
        running.put_leaving(target_id)
    return running


def _residual_times(
    acquired: coordination.ShardAcquired, now: float
) -> dict[str, list[float]]:
    if not acquired.clean or acquired.previous is None:
        return {}
    return {
        target: [now + seconds for seconds in left]
        for target, left in acquired.previous.residual.items()
    }


def _apply_early_freed_slots(shard: RequestShard) -> None:
    early = shard.daemon.early_freed_slots
    for name, target in [key for key in early if key[0] == shard.name]:
        count = early.pop((name, target))
        _feed(shard, routing.SlotsFreed(target_id=target, count=count))


def _feed(shard: RequestShard, message: object) -> None:
    for output in shard.run_router(message, time.monotonic()):
        _carry_out(shard, output)


def _handle_message(
    shard: RequestShard, connection: mesh.Connection, message: object
) -> None:
    match message:
        case mesh.RequestCall():
            _handle_call(shard, connection, message)
        case mesh.RequestCancel():
            key = (connection, message.call_id)
            for call, origin in shard.calls.items():
                if origin == key:
                    _feed(shard, routing.CancelCall(call=call))
                    break
        case mesh.RequestRead():
            _reply_to_read(shard, connection, message)
        case mesh.SlotsFreed():
            _feed(
                shard,
                routing.SlotsFreed(
                    target_id=message.target, count=message.count
                ),
            )
        case _:
            LOG.warning("unexpected message %s", type(message).__name__)


def _handle_call(
    shard: RequestShard,
    connection: mesh.Connection,
    message: mesh.RequestCall,
) -> None:
    call = shard.next_call
    shard.next_call += 1
    shard.calls[call] = (connection, message.call_id)
    request = model.Request(
        request_id=message.request_id,
        service=message.service,
        team=message.team,
        urgent=message.urgent,
        idempotent=message.idempotent,
        deadline=time.monotonic() + message.timeout_s,
        payload=message.payload,
    )
    _feed(
        shard,
        routing.Submit(call=call, request=request, resend=message.resend),
    )


def _reply_to_read(
    shard: RequestShard,
    connection: mesh.Connection,
    message: mesh.RequestRead,
) -> None:
    answer = shard.router.answers.get(message.request_id)
    if message.want_answer and answer is not None:
        reply = make_request_reply(message.call_id, answer)
        mesh.send_if_possible(connection, reply)
        return
    entry = coordination.request_state(
        shard.router.ledger, message.request_id, time.monotonic()
    )
    if entry is None:
        error = routing.make_error(
            errors.Reason.UNKNOWN_REQUEST,
            "The id is not known, or was used too long ago.",
        )
        reply = make_refusal_reply(message.call_id, error)
    else:
        body = {
            "id": message.request_id,
            "state": entry.state.value,
            "status": entry.status,
        }
        reply = mesh.Reply(
            call_id=message.call_id,
            status=200,
            reason="",
            body=json.dumps(body).encode(),
        )
    mesh.send_if_possible(connection, reply)


def make_request_reply(
    call_id: int, answer: model.Answer
) -> mesh.RequestReply:
    """Return the reply to a request, with its answer or refusal."""
    return mesh.RequestReply(
        call_id=call_id,
        request_id=answer.request_id,
        status=answer.status,
        content_type=answer.content_type,
        body=answer.body,
        reason="" if answer.reason is None else answer.reason.value,
        run_state=answer.run_state.value,
        target=answer.target,
    )


def make_refusal_reply(call_id: int, error: errors.RefusedError) -> mesh.Reply:
    """Return the reply that reports an error."""
    return mesh.Reply(
        call_id=call_id,
        status=errors.HTTP_STATUS[error.reason],
        reason=error.reason.value,
        body=routing.encode_error(error),
    )


def _carry_out(shard: RequestShard, output: object) -> None:
    daemon = shard.daemon
    match output:
        case routing.Dispatch():
            _state.start_task(daemon, _dispatch(shard, output))
        case routing.AnswerCall():
            _answer(shard, output)
        case routing.RecordIntent():
            shard.intents.append(output)
            _flush_soon(shard)
        case routing.RecordOutcome():
            shard.outcomes.append(output)
            _flush_soon(shard)
        case routing.QueryBusy():
            _state.start_task(daemon, _query_busy(shard, output))
        case routing.Retried():
            telemetry.count_retry(daemon.metrics, output.reason)
        case routing.LeavingLearned():
            daemon.on_leaving(output.target_id)
        case routing.Ejected():
            LOG.warning("target %s is ejected", output.target_id)
        case routing.Waited():
            telemetry.observe_wait(
                daemon.metrics,
                "request",
                output.seconds,
                urgent=output.urgent,
            )


def _answer(shard: RequestShard, output: routing.AnswerCall) -> None:
    origin = shard.calls.pop(output.call, None)
    answer = output.answer
    if answer.reason is not None:
        telemetry.count_refusal(shard.daemon.metrics, answer.reason)
    if origin is None:
        return
    connection, call_id = origin
    mesh.send_if_possible(connection, make_request_reply(call_id, answer))


def _flush_soon(shard: RequestShard) -> None:
    """Schedule a flush that batches this iteration's journal events."""
    if not shard.flush_scheduled:
        shard.flush_scheduled = True
        asyncio.get_running_loop().call_soon(_flush, shard)


def _flush(shard: RequestShard) -> None:
    shard.flush_scheduled = False
    outcomes, shard.outcomes = shard.outcomes, []
    if outcomes:
        event = coordination.make_outcome_event(
            (each.request_id, each.status) for each in outcomes
        )
        _journals.append(shard.journal, event)
    intents, shard.intents = shard.intents, []
    # A request may have been refused in the same loop iteration.
    intents = [each for each in intents if each.call in shard.router.calls]
    if not intents:
        return
    shard.next_token += 1
    token = shard.next_token
    event = coordination.make_intent_event(
        shard.router.ledger, [each.request_id for each in intents], token
    )
    _journals.append(
        shard.journal,
        event,
        functools.partial(_intents_durable, shard, intents, token),
    )


def _intents_durable(
    shard: RequestShard, intents: list[routing.RecordIntent], token: int
) -> None:
    for each in intents:
        _feed(shard, routing.IntentRecorded(call=each.call, token=token))


async def _dispatch(shard: RequestShard, output: routing.Dispatch) -> None:
    daemon = shard.daemon
    lease_lost = False

    def may_send() -> bool:
        nonlocal lease_lost
        lease_lost = not _state.may_act(daemon, shard.name)
        return not lease_lost

    result = None
    sent = True
    try:
        answer = await daemon.targets.work(
            output.address,
            output.request_id,
            output.attempt,
            shard.epoch,
            output.payload,
            output.limit_s,
            may_send,
        )
        result = _to_result(answer)
    except errors.PlatformError as error:
        sent = error.sent
    _feed(
        shard,
        routing.DispatchEnded(
            dispatch_id=output.dispatch_id,
            result=result,
            sent=sent,
            lease_lost=lease_lost and not sent,
        ),
    )
    if shard.released:
        daemon.broadcast(
            mesh.SlotsFreed(shard=shard.name, target=output.target_id, count=1)
        )


def _to_result(answer: platform.TargetAnswer) -> routing.TargetResult:
    return routing.TargetResult(
        status=answer.status,
        content_type=answer.content_type,
        body=answer.body,
        leaving=answer.leaving,
    )


async def _query_busy(shard: RequestShard, output: routing.QueryBusy) -> None:
    try:
        busy = await shard.daemon.targets.busy_slots(
            output.address, output.path
        )
    except errors.PlatformError:
        # The slots stay occupied until they time out or the next query.
        return
    _feed(
        shard,
        routing.BusyReported(target_id=output.target_id, busy=busy),
    )


def _put_config(shard: RequestShard, cell: config_module.CellConfig) -> None:
    policy = cell.services.get(shard.service)
    if policy is not None:
        _feed(shard, routing.PolicyChanged(service=policy, teams=cell.teams))


def _put_instances(
    shard: RequestShard, instances: list[model.Instance]
) -> None:
    shards = shard.router.policy.shards
    shard_targets = tuple(
        each
        for each in instances
        if each.kind is model.InstanceKind.TARGET
        and each.service == shard.service
        and model.target_shard(each.service, each.instance_id, shards)
        == shard.name
    )
    if shard_targets:
        _feed(shard, routing.TargetsChanged(instances=shard_targets))


def _drop_connection(shard: RequestShard, connection: mesh.Connection) -> None:
    lost = [
        call for call, origin in shard.calls.items() if origin[0] is connection
    ]
    for call in lost:
        _feed(shard, routing.CancelCall(call=call))
        shard.calls.pop(call, None)


def _stop(shard: RequestShard) -> None:
    _feed(shard, routing.HandOver())
    shard.released = True


def _residual(shard: RequestShard) -> dict[str, tuple[float, ...]]:
    now = time.monotonic()
    until = now + shard.router.policy.request_limit_s
    left = routing.residual(shard.router.pool, until=until)
    return {
        target: tuple(max(0.0, free_at - now) for free_at in times)
        for target, times in left.items()
    }


def _describe(shard: RequestShard) -> dict[str, list[object]]:
    router = shard.router
    return {
        "workers": [],
        "queues": [
            {
                "shard": shard.name,
                "waiting": len(router.queue.items),
                "running": routing.in_flight(router.pool),
            }
        ],
    }
