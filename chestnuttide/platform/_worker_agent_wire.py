"""Encoding of calls to worker agents: HTTP POST with JSON."""

import collections.abc
import json
import typing

import attrs
import xxhash

from chestnuttide import errors
from chestnuttide import model
from chestnuttide.platform import _json_wire
from chestnuttide.platform import _ports

CONTENT_TYPE: typing.Final[str] = "application/json"
START_PATH: typing.Final[str] = "/v1/start"
SYNC_PATH: typing.Final[str] = "/v1/sync"
STOP_PATH: typing.Final[str] = "/v1/stop"
THROTTLE_PATH: typing.Final[str] = "/v1/throttle"
STALE_EPOCH: typing.Final[str] = "stale_epoch"

Attempts: typing.TypeAlias = collections.abc.Sequence[model.Attempt]


@attrs.frozen(kw_only=True, slots=True)
class StartCall:
    """A call to start attempts.

    Attributes
    ----------
    epoch : int
        Epoch of the shard that owns the worker.
    lease_s : float
        Lease of each started task in seconds.
    expires_at : float
        Unix time in seconds after which the worker starts none of the
        attempts.
    starts : tuple of TaskStart
        Attempts to start.
    """

    epoch: int
    lease_s: float
    expires_at: float
    starts: tuple[_ports.TaskStart, ...]


@attrs.frozen(kw_only=True, slots=True)
class SyncCall:
    """A call that renews the leases of all tasks and waits for events.

    Attributes
    ----------
    epoch : int
        Epoch of the shard that owns the worker.
    lease_s : float
        Lease of each live task in seconds, counted from this call.
    acknowledged : list of Attempt
        Ended attempts that the worker may forget.
    wait_s : float
        Seconds to wait for an event.
    after : int
        Sequence number of the last event that the owner knows.
    known : str
        Digest of the reports that the owner has; empty to request the reports
        unconditionally.
    """

    epoch: int
    lease_s: float
    acknowledged: list[model.Attempt]
    wait_s: float
    after: int
    known: str = ""


@attrs.frozen(kw_only=True, slots=True)
class StopCall:
    """A call to stop attempts.

    Attributes
    ----------
    epoch : int
        Epoch of the shard that owns the worker.
    checkpoint : bool
        Whether the progress of the tasks is checkpointed.
    tasks : list of Attempt
        Attempts to stop.
    """

    epoch: int
    checkpoint: bool
    tasks: list[model.Attempt]


@attrs.frozen(kw_only=True, slots=True)
class ThrottleCall:
    """A call to throttle attempts.

    Attributes
    ----------
    epoch : int
        Epoch of the shard that owns the worker.
    share : float
        Share of their CPU time that the attempts may use, 0 to 1.
    tasks : list of Attempt
        Attempts to throttle.
    """

    epoch: int
    share: float
    tasks: list[model.Attempt]


def encode_start(
    epoch: int,
    lease_s: float,
    expires_at: float,
    starts: collections.abc.Sequence[_ports.TaskStart],
) -> bytes:
    """Return the body of a start call; see `StartCall`.

    Raises
    ------
    ValueError
        If a payload is not JSON.
    """
    tasks = [
        {
            "job_id": start.attempt.job_id,
            "index": start.attempt.index,
            "number": start.attempt.number,
            "resources": start.resources,
            "payload": json.loads(start.payload),
        }
        for start in starts
    ]
    return _json_wire.dump(
        {
            "epoch": epoch,
            "lease_s": lease_s,
            "expires_unix_ms": round(expires_at * 1000),
            "tasks": tasks,
        }
    )


