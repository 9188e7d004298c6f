"""Callers of a cell that keep account of what each of them got."""

import asyncio
import collections
import json
import threading
import time
import typing

import attrs
from tornado import curl_httpclient
from tornado import httpclient

from standins import harness as harness_module
from standins import runner

# An entry answers at the deadline; its answer needs this long to reach a
# caller on a busy machine.
ANSWER_MARGIN_S: typing.Final[float] = 1.0
# Pause before a caller whose entry does not answer asks another one.
RETRY_S: typing.Final[float] = 0.1
MAX_CLIENTS: typing.Final[int] = 600
DEADLINE_S: typing.Final[float] = 8.0


@attrs.frozen(kw_only=True)
class Wanted:
    """A request that a caller wants answered.

    Attributes
    ----------
    request_id, service : str
        Its id and its service.
    ports : tuple of int
        Ports of the entries that it asks in turn, while they do not answer.
    idempotent : bool
        Whether it may run more than once.
    run_ms : float
        Time that the target needs, in milliseconds.
    size : int
        Bytes of the answer.
    padding : int
        Bytes that are added to the request.
    deadline_s : float
        Seconds until its deadline.
    delay_s : float
        Seconds until it is sent.
    """

    request_id: str
    service: str
    ports: tuple[int, ...]
    idempotent: bool = True
    run_ms: float = 20.0
    size: int = 64
    padding: int = 0
    deadline_s: float = DEADLINE_S
    delay_s: float = 0.0


@attrs.frozen(kw_only=True)
class Outcome:
    """What a caller got.

    Attributes
    ----------
    wanted : Wanted
        The request.
    code : str
        ``answered``, the code of the refusal, or ``lost``.
    run_state, message : str
        Run state and message of a refusal.
    fault : str
        What is wrong with the answer; empty when it is whole.
    late_s : float
        Seconds after the deadline; negative before it.
    took_s : float
        Seconds until the outcome.
    retried : bool
        Whether another entry was asked.
    """

    wanted: Wanted
    code: str
    run_state: str = ""
    message: str = ""
    fault: str = ""
    late_s: float = 0.0
    took_s: float = 0.0
    retried: bool = False


@attrs.frozen(kw_only=True)
class _Told:
    """What one response says; see `Outcome`."""

    code: str
    run_state: str = ""
    message: str = ""
    fault: str = ""


@attrs.define(kw_only=True)
class Load:
    """Callers at work in a thread of their own.

    Attributes
    ----------
    thread : Thread
        Runs their event loop.
    outcomes : list of Outcome
        What they got so far.
    """

    thread: threading.Thread
    outcomes: list[Outcome] = attrs.Factory(list)


def start(requests: typing.Sequence[Wanted]) -> Load:
    """Start one caller for each request."""
    load = Load(thread=threading.Thread(daemon=True))

    async def run_all() -> None:
        client = curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CLIENTS
        )

        async def run(wanted: Wanted) -> None:
            await asyncio.sleep(wanted.delay_s)
            load.outcomes.append(await _run(client, wanted))

        await asyncio.gather(*(run(each) for each in requests))
        client.close()

    load.thread = threading.Thread(
        target=lambda: asyncio.run(run_all()), daemon=True
    )
    load.thread.start()
    return load


def wait(load: Load, timeout_s: float = 60.0) -> list[Outcome]:
    """Return what the callers got once the last of them has ended."""
    load.thread.join(timeout_s)
    if load.thread.is_alive():
        raise TimeoutError(f"callers still wait after {timeout_s} s")
    return load.outcomes


def send(requests: typing.Sequence[Wanted]) -> list[Outcome]:
    """Start callers and wait for all of them."""
    return wait(start(requests))


def count_codes(
    outcomes: typing.Iterable[Outcome],
) -> collections.Counter[str]:
    """Return how often each outcome occurred."""
    return collections.Counter(each.code for each in outcomes)


