"""HTTP server of runners."""

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
class Switches:
    """The faults of a runner.

    Attributes
    ----------
    leaving : bool
        Whether it is leaving.
    say_leaving : bool
        Whether it refuses requests with 503 and ``X-Leaving: 1`` then; else
        it runs them and counts them as runs after the mark.
    delay_s : float
        Seconds before an answer, after the run.
    close_after_read : float
        Requests that run and whose connection is closed without an answer:
        a whole number counts down, a fraction below 1 is a probability.
    close_idle : bool
        Whether a connection is closed soon after each answer, without a
        ``Connection: close`` header, unless the next request is there.
    refuse_connects : bool
        Whether the port is closed; use ``--control-port`` to open it again.
    keep_working : bool
        Whether a run goes on when its caller disconnects.
    fail : bool
        Whether every run ends with status 500.
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
        The runner.
    switches : Switches
        The faults in force.
    rng : Random
        Draws which connections are closed.
    served : Served or None
        Its server.
    listening : bool
        Whether its port is open.
    last_requests : WeakKeyDictionary
        Mark of the last request of each connection.
    """

    state: _state.State
    switches: Switches = attrs.Factory(Switches)
    rng: random.Random = attrs.Factory(lambda: random.Random(0))
    served: _serving.Served | None = None
    listening: bool = True
    last_requests: weakref.WeakKeyDictionary = attrs.Factory(
        weakref.WeakKeyDictionary
    )


class WorkHandler(_serving.Handler):
    """Requests."""

    def initialize(self, endpoint: Endpoint) -> None:
        """Keep the runner."""
        self._endpoint = endpoint
        self._gone = asyncio.Event()

    def on_connection_close(self) -> None:
        """Note that the caller has disconnected."""
        self._gone.set()

    async def post(self) -> None:
        """Run a request."""
        endpoint, headers = self._endpoint, self.request.headers
        state, switches = endpoint.state, endpoint.switches
        stream = self.request.connection.stream
        endpoint.last_requests[stream] = self._gone
        if switches.leaving and switches.say_leaving:
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
        _state.begin(state, request_id, epoch, payload, time.time())
        finished = False
        try:
            finished = await self._run(payload)
        finally:
            _state.end(state, finished)
        if not finished or _draw(switches, endpoint.rng):
            self.hang_up()
            return
        if switches.delay_s:
            await asyncio.sleep(switches.delay_s)
        if self._gone.is_set():
            return
        failed = bool(payload.get("fail", False)) or switches.fail
        size = int(payload.get("size", 0))
        self.reply(
            500 if failed else 200,
            _state.make_answer(state, request_id, attempt, size),
        )
        if switches.close_idle:
            await asyncio.sleep(_CLOSE_DELAY_S)
            if endpoint.last_requests.get(stream) is self._gone:
                stream.close()

    async def _run(self, payload: dict[str, typing.Any]) -> bool:
        run_s = float(payload.get("run_ms", 0.0)) / 1000.0
        if self._endpoint.switches.keep_working:
            if run_s > 0:
                await asyncio.sleep(run_s)
            return True
        try:
            async with asyncio.timeout(run_s):
                await self._gone.wait()
        except TimeoutError:
            return True
        return False


# Seconds from an answer to the close of its connection, so that the answer
# is read before.
_CLOSE_DELAY_S: typing.Final[float] = 0.01


class StatusHandler(_serving.Handler):
    """Slots in use."""

    def initialize(self, endpoint: Endpoint) -> None:
        """Keep the runner."""
        self._endpoint = endpoint

    def get(self) -> None:
        """Return the slots in use."""
        state = self._endpoint.state
        self.reply(200, _target_wire.encode_status(state.slots, state.busy))


def control(endpoint: Endpoint, fields: dict[str, typing.Any]) -> None:
    """Set faults.

    Parameters
    ----------
    endpoint : Endpoint
        The runner.
    fields : dict
        Fields of `Switches`, and the commands ``close_connections`` (all
        open ones, at once) and ``reset`` (lifts all faults).
    """
    changes = dict(fields)
    if changes.pop("reset", False):
        endpoint.switches = Switches()
    close_connections = changes.pop("close_connections", False)
    known = {field.name for field in attrs.fields(Switches)}
    unknown = sorted(set(changes) - known)
    if unknown:
        raise errors.ProtocolError(
            message=f"Unknown control fields: {', '.join(unknown)}.",
            remedy=f"Use some of: {', '.join(sorted(known))}.",
        )
    for name, value in changes.items():
        setattr(endpoint.switches, name, value)
    if not endpoint.switches.leaving:
        endpoint.state.leaving_since = 0.0
    elif not endpoint.state.leaving_since:
        endpoint.state.leaving_since = time.time()
    _set_listening(endpoint, not endpoint.switches.refuse_connects)
    if close_connections:
        for stream in list(endpoint.served.server.open_streams):
            stream.close()


def evidence(
    endpoint: Endpoint, query: dict[str, str]
) -> dict[str, typing.Any]:
    """Return the runner's evidence; ``ids`` in the query adds all ids."""
    return {
        **_state.evidence(
            endpoint.state,
            len(endpoint.served.server.open_streams),
            with_ids="ids" in query,
        ),
        "switches": endpoint.switches,
    }


def make_endpoint(runner_id: str) -> Endpoint:
    """Return a runner."""
    return Endpoint(state=_state.State(runner_id=runner_id))


def listen(*, port: int, endpoint: Endpoint) -> _serving.Served:
    """Serve a runner on a loopback port; 0 picks a free one."""
    served = _serving.listen(
        name=endpoint.state.runner_id,
        port=port,
        routes=[
            (_target_wire.WORK_PATH, WorkHandler, {"endpoint": endpoint}),
            (STATUS_PATH, StatusHandler, {"endpoint": endpoint}),
        ],
        control=lambda fields: control(endpoint, fields),
        evidence=lambda query: evidence(endpoint, query),
    )
    endpoint.served = served
    served.server.on_open = lambda: _state.connected(
        endpoint.state, len(served.server.open_streams)
    )
    return served


def main() -> None:
    """Run the stand-in."""
    parser = _serving.make_parser("Stand-in for runners on consecutive ports.")
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument(
        "--first-id", default="runner-1", help="<name>-<number> of the first"
    )
    arguments = parser.parse_args()

    def start() -> list[_serving.Served]:
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


def _draw(switches: Switches, rng: random.Random) -> bool:
    if switches.close_after_read >= 1:
        switches.close_after_read -= 1
        return True
    return (
        switches.close_after_read > 0
        and rng.random() < switches.close_after_read
    )


def _set_listening(endpoint: Endpoint, listening: bool) -> None:
    if listening == endpoint.listening:
        return
    endpoint.listening = listening
    server = endpoint.served.server
    if listening:
        server.add_sockets(
            netutil.bind_sockets(endpoint.served.port, _serving.HOST)
        )
    else:
        server.stop()
