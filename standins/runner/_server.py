"""HTTP server of the runner stand-in."""

import asyncio
import json
import random
import time
import typing
import weakref

import attrs
from tornado import netutil

from chestnuttide import errors
from chestnuttide.platform import _json_wire
from chestnuttide.platform import _target_wire
from standins import _serving
from standins.runner import _state

STATUS_PATH: typing.Final[str] = "/v1/status"


@attrs.define(kw_only=True)
class RunnerFaults:
    """Faults of a runner, set by ``POST /control``.

    Attributes
    ----------
    leaving : bool
        Whether the runner is leaving.
    say_leaving : bool
        Whether a leaving runner refuses requests with 503 and
        ``X-Leaving: 1``; else it runs them and counts them in
        `runs_after_leaving`.
    delay_s : float
        Delay between the run and the response, in seconds.
    close_after_read : float
        Requests after whose run the connection is closed without a response.
        A value of 1 or more counts down, one below 1 is a probability.
    close_idle : bool
        Whether a connection is closed shortly after each response, without a
        ``Connection: close`` header, unless another request has arrived.
    refuse_connects : bool
        Whether the port is closed; only the control port can reopen it.
    keep_working : bool
        Whether a run continues when its caller disconnects.
    fail : bool
        Whether every request gets status 500.
    """

    leaving: bool = False
    say_leaving: bool = True
    delay_s: float = 0.0
    close_after_read: float = 0.0
    close_idle: bool = False
    refuse_connects: bool = False
    keep_working: bool = True
    fail: bool = False


@attrs.define(kw_only=True)
class Endpoint:
    """A runner with its faults.

    Attributes
    ----------
    state : State
        State of the runner.
    faults : RunnerFaults
        Active faults.
    rng : Random
        Decides which connections are closed.
    standin : Standin or None
        Its running server.
    listening : bool
        Whether its port accepts connections.
    last_disconnect_events : WeakKeyDictionary
        Disconnect event of the last request on each connection.
    """

    state: _state.State
    faults: RunnerFaults = attrs.Factory(RunnerFaults)
    rng: random.Random = attrs.Factory(lambda: random.Random(0))
    standin: _serving.Standin | None = None
    listening: bool = True
    last_disconnect_events: weakref.WeakKeyDictionary = attrs.Factory(
        weakref.WeakKeyDictionary
    )


class WorkHandler(_serving.Handler):
    """Handler for requests to the service."""

    def initialize(self, endpoint: Endpoint) -> None:
        """Store the runner."""
        self._endpoint = endpoint
        self._disconnected = asyncio.Event()

    def on_connection_close(self) -> None:
        """Record that the caller has disconnected."""
        self._disconnected.set()

    async def post(self) -> None:
        """Run a request, subject to the active faults."""
        endpoint, headers = self._endpoint, self.request.headers
        state, faults = endpoint.state, endpoint.faults
        stream = self.request.connection.stream
        endpoint.last_disconnect_events[stream] = self._disconnected
        if faults.leaving and faults.say_leaving:
            state.refused_leaving += 1
            self.set_header(_target_wire.LEAVING_HEADER, "1")
            self.set_header("Connection", "close")
            self.reply(503, b'{"error":{"code":"leaving"}}')
            return
        request_id = _target_wire.decode_request_id(
            headers.get(_target_wire.REQUEST_ID_HEADER, "")
        )
        try:
            payload = _json_wire.load(self.request.body or b"{}")
            attempt = int(headers.get(_target_wire.ATTEMPT_HEADER, "1"))
            epoch = int(headers.get(_target_wire.EPOCH_HEADER, "0"))
        except (errors.ProtocolError, ValueError) as error:
            self.reply(400, json.dumps({"error": str(error)}).encode())
            return
        _state.start_request(state, request_id, epoch, payload, time.time())
        finished = False
        try:
            finished = await self._run(payload)
        finally:
            _state.finish_request(state, finished)
        if not finished or _draw_close(faults, endpoint.rng):
            self.hang_up()
            return
        if faults.delay_s:
            await asyncio.sleep(faults.delay_s)
        if self._disconnected.is_set():
            return
        failed = bool(payload.get("fail", False)) or faults.fail
        size = int(payload.get("size", 0))
        self.reply(
            500 if failed else 200,
            _state.make_response(state, request_id, attempt, size),
        )
        if faults.close_idle:
            await asyncio.sleep(_CLOSE_DELAY_S)
            if (
                endpoint.last_disconnect_events.get(stream)
                is self._disconnected
            ):
                stream.close()

    async def _run(self, payload: dict[str, typing.Any]) -> bool:
        run_s = float(payload.get("run_ms", 0.0)) / 1000.0
        if self._endpoint.faults.keep_working:
            if run_s > 0:
                await asyncio.sleep(run_s)
            return True
        try:
            async with asyncio.timeout(run_s):
                await self._disconnected.wait()
        except TimeoutError:
            return True
        return False


