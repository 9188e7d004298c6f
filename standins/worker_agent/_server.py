"""HTTP server of the worker agent stand-in."""

import asyncio
import collections
import collections.abc
import random
import time
import typing

import attrs

from chestnuttide import errors
from chestnuttide import model
from chestnuttide.platform import _worker_agent_wire
from standins import _faults
from standins import _serving
from standins.worker_agent import _state

# Kinds of calls whose responses `drop_answers` drops by default.
_DROPPED_KINDS: typing.Final[tuple[str, ...]] = ("start",)


@attrs.define(kw_only=True)
class Endpoint:
    """A worker with its faults, call counts and timer.

    Attributes
    ----------
    state : State
        State of the worker.
    faults : Faults
        Active faults; `silent` stands for a partition.
    refuse : bool
        Whether start calls are refused with 503.
    rng : Random
        Decides which responses are dropped.
    counts : Counter
        Number of calls by kind.
    timer : TimerHandle or None
        Timer for the next scheduled end of an attempt.
    changed : Event
        Set and replaced when the state or the faults change.
    """

    state: _state.State
    faults: _faults.Faults = attrs.Factory(
        lambda: _faults.Faults(drop_kinds=list(_DROPPED_KINDS))
    )
    refuse: bool = False
    rng: random.Random = attrs.Factory(lambda: random.Random(0))
    counts: collections.Counter[str] = attrs.Factory(collections.Counter)
    timer: asyncio.TimerHandle | None = None
    changed: asyncio.Event = attrs.Factory(asyncio.Event)


class CallHandler(_serving.Handler):
    """Handler for one kind of call."""

    def initialize(self, endpoint: Endpoint, kind: str) -> None:
        """Store the worker and the kind of call."""
        self._endpoint = endpoint
        self._kind = kind

    async def post(self) -> None:
        """Execute the call, subject to the active faults."""
        endpoint, kind = self._endpoint, self._kind
        endpoint.counts[kind] += 1
        call_faults = _faults.draw_call_faults(
            endpoint.faults, kind, "", endpoint.rng
        )
        if call_faults.block:
            await self._block_until_cleared()
            return
        if call_faults.delay_s:
            await asyncio.sleep(call_faults.delay_s)
        if call_faults.refuse or (endpoint.refuse and kind == "start"):
            self.reply(503, b'{"error":{"code":"refused"}}')
            return
        try:
            status, body = await _CALLS[kind](endpoint, self.request.body)
        except errors.ProtocolError as error:
            status, body = 400, error.message.encode()
        if endpoint.faults.silent:
            # The partition started while a sync was waiting.
            await self._block_until_cleared()
        elif call_faults.drop_response:
            self.hang_up()
        else:
            self.reply(status, body)

    async def _block_until_cleared(self) -> None:
        while self._endpoint.faults.silent:
            await self._endpoint.changed.wait()
        self.hang_up()


def control(endpoint: Endpoint, fields: dict[str, typing.Any]) -> None:
    """Set faults of the worker.

    Parameters
    ----------
    endpoint : Endpoint
        The worker.
    fields : dict
        ``fail_all``, ``refuse``, ``partition`` (calls have no effect and get
        no response), ``delay_s`` (before calls take effect), ``drop_answers``
        (to start calls, or to `drop_kinds`), ``down``, and the commands
        ``kill_all``, ``restart`` (loses all memory) and ``reset`` (clears all
        faults).
    """
    changes = dict(fields)
    now = time.monotonic()
    if changes.pop("reset", False):
        endpoint.faults = _faults.Faults(drop_kinds=list(_DROPPED_KINDS))
        endpoint.refuse = endpoint.state.fail_all = False
    if changes.pop("kill_all", False):
        _state.kill_all(endpoint.state, now)
    if changes.pop("restart", False):
        _state.restart(endpoint.state, now)
    endpoint.state.fail_all = changes.pop("fail_all", endpoint.state.fail_all)
    endpoint.refuse = changes.pop("refuse", endpoint.refuse)
    for name, fault in (("partition", "silent"), ("delay_s", "slow_s")):
        if name in changes:
            changes[fault] = changes.pop(name)
    _faults.update(endpoint.faults, changes)
    _notify_waiting(endpoint)


def evidence(endpoint: Endpoint) -> dict[str, typing.Any]:
    """Return the worker's observations, call counts and active faults."""
    return {
        **_state.evidence(endpoint.state, time.monotonic()),
        "counts": dict(endpoint.counts),
        "switches": endpoint.faults,
        "refuse": endpoint.refuse,
        "fail_all": endpoint.state.fail_all,
    }


def listen(*, port: int, endpoint: Endpoint) -> _serving.Standin:
    """Serve a worker agent on a loopback port; 0 picks a free one."""
    endpoint.state.wall_offset_s = time.time() - time.monotonic()
    standin = _serving.listen(
        name=endpoint.state.worker_id,
        port=port,
        routes=[
            (path, CallHandler, {"endpoint": endpoint, "kind": kind})
            for kind, path in (
                ("start", _worker_agent_wire.START_PATH),
                ("sync", _worker_agent_wire.SYNC_PATH),
                ("stop", _worker_agent_wire.STOP_PATH),
                ("throttle", _worker_agent_wire.THROTTLE_PATH),
            )
        ],
        control=lambda fields: control(endpoint, fields),
        evidence=lambda _query: evidence(endpoint),
    )

    def close() -> None:
        if endpoint.timer is not None:
            endpoint.timer.cancel()

    standin.close = close
    return standin