def decode_start(body: bytes) -> StartCall:
    """Return the start call encoded in a body.

    Raises
    ------
    ProtocolError
        If the body is malformed.
    """
    fields = _json_wire.load(body)
    try:
        return StartCall(
            epoch=int(fields["epoch"]),
            lease_s=float(fields["lease_s"]),
            expires_at=float(fields["expires_unix_ms"]) / 1000,
            starts=tuple(
                _ports.TaskStart(
                    attempt=_json_wire.from_plain(task, model.Attempt),
                    resources=_json_wire.from_plain(
                        task["resources"], model.Resources
                    ),
                    payload=_json_wire.dump(task["payload"]),
                )
                for task in fields["tasks"]
            ),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise _json_wire.malformed(f"a start lacks {error}") from error


def encode_outcomes(
    outcomes: collections.abc.Iterable[_ports.StartOutcome],
) -> bytes:
    """Return the body of the response to a start call."""
    results = [
        {
            "job_id": outcome.attempt.job_id,
            "index": outcome.attempt.index,
            "number": outcome.attempt.number,
            "outcome": outcome.outcome,
        }
        for outcome in outcomes
    ]
    return _json_wire.dump({"results": results})


def decode_outcomes(body: bytes) -> list[_ports.StartOutcome]:
    """Return the outcomes in the response to a start call.

    Raises
    ------
    ProtocolError
        If the body is malformed.
    """
    try:
        return [
            _ports.StartOutcome(
                attempt=_json_wire.from_plain(result, model.Attempt),
                outcome=result["outcome"],
            )
            for result in _json_wire.load(body)["results"]
        ]
    except (KeyError, TypeError) as error:
        raise _json_wire.malformed(f"an outcome lacks {error}") from error


def encode_call(call: SyncCall | StopCall | ThrottleCall) -> bytes:
    """Return the body of a sync, stop or throttle call."""
    return _json_wire.dump(call)


def decode_sync(body: bytes) -> SyncCall:
    """Return the sync call in a body or raise `errors.ProtocolError`."""
    return _json_wire.from_plain(_json_wire.load(body), SyncCall)


def decode_stop(body: bytes) -> StopCall:
    """Return the stop call in a body or raise `errors.ProtocolError`."""
    return _json_wire.from_plain(_json_wire.load(body), StopCall)


def decode_throttle(body: bytes) -> ThrottleCall:
    """Return the throttle call in a body or raise `errors.ProtocolError`."""
    return _json_wire.from_plain(_json_wire.load(body), ThrottleCall)


def digest_reports(
    reports: collections.abc.Iterable[model.AttemptReport],
) -> str:
    """Return a digest of the reported attempts and their states.

    Run times and usage are excluded because they change continually.
    """
    lines = sorted(
        f"{report.attempt.job_id}/{report.attempt.index}"
        f"/{report.attempt.number}/{report.state.value}"
        for report in reports
    )
    return xxhash.xxh64_hexdigest("\n".join(lines).encode())


def encode_sync_result(result: _ports.SyncResult) -> bytes:
    """Return the body of the response to a sync call."""
    return _json_wire.dump(result)


def decode_sync_result(body: bytes) -> _ports.SyncResult:
    """Return the response to a sync call or raise `errors.ProtocolError`."""
    return _json_wire.from_plain(_json_wire.load(body), _ports.SyncResult)


def encode_stale_epoch(epoch: int) -> bytes:
    """Return the body of the response to a call with a stale epoch."""
    return _json_wire.dump({"error": {"code": STALE_EPOCH, "epoch": epoch}})


def check_status(status: int, body: bytes) -> None:
    """Raise an error unless a call succeeded.

    Raises
    ------
    DeposedError
        If the worker has seen a higher epoch.
    PlatformError
        If the status is any other than 200.
    ProtocolError
        If the body of a 409 response is malformed.
    """
    if status == 200:
        return
    if status == 409:
        error = _json_wire.load(body).get("error")
        if isinstance(error, dict) and error.get("code") == STALE_EPOCH:
            raise errors.DeposedError(
                message=f"The worker has seen epoch {error.get('epoch')}.",
                remedy="Stop acting as the owner of the worker's pool.",
            )
    raise errors.PlatformError(
        message=f"The worker returned status {status}.",
        remedy="Retry on the same worker.",
        sent=True,
    )
