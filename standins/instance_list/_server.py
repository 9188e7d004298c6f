"""HTTP server of the instance list stand-in."""

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
    """The instance list with its faults and call counts.

    Attributes
    ----------
    state : State
        State of the list.
    faults : Faults
        Active faults.
    rng : Random
        Decides which responses are dropped.
    counts : Counter
        Number of calls by requested kind of instance.
    bytes_out : int
        Total size of the response bodies in bytes.
    """

    state: _state.State = attrs.Factory(_state.State)
    faults: _faults.Faults = attrs.Factory(_faults.Faults)
    rng: random.Random = attrs.Factory(lambda: random.Random(0))
    counts: collections.Counter[str] = attrs.Factory(collections.Counter)
    bytes_out: int = 0


class ListHandler(_serving.Handler):
    """Handler for queries of changes."""

    def initialize(self, endpoint: Endpoint) -> None:
        """Store the endpoint."""
        self._endpoint = endpoint

    async def get(self) -> None:
        """Return the changes after a revision."""
        endpoint = self._endpoint
        kind = self.get_query_argument("kind", "")
        try:
            after = int(self.get_query_argument("after", "0"))
        except ValueError:
            self.reply(400, b'{"error":"after is no revision"}')
            return
        endpoint.counts[kind or "all"] += 1
        call_faults = _faults.draw_call_faults(
            endpoint.faults, "list", "", endpoint.rng
        )
        while call_faults.block:
            await asyncio.sleep(_BLOCK_POLL_S)
            if not endpoint.faults.silent:
                self.hang_up()
                return
        if call_faults.delay_s:
            await asyncio.sleep(call_faults.delay_s)
        if call_faults.refuse:
            self.reply(503, b'{"error":"down"}')
            return
        if call_faults.drop_response:
            self.hang_up()
            return
        body = _instance_list_wire.encode_changes(
            _state.changes(endpoint.state, after, kind, time.monotonic())
        )
        endpoint.bytes_out += len(body)
        self.reply(200, body)


# Interval at which a blocked call checks whether the fault was cleared.
_BLOCK_POLL_S: typing.Final[float] = 0.05


def control(endpoint: Endpoint, fields: dict[str, typing.Any]) -> None:
    """Set instances and faults.

    Parameters
    ----------
    endpoint : Endpoint
        The list.
    fields : dict
        ``set`` (instances to change or add), ``lag_s``, ``reset`` (clears all
        faults) and the fields of `Faults`.
    """
    changes = dict(fields)
    if changes.pop("reset", False):
        endpoint.faults = _faults.Faults()
    endpoint.state.lag_s = float(changes.pop("lag_s", endpoint.state.lag_s))
    encoded = changes.pop("set", [])
    _faults.update(endpoint.faults, changes)
    _state.put(
        endpoint.state,
        _instance_list_wire.decode_instances(encoded),
        time.monotonic(),
    )


def evidence(endpoint: Endpoint) -> dict[str, typing.Any]:
    """Return the list, the call counts and the active faults."""
    return {
        **_state.evidence(endpoint.state, time.monotonic()),
        "counts": dict(endpoint.counts),
        "bytes_out": endpoint.bytes_out,
        "faults": endpoint.faults,
    }


def listen(*, port: int, endpoint: Endpoint | None = None) -> _serving.Standin:
    """Serve an instance list on a loopback port; 0 picks a free one."""
    served_endpoint = endpoint or Endpoint()
    return _serving.listen(
        name="instance_list",
        port=port,
        routes=[
            (
                _instance_list_wire.PATH,
                ListHandler,
                {"endpoint": served_endpoint},
            )
        ],
        control=lambda fields: control(served_endpoint, fields),
        evidence=lambda _query: evidence(served_endpoint),
    )


def main() -> None:
    """Run the stand-in process."""
    parser = _serving.make_parser("Stand-in for the instance list.")
    arguments = parser.parse_args()
    _serving.run(arguments.control_port, lambda: [listen(port=arguments.port)])