# Delay from a response to the close of its connection, so that the caller can
# read the response first.
_CLOSE_DELAY_S: typing.Final[float] = 0.01


class StatusHandler(_serving.Handler):
    """Handler for status requests."""

    def initialize(self, endpoint: Endpoint) -> None:
        """Store the runner."""
        self._endpoint = endpoint

    def get(self) -> None:
        """Return the number of slots and how many are in use."""
        state = self._endpoint.state
        self.reply(200, _target_wire.encode_status(state.slots, state.busy))


def control(endpoint: Endpoint, fields: dict[str, typing.Any]) -> None:
    """Set faults of the runner.

    Parameters
    ----------
    endpoint : Endpoint
        The runner.
    fields : dict
        Fields of `RunnerFaults`, and the commands ``close_connections``
        (closes all open connections) and ``reset`` (clears all faults).
    """
    changes = dict(fields)
    if changes.pop("reset", False):
        endpoint.faults = RunnerFaults()
    close_connections = changes.pop("close_connections", False)
    known = {field.name for field in attrs.fields(RunnerFaults)}
    unknown = sorted(set(changes) - known)
    if unknown:
        raise errors.ProtocolError(
            message=f"Unknown control fields: {', '.join(unknown)}.",
            remedy=f"Use some of: {', '.join(sorted(known))}.",
        )
    for name, value in changes.items():
        setattr(endpoint.faults, name, value)
    if not endpoint.faults.leaving:
        endpoint.state.leaving_since = 0.0
    elif not endpoint.state.leaving_since:
        endpoint.state.leaving_since = time.time()
    _set_listening(endpoint, not endpoint.faults.refuse_connects)
    if close_connections:
        for stream in list(endpoint.standin.server.open_streams):
            stream.close()


def evidence(
    endpoint: Endpoint, query: dict[str, str]
) -> dict[str, typing.Any]:
    """Return the observations; ``ids`` in the query adds request ids."""
    return {
        **_state.evidence(
            endpoint.state,
            len(endpoint.standin.server.open_streams),
            with_ids="ids" in query,
        ),
        "switches": endpoint.faults,
    }


def make_endpoint(runner_id: str) -> Endpoint:
    """Return a runner without faults."""
    return Endpoint(state=_state.State(runner_id=runner_id))


def listen(*, port: int, endpoint: Endpoint) -> _serving.Standin:
    """Serve a runner on a loopback port; 0 picks a free one."""
    standin = _serving.listen(
        name=endpoint.state.runner_id,
        port=port,
        routes=[
            (_target_wire.WORK_PATH, WorkHandler, {"endpoint": endpoint}),
            (STATUS_PATH, StatusHandler, {"endpoint": endpoint}),
        ],
        control=lambda fields: control(endpoint, fields),
        evidence=lambda query: evidence(endpoint, query),
    )
    endpoint.standin = standin
    standin.server.on_open = lambda: _state.record_connections(
        endpoint.state, len(standin.server.open_streams)
    )
    return standin


def main() -> None:
    """Run the stand-in process."""
    parser = _serving.make_parser("Stand-in for runners on consecutive ports.")
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument(
        "--first-id",
        default="runner-1",
        help="id of the first runner, <name>-<number>",
    )
    arguments = parser.parse_args()

    def start() -> list[_serving.Standin]:
        return [
            listen(
                port=arguments.port and arguments.port + offset,
                endpoint=make_endpoint(runner_id),
            )
            for offset, runner_id in enumerate(
                _serving.make_ids(arguments.first_id, arguments.count)
            )
        ]

    _serving.run(arguments.control_port, start)


def _draw_close(faults: RunnerFaults, rng: random.Random) -> bool:
    if faults.close_after_read >= 1:
        faults.close_after_read -= 1
        return True
    return (
        faults.close_after_read > 0 and rng.random() < faults.close_after_read
    )


def _set_listening(endpoint: Endpoint, listening: bool) -> None:
    if listening == endpoint.listening:
        return
    endpoint.listening = listening
    server = endpoint.standin.server
    if listening:
        server.add_sockets(
            netutil.bind_sockets(endpoint.standin.port, _serving.HOST)
        )
    else:
        server.stop()
