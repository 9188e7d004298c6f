"""Client of the worker agents."""

import collections.abc
import time
import typing

from chestnuttide import errors
from chestnuttide import model
from chestnuttide.platform import _http
from chestnuttide.platform import _ports
from chestnuttide.platform import _worker_agent_wire

# An instance may own a pool of 2,500 workers and has one waiting sync per
# worker.
MAX_SYNCS: typing.Final[int] = 2560

# Starts, stops and throttles have a client of their own, so that they are
# never queued behind syncs.
MAX_COMMANDS: typing.Final[int] = 512


def make_worker_agent(
    *,
    timeout_s: float,
    max_syncs: int = MAX_SYNCS,
    max_commands: int = MAX_COMMANDS,
    sync_client: _http.HttpClient | None = None,
    command_client: _http.HttpClient | None = None,
) -> _ports.WorkerAgent:
    """Return a client for worker agents.

    Parameters
    ----------
    timeout_s : float
        Timeout of a call in seconds; a sync adds its wait time.
    max_syncs, max_commands : int
        Maximum numbers of concurrent syncs and of other calls; further calls
        are queued in the client. Each of them takes about 5 KB of memory as
        soon as the client is created.
    sync_client, command_client : HttpClient, optional
        Clients to use instead of new ones.

    Returns
    -------
    WorkerAgent
        The client. A malformed response raises `errors.PlatformError`.
    """
    syncs = sync_client or _http.make_client(max_clients=max_syncs)
    commands = command_client or _http.make_client(max_clients=max_commands)
    headers = {"Content-Type": _worker_agent_wire.CONTENT_TYPE}

    async def call(
        client: _http.HttpClient,
        address: str,
        path: str,
        body: bytes,
        call_timeout_s: float,
    ) -> bytes:
        # A start resent by libcurl could arrive after its attempt has ended
        # and been forgotten. The other calls are idempotent.
        reply = await _http.fetch(
            client,
            url=f"http://{address}{path}",
            timeout_s=call_timeout_s,
            body=body,
            headers=headers,
            resend=path != _worker_agent_wire.START_PATH,
        )
        try:
            _worker_agent_wire.check_status(reply.status, reply.body)
        except errors.ProtocolError as error:
            raise _make_malformed_error(error) from error
        return reply.body

    async def start(
        address: str,
        epoch: int,
        lease_s: float,
        starts: collections.abc.Sequence[_ports.TaskStart],
    ) -> list[_ports.StartOutcome]:
        body = await call(
            commands,
            address,
            _worker_agent_wire.START_PATH,
            _worker_agent_wire.encode_start(
                epoch, lease_s, time.time() + model.START_VALID_S, starts
            ),
            timeout_s,
        )
        try:
            return _worker_agent_wire.decode_outcomes(body)
        except errors.ProtocolError as error:
            raise _make_malformed_error(error) from error

    async def sync(
        address: str,
        epoch: int,
        lease_s: float,
        acknowledged: collections.abc.Sequence[model.Attempt],
        wait_s: float,
        after: int,
        known: str = "",
    ) -> _ports.SyncResult:
        sync_call = _worker_agent_wire.SyncCall(
            epoch=epoch,
            lease_s=lease_s,
            acknowledged=list(acknowledged),
            wait_s=wait_s,
            after=after,
            known=known,
        )
        body = await call(
            syncs,
            address,
            _worker_agent_wire.SYNC_PATH,
            _worker_agent_wire.encode_call(sync_call),
            timeout_s + wait_s,
        )
        try:
            return _worker_agent_wire.decode_sync_result(body)
        except errors.ProtocolError as error:
            raise _make_malformed_error(error) from error

    async def stop(
        address: str,
        epoch: int,
        attempts: collections.abc.Sequence[model.Attempt],
        checkpoint: bool,
    ) -> None:
        stop_call = _worker_agent_wire.StopCall(
            epoch=epoch, checkpoint=checkpoint, tasks=list(attempts)
        )
        await call(
            commands,
            address,
            _worker_agent_wire.STOP_PATH,
            _worker_agent_wire.encode_call(stop_call),
            timeout_s,
        )

    async def throttle(
        address: str,
        epoch: int,
        attempts: collections.abc.Sequence[model.Attempt],
        share: float,
    ) -> None:
        throttle_call = _worker_agent_wire.ThrottleCall(
            epoch=epoch, share=share, tasks=list(attempts)
        )
        await call(
            commands,
            address,
            _worker_agent_wire.THROTTLE_PATH,
            _worker_agent_wire.encode_call(throttle_call),
            timeout_s,
        )

    return _ports.WorkerAgent(
        start=start, sync=sync, stop=stop, throttle=throttle
    )


def _make_malformed_error(error: errors.ProtocolError) -> errors.PlatformError:
    return errors.PlatformError(
        message=error.message, remedy=error.remedy, sent=True
    )
