"""HTTP server of worker agents."""

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

# Calls whose answers are lost when `drop_answers` names no kinds.
_DROPPED_KINDS: typing.Final[tuple[str, ...]] = ("start",)


@attrs.define(kw_only=True)
class Desk:
    """A worker with its faults, counts and timer.

    Attributes
    ----------
    state : State
        The worker.
    faults : Faults
        The faults in force; `silent` is a partition.
    refuse : bool
        Whether starts are refused with 503.
    rng : Random
        Draws which answers are lost.
    counts : Counter
        Calls by kind.
    timer : TimerHandle or None
        Fires at the next end of an attempt.
    changed : Event
        Set and replaced at each event and change of faults.
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
    """One kind of call."""

    def initialize(self, desk: Desk, kind: str) -> None:
        """Keep the worker and the kind of call."""
        self._desk = desk
        self._kind = kind

    async def post(self) -> None:
        """Carry the call out under the faults in force."""
        desk, kind = self._desk, self._kind
        desk.counts[kind] += 1
        verdict = _faults.judge(desk.faults, kind, "", desk.rng)
        if verdict.hold:
            await self._hold()
            return
        if verdict.delay_s:
            await asyncio.sleep(verdict.delay_s)
        if verdict.refuse or (desk.refuse and kind == "start"):
            self.reply(503, b'{"error":{"code":"refused"}}')
            return
        try:
            status, body = await _CALLS[kind](desk, self.request.body)
        except errors.ProtocolError as error:
            status, body = 400, error.message.encode()
        if desk.faults.silent:
            # The partition began while a sync was waiting.
            await self._hold()
        elif verdict.drop:
            self.hang_up()
        else:
            self.reply(status, body)

    async def _hold(self) -> None:
        while self._desk.faults.silent:
            await self._desk.changed.wait()
        self.hang_up()


def control(desk: Desk, fields: dict[str, typing.Any]) -> None:
    """Set faults.

    Parameters
    ----------
    desk : Desk
        The worker.
    fields : dict
        ``fail_all``, ``refuse``, ``partition`` (calls get no answer and have
        no effect), ``delay_s`` (before calls take effect), ``drop_answers``
        (of starts, or of `drop_kinds`), ``down``, and the commands
        ``kill_all``, ``restart`` (memory is lost) and ``reset`` (lifts all
        faults).
    """
    changes = dict(fields)
    now = time.monotonic()
    if changes.pop("reset", False):
        desk.faults = _faults.Faults(drop_kinds=list(_DROPPED_KINDS))
        desk.refuse = desk.state.fail_all = False
    if changes.pop("kill_all", False):
        _state.kill_all(desk.state, now)
    if changes.pop("restart", False):
        _state.restart(desk.state, now)
    desk.state.fail_all = changes.pop("fail_all", desk.state.fail_all)
    desk.refuse = changes.pop("refuse", desk.refuse)
    for name, used in (("partition", "silent"), ("delay_s", "slow_s")):
        if name in changes:
            changes[used] = changes.pop(name)
    _faults.update(desk.faults, changes)
    _notify(desk)


def evidence(desk: Desk) -> dict[str, typing.Any]:
    """Return the worker's evidence, counts and faults in force."""
    return {
        **_state.evidence(desk.state, time.monotonic()),
        "counts": dict(desk.counts),
        "switches": desk.faults,
        "refuse": desk.refuse,
        "fail_all": desk.state.fail_all,
    }


def listen(*, port: int, desk: Desk) -> _serving.Served:
    """Serve a worker agent on a loopback port; 0 picks a free one."""
    desk.state.wall_offset_s = time.time() - time.monotonic()
    served = _serving.listen(
        name=desk.state.worker_id,
        port=port,
        routes=[
            (path, CallHandler, {"desk": desk, "kind": kind})
            for kind, path in (
                ("start", _worker_agent_wire.START_PATH),
                ("sync", _worker_agent_wire.SYNC_PATH),
                ("stop", _worker_agent_wire.STOP_PATH),
                ("throttle", _worker_agent_wire.THROTTLE_PATH),
            )
        ],
        control=lambda fields: control(desk, fields),
        evidence=lambda _query: evidence(desk),
    )

    def close() -> None:
        if desk.timer is not None:
            desk.timer.cancel()

    served.close = close
    return served


