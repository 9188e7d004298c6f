"""HTTP server of the instance list."""

import asyncio
import collections
import random
import time
import typing

import attrs

from chestnuttide.platform import _instance_list_wire
from standins import _faults
from standins import _serving
from standins.instance_list import _state


@attrs.define(kw_only=True)
class Endpoint:
    """The list with its faults and counts.

    Attributes
    ----------
    state : State
        The list.
    faults : Faults
        The faults in force.
    rng : Random
        Draws which answers are lost.
    counts : Counter
        Calls by kind of the instances.
    bytes_out : int
        Bytes of the bodies of answers.
    """

    state: _state.State = attrs.Factory(_state.State)
    faults: _faults.Faults = attrs.Factory(_faults.Faults)
    rng: random.Random = attrs.Factory(lambda: random.Random(0))
    counts: collections.Counter[str] = attrs.Factory(collections.Counter)
    bytes_out: int = 0


class ListHandler(_serving.Handler):
    """The call for changes."""

    def initialize(self, endpoint: Endpoint) -> None:
        """Keep the list."""
        self._endpoint = endpoint

    async def get(self) -> None:
        """Return the changes."""
        endpoint = self._endpoint
        kind = self.get_query_argument("kind", "")
        try:
            after = int(self.get_query_argument("after", "0"))
        except ValueError:
            self.reply(400, b'{"error":"after is no revision"}')
            return
        endpoint.counts[kind or "all"] += 1
        verdict = _faults.judge(endpoint.faults, "list", "", endpoint.rng)
        while verdict.hold:
            await asyncio.sleep(_HOLD_STEP_S)
            if not endpoint.faults.silent:
                self.hang_up()
                return
        if verdict.delay_s:
            await asyncio.sleep(verdict.delay_s)
        if verdict.refuse:
            self.reply(503, b'{"error":"down"}')
            return
        if verdict.drop:
            self.hang_up()
            return
        body = _instance_list_wire.encode_changes(
            _state.changes(endpoint.state, after, kind, time.monotonic())
        )
        endpoint.bytes_out += len(body)
        self.reply(200, body)


# Seconds between looks at whether a held call is to be closed.
_HOLD_STEP_S: typing.Final[float] = 0.05


def control(endpoint: Endpoint, fields: dict[str, typing.Any]) -> None:
    """Set instances and faults.

    Parameters
    ----------
    endpoint : Endpoint
        The list.
    fields : dict
        ``set`` (instances to change or add), ``lag_s``, ``reset`` (lifts all
        faults) and fields of `Faults`.
    """
    changes = dict(fields)
    if changes.pop("reset", False):
        endpoint.faults = _faults.Faults()
    endpoint.state.lag_s = float(changes.pop("lag_s", endpoint.state.lag_s))
    plain = changes.pop("set", [])
    _faults.update(endpoint.faults, changes)
    _state.put(
        endpoint.state,
        _instance_list_wire.decode_instances(plain),
        time.monotonic(),
    )


def evidence(endpoint: Endpoint) -> dict[str, typing.Any]:
    """Return the list, its counts and the faults in force."""
    return {
        **_state.evidence(endpoint.state, time.monotonic()),
        "counts": dict(endpoint.counts),
        "bytes_out": endpoint.bytes_out,
        "faults": endpoint.faults,
    }


def listen(*, port: int, endpoint: Endpoint | None = None) -> _serving.Served:
    """Serve an instance list on a loopback port; 0 picks a free one."""
    used = endpoint or Endpoint()
    return _serving.listen(
        name="instance_list",
        port=port,
        routes=[(_instance_list_wire.PATH, ListHandler, {"endpoint": used})],
        control=lambda fields: control(used, fields),
        evidence=lambda _query: evidence(used),
    )


def main() -> None:
    """Run the stand-in."""
    parser = _serving.make_parser("Stand-in for the instance list.")
    arguments = parser.parse_args()
    _serving.run(arguments.control_port, lambda: [listen(port=arguments.port)])