def make_endpoint(
    worker_id: str,
    capacity: model.Resources,
    checkpoints: dict[_state.TaskKey, float] | None = None,
) -> Endpoint:
    """Return a worker; workers that get the same dict share checkpoints."""
    return Endpoint(
        state=_state.State(
            worker_id=worker_id,
            capacity=capacity,
            checkpoints={} if checkpoints is None else checkpoints,
        )
    )


def main() -> None:
    """Run the stand-in process."""
    parser = _serving.make_parser(
        "Stand-in for worker agents on consecutive ports. The workers of one"
        " process share checkpoints."
    )
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument(
        "--first-id",
        default="worker-1",
        help="id of the first worker, <name>-<number>",
    )
    parser.add_argument("--cpu-millis", type=int, default=16_000)
    parser.add_argument("--memory-mb", type=int, default=32_000)
    parser.add_argument("--accelerators", type=int, default=0)
    arguments = parser.parse_args()
    capacity = model.Resources(
        cpu_millis=arguments.cpu_millis,
        memory_mb=arguments.memory_mb,
        accelerators=arguments.accelerators,
    )

    def start() -> list[_serving.Standin]:
        checkpoints: dict[_state.TaskKey, float] = {}
        return [
            listen(
                port=arguments.port and arguments.port + offset,
                endpoint=make_endpoint(worker_id, capacity, checkpoints),
            )
            for offset, worker_id in enumerate(
                _serving.make_ids(arguments.first_id, arguments.count)
            )
        ]

    _serving.run(arguments.control_port, start)


async def _start(endpoint: Endpoint, body: bytes) -> tuple[int, bytes]:
    call = _worker_agent_wire.decode_start(body)
    if not _accept_epoch(endpoint, call.epoch):
        return _reply_stale_epoch(endpoint)
    outcomes = _state.start(endpoint.state, call, time.monotonic())
    _notify_waiting(endpoint)
    return 200, _worker_agent_wire.encode_outcomes(outcomes)


async def _sync(endpoint: Endpoint, body: bytes) -> tuple[int, bytes]:
    call = _worker_agent_wire.decode_sync(body)
    if not _accept_epoch(endpoint, call.epoch):
        return _reply_stale_epoch(endpoint)
    now = time.monotonic()
    deadline = now + call.wait_s
    _state.sync(endpoint.state, call, now)
    _set_timer(endpoint)
    # A sequence number above the worker's own dates from before its restart,
    # so the call returns at once.
    while endpoint.state.sequence == call.after and now < deadline:
        try:
            async with asyncio.timeout(deadline - now):
                await endpoint.changed.wait()
        except TimeoutError:
            break
        if call.epoch < endpoint.state.epoch:
            return _reply_stale_epoch(endpoint)
        now = time.monotonic()
    result = _state.reports(endpoint.state, time.monotonic(), call.known)
    return 200, _worker_agent_wire.encode_sync_result(result)


async def _stop(endpoint: Endpoint, body: bytes) -> tuple[int, bytes]:
    call = _worker_agent_wire.decode_stop(body)
    if not _accept_epoch(endpoint, call.epoch):
        return _reply_stale_epoch(endpoint)
    _state.stop(endpoint.state, call, time.monotonic())
    _notify_waiting(endpoint)
    return 200, b"{}"


async def _throttle(endpoint: Endpoint, body: bytes) -> tuple[int, bytes]:
    call = _worker_agent_wire.decode_throttle(body)
    if not _accept_epoch(endpoint, call.epoch):
        return _reply_stale_epoch(endpoint)
    _state.throttle(endpoint.state, call, time.monotonic())
    _notify_waiting(endpoint)
    return 200, b"{}"


_CALLS: typing.Final[
    dict[
        str,
        collections.abc.Callable[
            [Endpoint, bytes], collections.abc.Awaitable[tuple[int, bytes]]
        ],
    ]
] = {"start": _start, "sync": _sync, "stop": _stop, "throttle": _throttle}


def _accept_epoch(endpoint: Endpoint, epoch: int) -> bool:
    before = endpoint.state.epoch
    accepted = _state.accept_epoch(endpoint.state, epoch)
    if endpoint.state.epoch != before:
        _notify_waiting(endpoint)
    return accepted


def _reply_stale_epoch(endpoint: Endpoint) -> tuple[int, bytes]:
    return 409, _worker_agent_wire.encode_stale_epoch(endpoint.state.epoch)


def _notify_waiting(endpoint: Endpoint) -> None:
    endpoint.changed.set()
    endpoint.changed = asyncio.Event()
    _set_timer(endpoint)


def _set_timer(endpoint: Endpoint) -> None:
    if endpoint.timer is not None:
        endpoint.timer.cancel()
        endpoint.timer = None
    due = _state.next_end_time(endpoint.state)
    if due is not None:
        endpoint.timer = asyncio.get_running_loop().call_later(
            max(0.0, due - time.monotonic()), _on_timer, endpoint
        )


def _on_timer(endpoint: Endpoint) -> None:
    _state.advance(endpoint.state, time.monotonic())
    _notify_waiting(endpoint)
