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
class Endpoint:
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

    def initialize(self, endpoint: Endpoint, kind: str) -> None:
        """Keep the worker and the kind of call."""
        self._endpoint = endpoint
        self._kind = kind

    async def post(self) -> None:
        """Carry the call out under the faults in force."""
        endpoint, kind = self._endpoint, self._kind
        endpoint.counts[kind] += 1
        verdict = _faults.judge(endpoint.faults, kind, "", endpoint.rng)
        if verdict.hold:
            await self._hold()
            return
        if verdict.delay_s:
            await asyncio.sleep(verdict.delay_s)
        if verdict.refuse or (endpoint.refuse and kind == "start"):
            self.reply(503, b'{"error":{"code":"refused"}}')
            return
        try:
            status, body = await _CALLS[kind](endpoint, self.request.body)
        except errors.ProtocolError as error:
            status, body = 400, error.message.encode()
        if endpoint.faults.silent:
            # The partition began while a sync was waiting.
            await self._hold()
        elif verdict.drop:
            self.hang_up()
        else:
            self.reply(status, body)

    async def _hold(self) -> None:
        while self._endpoint.faults.silent:
            await self._endpoint.changed.wait()
        self.hang_up()


def control(endpoint: Endpoint, fields: dict[str, typing.Any]) -> None:
    """Set faults.

    Parameters
    ----------
    endpoint : Endpoint
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
        endpoint.faults = _faults.Faults(drop_kinds=list(_DROPPED_KINDS))
        endpoint.refuse = endpoint.state.fail_all = False
    if changes.pop("kill_all", False):
        _state.kill_all(endpoint.state, now)
    if changes.pop("restart", False):
        _state.restart(endpoint.state, now)
    endpoint.state.fail_all = changes.pop("fail_all", endpoint.state.fail_all)
    endpoint.refuse = changes.pop("refuse", endpoint.refuse)
    for name, used in (("partition", "silent"), ("delay_s", "slow_s")):
        if name in changes:
            changes[used] = changes.pop(name)
    _faults.update(endpoint.faults, changes)
    _notify(endpoint)


def evidence(endpoint: Endpoint) -> dict[str, typing.Any]:
    """Return the worker's evidence, counts and faults in force."""
    return {
        **_state.evidence(endpoint.state, time.monotonic()),
        "counts": dict(endpoint.counts),
        "switches": endpoint.faults,
        "refuse": endpoint.refuse,
        "fail_all": endpoint.state.fail_all,
    }


def listen(*, port: int, endpoint: Endpoint) -> _serving.Served:
    """Serve a worker agent on a loopback port; 0 picks a free one."""
    endpoint.state.wall_offset_s = time.time() - time.monotonic()
    served = _serving.listen(
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

    served.close = close
    return served


def make_endpoint(
    worker_id: str,
    capacity: model.Resources,
    checkpoints: dict[_state.TaskKey, float] | None = None,
) -> Endpoint:
    """Return a worker; pass one dict of checkpoints to those that share."""
    return Endpoint(
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
                endpoint=make_endpoint(worker_id, capacity, checkpoints),
            )
            for offset, worker_id in enumerate(
                _serving.make_ids(arguments.first_id, arguments.count)
            )
        ]

    _serving.run(arguments.control_port, start)


async def _start(endpoint: Endpoint, body: bytes) -> tuple[int, bytes]:
    call = _worker_agent_wire.decode_start(body)
    if not _accepts(endpoint, call.epoch):
        return _stale(endpoint)
    outcomes = _state.start(endpoint.state, call, time.monotonic())
    _notify(endpoint)
    return 200, _worker_agent_wire.encode_outcomes(outcomes)


async def _sync(endpoint: Endpoint, body: bytes) -> tuple[int, bytes]:
    call = _worker_agent_wire.decode_sync(body)
    if not _accepts(endpoint, call.epoch):
        return _stale(endpoint)
    now = time.monotonic()
    deadline = now + call.wait_s
    _state.sync(endpoint.state, call, now)
    _set_timer(endpoint)
    # A sequence above the worker's own is one from before its restart.
    while endpoint.state.sequence == call.after and now < deadline:
        try:
            async with asyncio.timeout(deadline - now):
                await endpoint.changed.wait()
        except TimeoutError:
            break
        if call.epoch < endpoint.state.epoch:
            return _stale(endpoint)
        now = time.monotonic()
    result = _state.reports(endpoint.state, time.monotonic(), call.known)
    return 200, _worker_agent_wire.encode_sync_result(result)


async def _stop(endpoint: Endpoint, body: bytes) -> tuple[int, bytes]:
    call = _worker_agent_wire.decode_stop(body)
    if not _accepts(endpoint, call.epoch):
        return _stale(endpoint)
    _state.stop(endpoint.state, call, time.monotonic())
    _notify(endpoint)
    return 200, b"{}"


async def _throttle(endpoint: Endpoint, body: bytes) -> tuple[int, bytes]:
    call = _worker_agent_wire.decode_throttle(body)
    if not _accepts(endpoint, call.epoch):
        return _stale(endpoint)
    _state.throttle(endpoint.state, call, time.monotonic())
    _notify(endpoint)
    return 200, b"{}"


_CALLS: typing.Final[
    dict[
        str,
        collections.abc.Callable[
            [Endpoint, bytes], collections.abc.Awaitable[tuple[int, bytes]]
        ],
    ]
] = {"start": _start, "sync": _sync, "stop": _stop, "throttle": _throttle}


def _accepts(endpoint: Endpoint, epoch: int) -> bool:
    before = endpoint.state.epoch
    accepted = _state.accepts(endpoint.state, epoch)
    if endpoint.state.epoch != before:
        _notify(endpoint)
    return accepted


def _stale(endpoint: Endpoint) -> tuple[int, bytes]:
    return 409, _worker_agent_wire.encode_stale_epoch(endpoint.state.epoch)


def _notify(endpoint: Endpoint) -> None:
    endpoint.changed.set()
    endpoint.changed = asyncio.Event()
    _set_timer(endpoint)


def _set_timer(endpoint: Endpoint) -> None:
    if endpoint.timer is not None:
        endpoint.timer.cancel()
        endpoint.timer = None
    due = _state.next_event(endpoint.state)
    if due is not None:
        endpoint.timer = asyncio.get_running_loop().call_later(
            max(0.0, due - time.monotonic()), _fire, endpoint
        )


def _fire(endpoint: Endpoint) -> None:
    _state.advance(endpoint.state, time.monotonic())
    _notify(endpoint)