def find_broken(outcomes: typing.Iterable[Outcome]) -> list[str]:
    """Describe lost, wrong, incomplete and late outcomes."""
    return [
        f"{each.wanted.request_id}: {each.code} {each.fault}"
        f" {each.late_s:+.2f} s after its deadline"
        for each in outcomes
        if each.code == "lost" or each.fault or each.late_s > ANSWER_MARGIN_S
    ]


def find_untruthful(
    outcomes: typing.Iterable[Outcome],
    evidence: typing.Iterable[dict[str, typing.Any]],
) -> list[str]:
    """Return the ids refused as "not run" that a runner has seen."""
    seen = {name for each in evidence for name in each["seen"]}
    return [
        f"{each.wanted.request_id}: {each.code} {each.message}"
        for each in outcomes
        if each.run_state == "not_run" and each.wanted.request_id in seen
    ]


async def _run(
    client: curl_httpclient.CurlAsyncHTTPClient, wanted: Wanted
) -> Outcome:
    started = time.monotonic()
    deadline = started + wanted.deadline_s
    payload: dict[str, object] = {
        "run_ms": wanted.run_ms,
        "size": wanted.size,
        "idempotent": wanted.idempotent,
    }
    if wanted.padding:
        payload["padding"] = "x" * wanted.padding
    body = json.dumps(
        {
            "id": wanted.request_id,
            "team": "makers",
            "idempotent": wanted.idempotent,
            "deadline_unix_ms": int((time.time() + wanted.deadline_s) * 1000),
            "payload": payload,
        }
    )
    turn = 0
    path = f"/v1/services/{wanted.service}/requests"
    told = _Told(code="lost")
    while time.monotonic() < deadline:
        port = wanted.ports[turn % len(wanted.ports)]
        turn += 1
        response = await _fetch(client, port, path, body, deadline)
        if response is None:
            await asyncio.sleep(RETRY_S)
            continue
        told = _read(wanted, response)
        if told.code == "duplicate_id" and turn > 1:
            # The former entry had passed the request on before it ended.
            again = f"{path}/{wanted.request_id}/answer"
            response = await _fetch(client, port, again, None, deadline)
            if response is not None and response.code == 200:
                told = _read(wanted, response)
            if told.code == "duplicate_id":
                await asyncio.sleep(RETRY_S)
                continue
        break
    now = time.monotonic()
    return Outcome(
        wanted=wanted,
        code=told.code,
        run_state=told.run_state,
        message=told.message,
        fault=told.fault,
        late_s=now - deadline,
        took_s=now - started,
        retried=turn > 1,
    )


async def _fetch(
    client: curl_httpclient.CurlAsyncHTTPClient,
    port: int,
    path: str,
    body: str | None,
    deadline: float,
) -> httpclient.HTTPResponse | None:
    """Return the response, or None if the entry did not answer."""
    left_s = deadline + ANSWER_MARGIN_S - time.monotonic()
    try:
        return await client.fetch(
            f"http://{harness_module.HOST}:{port}{path}",
            method="GET" if body is None else "POST",
            body=body,
            request_timeout=max(0.1, left_s),
            connect_timeout=2.0,
            raise_error=False,
            # With it curl waits for a "100 Continue" before a large body.
            headers={"Expect": ""},
        )
    except httpclient.HTTPError:
        return None


def _read(wanted: Wanted, response: httpclient.HTTPResponse) -> _Told:
    try:
        document = json.loads(response.body)
    except ValueError:
        return _Told(
            code=f"status_{response.code}", fault="the body is no JSON"
        )
    if "error" in document:
        error = document["error"]
        return _Told(
            code=error["code"],
            run_state=error["run_state"],
            message=error["message"],
        )
    if "state" in document:
        # The answer is not kept; its state stands in for it.
        state = document["state"]
        known = state if state == "outcome_unknown" else "duplicate_id"
        return _Told(code=known, run_state="unknown")
    fault = runner.check_response(
        response.body, wanted.request_id, wanted.size
    )
    return _Told(code="answered", fault=fault)