def make_desk(
    worker_id: str,
    capacity: model.Resources,
    checkpoints: dict[_state.TaskKey, float] | None = None,
) -> Desk:
    """Return a worker; pass one dict of checkpoints to those that share."""
    return Desk(
        state=_state.State(
            worker_id=worker_id,
            capacity=capacity,
            checkpoints={} if checkpoints is None else checkpoints,
        )
    )


def main() -> None:
    """Run the stand-in."""
    parser = _serving.make_parser(
        "Stand-in for worker agents on consecutive ports. Checkpoints are"
        " shared by the workers of one process."
    )
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument(
        "--first-id", default="worker-1", help="<name>-<number> of the first"
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

    def start() -> list[_serving.Served]:
        checkpoints: dict[_state.TaskKey, float] = {}
        return [
            listen(
                port=arguments.port and arguments.port + offset,
                desk=make_desk(worker_id, capacity, checkpoints),
            )
            for offset, worker_id in enumerate(
                _serving.make_ids(arguments.first_id, arguments.count)
            )
        ]

    _serving.run(arguments.control_port, start)


async def _start(desk: Desk, body: bytes) -> tuple[int, bytes]:
    call = _worker_agent_wire.decode_start(body)
    if not _accepts(desk, call.epoch):
        return _stale(desk)
    outcomes = _state.start(desk.state, call, time.monotonic())
    _notify(desk)
    return 200, _worker_agent_wire.encode_outcomes(outcomes)


async def _sync(desk: Desk, body: bytes) -> tuple[int, bytes]:
    call = _worker_agent_wire.decode_sync(body)
    if not _accepts(desk, call.epoch):
        return _stale(desk)
    now = time.monotonic()
    deadline = now + call.wait_s
    _state.sync(desk.state, call, now)
    _set_timer(desk)
    # A sequence above the worker's own is one from before its restart.
    while desk.state.sequence == call.after and now < deadline:
        try:
            async with asyncio.timeout(deadline - now):
                await desk.changed.wait()
        except TimeoutError:
            break
        if call.epoch < desk.state.epoch:
            return _stale(desk)
        now = time.monotonic()
    result = _state.reports(desk.state, time.monotonic(), call.known)
    return 200, _worker_agent_wire.encode_sync_result(result)


async def _stop(desk: Desk, body: bytes) -> tuple[int, bytes]:
    call = _worker_agent_wire.decode_stop(body)
    if not _accepts(desk, call.epoch):
        return _stale(desk)
    _state.stop(desk.state, call, time.monotonic())
    _notify(desk)
    return 200, b"{}"


async def _throttle(desk: Desk, body: bytes) -> tuple[int, bytes]:
    call = _worker_agent_wire.decode_throttle(body)
    if not _accepts(desk, call.epoch):
        return _stale(desk)
    _state.throttle(desk.state, call, time.monotonic())
    _notify(desk)
    return 200, b"{}"


_CALLS: typing.Final[
    dict[
        str,
        collections.abc.Callable[
            [Desk, bytes], collections.abc.Awaitable[tuple[int, bytes]]
        ],
    ]
] = {"start": _start, "sync": _sync, "stop": _stop, "throttle": _throttle}


def _accepts(desk: Desk, epoch: int) -> bool:
    before = desk.state.epoch
    accepted = _state.accepts(desk.state, epoch)
    if desk.state.epoch != before:
        _notify(desk)
    return accepted


def _stale(desk: Desk) -> tuple[int, bytes]:
    return 409, _worker_agent_wire.encode_stale_epoch(desk.state.epoch)


def _notify(desk: Desk) -> None:
    desk.changed.set()
    desk.changed = asyncio.Event()
    _set_timer(desk)


def _set_timer(desk: Desk) -> None:
    if desk.timer is not None:
        desk.timer.cancel()
        desk.timer = None
    due = _state.next_event(desk.state)
    if due is not None:
        desk.timer = asyncio.get_running_loop().call_later(
            max(0.0, due - time.monotonic()), _fire, desk
        )


def _fire(desk: Desk) -> None:
    _state.advance(desk.state, time.monotonic())
    _notify(desk)
