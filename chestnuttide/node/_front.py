"""Dispatch of callers' requests."""

import asyncio
import collections.abc
import json

from tornado import httputil

from chestnuttide import errors
from chestnuttide.node import _answers
from chestnuttide.node import _clock
from chestnuttide.node import _lookups
from chestnuttide.node import _submission
from chestnuttide import platform
from chestnuttide import telemetry
from chestnuttide import workloads

LOG = telemetry.make_logger("front")


def make_callback(
    front: _answers.Front,
) -> collections.abc.Callable[[httputil.HTTPServerRequest], None]:
    """Return the function that the HTTP server calls for each request."""

    def callback(request: httputil.HTTPServerRequest) -> None:
        front.in_flight += 1
        task = asyncio.ensure_future(_serve(front, request))
        front.tasks.add(task)
        task.add_done_callback(front.tasks.discard)

    return callback


async def _serve(
    front: _answers.Front, request: httputil.HTTPServerRequest
) -> None:
    began = _clock.now()
    try:
        answer = await _dispatch(front, request)
    except errors.SchedulerError as error:
        answer = _answers.refuse("other", 502, "internal", str(error))
    except Exception as error:
        LOG.exception("Request has failed.", path=request.path)
        answer = _answers.refuse("other", 502, "internal", repr(error))
    finally:
        front.in_flight -= 1
    _note(front, answer, _clock.now() - began)
    body = json.dumps(answer.body).encode()
    headers = httputil.HTTPHeaders(
        {
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
        }
    )
    if answer.retry_after_s:
        headers["Retry-After"] = str(answer.retry_after_s)
    if front.stopping:
        headers["Connection"] = "close"
    try:
        request.connection.write_headers(
            httputil.ResponseStartLine("HTTP/1.1", answer.status, ""),
            headers,
            body,
        )
        request.connection.finish()
    except (OSError, httputil.HTTPOutputError) as error:
        LOG.info("Caller has left.", job=answer.job, error=str(error))


def _note(
    front: _answers.Front, answer: _answers.Answer, seconds: float
) -> None:
    front.metrics.answers.inc(
        {"call": answer.call, "status": str(answer.status)}
    )
    if answer.reason:
        front.metrics.refusals.inc({"reason": answer.reason})
    if answer.call == "state" and answer.status == 200:
        return
    version = front.session.config.version if front.session.config else 0
    LOG.info(
        "Call is answered.",
        call=answer.call,
        job=answer.job,
        status=answer.status,
        reason=answer.reason,
        config_version=version,
        seconds=round(seconds, 4),
        **answer.inputs,
    )


async def _dispatch(
    front: _answers.Front, request: httputil.HTTPServerRequest
) -> _answers.Answer:
    config = front.session.config
    if config is None:
        return _answers.refuse(
            "other",
            503,
            "no_config",
            "No configuration is known yet. Come back later.",
            retry_after_s=_answers.RETRY_AFTER_S,
        )
    queue = find_queue(config, request.host, request.path)
    if queue is None:
        return _answers.refuse(
            "other",
            404,
            "unknown_queue",
            "No queue has this host and path. Check the URL.",
        )
    rest = request.path.removeprefix(queue.prefix)
    if not rest:
        if request.method == "GET":
            return await _lookups.count_pending(front, queue)
        return _bad_method(request.method)
    if not platform.is_job_id(rest):
        return _answers.refuse(
            "other",
            404,
            "malformed_id",
            "A job's id has 16 hexadecimal digits. Correct it.",
        )
    if request.method == "POST":
        return await _submission.submit(front, queue, rest, request)
    if request.method == "GET":
        return await _lookups.show(front, queue, rest)
    if request.method == "DELETE":
        return await _submission.cancel(front, queue, rest)
    return _bad_method(request.method)


def _bad_method(method: str) -> _answers.Answer:
    return _answers.refuse(
        "other", 405, "method", f"{method} is not supported. Use POST or GET."
    )


def find_queue(
    config: platform.ClusterConfig, host: str, path: str
) -> workloads.Queue | None:
    """Return the queue with this host and the longest fitting prefix."""
    name = host.rpartition(":")[0] if ":" in host else host
    for queue in config.queues:
        if queue.host == name.lower() and path.startswith(queue.prefix):
            return queue
    return None
