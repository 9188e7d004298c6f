"""Client of the targets of services."""

import collections.abc
import typing

from chestnuttide import errors
from chestnuttide.platform import _http
from chestnuttide.platform import _ports
from chestnuttide.platform import _target_wire

# Maximum number of concurrent requests of a process: 128 targets with 8 slots
# each.
MAX_CLIENTS: typing.Final[int] = 1024

# A target runs 8 requests at once and accepts 64 connections, which allows for
# up to 8 instances that own it one after another.
MAX_TARGET_CONNECTIONS: typing.Final[int] = 8

# Targets answer a status call immediately, because it occupies no slot.
STATUS_TIMEOUT_S: typing.Final[float] = 1.0

_MAX_STATUS_CLIENTS: typing.Final[int] = 64


def make_targets(
    *,
    max_clients: int = MAX_CLIENTS,
    max_target_connections: int = MAX_TARGET_CONNECTIONS,
    http_client: _http.HttpClient | None = None,
    status_client: _http.HttpClient | None = None,
) -> _ports.Targets:
    """Return a client for targets.

    Parameters
    ----------
    max_clients : int
        Maximum number of concurrent requests; further ones are queued in the
        client.
    max_target_connections : int
        Maximum number of connections to one target; further requests wait
        until one is free.
    http_client, status_client : HttpClient, optional
        Clients to use instead of new ones.

    Returns
    -------
    Targets
        The client. A request is sent at most once, even if a reused
        connection turns out to be closed.
    """
    work_client = http_client or _http.make_client(
        max_clients=max_clients, max_host_connections=max_target_connections
    )
    status = status_client or _http.make_client(
        max_clients=_MAX_STATUS_CLIENTS
    )

    async def work(
        address: str,
        request_id: str,
        attempt: int,
        epoch: int,
        payload: bytes,
        timeout_s: float,
        may_send: collections.abc.Callable[[], bool],
    ) -> _ports.TargetAnswer:
        reply = await _http.fetch(
            work_client,
            url=f"http://{address}{_target_wire.WORK_PATH}",
            timeout_s=timeout_s,
            body=payload,
            headers=_target_wire.encode_headers(request_id, attempt, epoch),
            may_send=may_send,
        )
        return _ports.TargetAnswer(
            status=reply.status,
            content_type=reply.headers.get(
                "Content-Type", _target_wire.DEFAULT_CONTENT_TYPE
            ),
            body=reply.body,
            leaving=_target_wire.is_leaving(reply.status, reply.headers),
        )

    async def busy_slots(address: str, path: str) -> int:
        # The connection is closed afterwards, because it would count against
        # the target's limit on connections.
        reply = await _http.fetch(
            status,
            url=f"http://{address}{path}",
            timeout_s=STATUS_TIMEOUT_S,
            keep_alive=False,
        )
        if reply.status != 200:
            raise errors.PlatformError(
                message=f"The target's status call returned {reply.status}.",
                remedy="Check the service's status_path.",
                sent=True,
            )
        try:
            return _target_wire.decode_busy(reply.body)
        except errors.ProtocolError as error:
            raise errors.PlatformError(
                message=error.message, remedy=error.remedy, sent=True
            ) from error

    return _ports.Targets(work=work, busy_slots=busy_slots)
