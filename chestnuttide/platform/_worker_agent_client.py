"""Client of the agents of workers."""

import collections.abc
import time
import typing

from chestnuttide import errors
from chestnuttide import model
from chestnuttide.platform import _http
from chestnuttide.platform import _ports
from chestnuttide.platform import _worker_agent_wire

# One pool of 2,500 workers may be owned by one instance, with one waiting
# sync for each worker.
MAX_SYNCS: typing.Final[int] = 2560

# Starts, stops and throttles never wait behind syncs: they have their own
# client.
MAX_COMMANDS: typing.Final[int] = 512


def make_worker_agent(
    *,
    timeout_s: float,
    max_syncs: int = MAX_SYNCS,
    max_commands: int = MAX_COMMANDS,
    sync_client: _http.HttpClient | None = None,
    command_client: _http.HttpClient | None = None,
) -> _ports.WorkerAgent:
    """Return the functions that call worker agents.

    Parameters
    ----------
    timeout_s : float
        Limit of a call in seconds; a sync has its wait in addition.
    max_syncs, max_commands : int
        Syncs and other calls at once; further ones wait in the client. Each
        takes about 5 KB from the start.
    sync_client, command_client : HttpClient, optional
        Clients to use in place of new ones.

    Returns
    -------
    WorkerAgent
        The functions of the port. An undecodable answer raises
        `errors.PlatformError`.
    """
    syncs = sync_client or _http.make_client(max_clients=max_syncs)
    commands = command_client or _http.make_client(max_clients=max_commands)
    headers = {"Content-Type": _worker_agent_wire.CONTENT_TYPE}

    async def call(
        client: _http.HttpClient,
        address: str,
        path: str,
        body: bytes,
        limit_s: float,
    ) -> bytes:
        # A start that libcurl repeats could arrive after its attempt has
        # ended and was forgotten; the other calls set a state.
        reply = await _http.fetch(
            client,
            url=f"http://{address}{path}",
            timeout_s=limit_s,
            body=body,
            headers=headers,
            resend=path != _worker_agent_wire.START_PATH,
        )
        try:
            _worker_agent_wire.check_status(reply.status, reply.body)
        except errors.ProtocolError as error:
            raise _undecodable(error) from error
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
            raise _undecodable(error) from error

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
            raise _undecodable(error) from error

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


def _undecodable(error: errors.ProtocolError) -> errors.PlatformError:
    return errors.PlatformError(
        message=error.message, remedy=error.remedy, sent=True
    )
