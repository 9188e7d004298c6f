"""HTTP server of the store stand-in."""

import time
import typing

from chestnuttide import errors
from chestnuttide.platform import _store_wire
from standins import _serving
from standins.store import _calls

# The server uses the real clock, so its watches can sleep until the next lease
# expires.
_WATCH_POLL_S: typing.Final[float] = 60.0


class CallHandler(_serving.Handler):
    """Handler for one kind of call."""

    def initialize(self, endpoint: _calls.Endpoint, kind: str) -> None:
        """Store the endpoint and the kind of call."""
        self._endpoint = endpoint
        self._kind = kind

    async def post(self) -> None:
        """Execute the call."""
        endpoint = self._endpoint
        client = self.request.headers.get(_store_wire.CLIENT_HEADER, "")
        endpoint.bytes_in += len(self.request.body) + _header_bytes(
            self.request.headers.get_all()
        )
        try:
            answer = await _calls.call(
                endpoint,
                client,
                self._kind,
                _store_wire.decode(self.request.body),
            )
        except _calls.ResponseLostError:
            self.hang_up()
            return
        except _calls.RequestRefusedError:
            status, body = _store_wire.encode_error(
                _store_wire.unavailable("down")
            )
        except errors.ProtocolError as error:
            status, body = 400, _store_wire.encode({"code": str(error)})
        except errors.SchedulerError as error:
            status, body = _store_wire.encode_error(error)
        else:
            status, body = 200, _store_wire.encode(answer)
        self.reply(status, body, _store_wire.CONTENT_TYPE)
        endpoint.bytes_out += len(body) + _header_bytes(
            self._headers.get_all()
        )


def listen(
    *, port: int, endpoint: _calls.Endpoint | None = None
) -> _serving.Standin:
    """Serve a store on a loopback port; 0 picks a free one."""
    served_endpoint = endpoint or _calls.Endpoint(
        clock=time.monotonic, watch_poll_s=_WATCH_POLL_S
    )
    return _serving.listen(
        name="store",
        port=port,
        routes=[
            (path, CallHandler, {"endpoint": served_endpoint, "kind": kind})
            for kind, path in _store_wire.PATHS.items()
        ],
        control=lambda fields: _calls.control(served_endpoint, fields),
        evidence=lambda _query: _calls.evidence(served_endpoint),
    )


def main() -> None:
    """Run the stand-in process."""
    parser = _serving.make_parser("Stand-in for the key-value store.")
    arguments = parser.parse_args()
    _serving.run(arguments.control_port, lambda: [listen(port=arguments.port)])


def _header_bytes(headers: object) -> int:
    # Each header line adds 4 bytes for ": " and CRLF; the start line has about
    # 30 bytes.
    return 30 + sum(len(name) + len(value) + 4 for name, value in headers)
