"""Dispatch of callers' HTTP requests."""

import asyncio
import collections.abc
import json

from tornado import httputil

from chestnuttide import errors
from chestnuttide.node import _access
from chestnuttide.node import _clock
from chestnuttide.node import _configuration
from chestnuttide.node import _intake
from chestnuttide.node import _intake_http
from chestnuttide.node import _lookups
from chestnuttide.node import _responses
from chestnuttide.node import _submission
from chestnuttide import platform
from chestnuttide import telemetry

LOG = telemetry.make_logger("front")


def make_callback(
    context: _responses.ApiContext,
) -> collections.abc.Callable[[httputil.HTTPServerRequest], None]:
    """Return the function that the HTTP server calls for each request."""

    def callback(request: httputil.HTTPServerRequest) -> None:
        context.in_flight += 1
        task = asyncio.ensure_future(_serve(context, request))
        context.tasks.add(task)
        task.add_done_callback(context.tasks.discard)

    return callback


async def _serve(
    context: _responses.ApiContext, request: httputil.HTTPServerRequest
) -> None:
    started_at = _clock.now()
    try:
        response = await _dispatch(context, request)
    except errors.SchedulerError as error:
        response = _responses.make_refusal(
            "other", 502, "internal", str(error)
        )
    except Exception as error:
        LOG.exception("Request handler has failed.", path=request.path)
        response = _responses.make_refusal(
            "other", 502, "internal", repr(error)
        )
    finally:
        context.in_flight -= 1
    _record_response(context, response, _clock.now() - started_at)
    headers, body = _render(response)
    if context.stopping or _intake_http.is_leaving(request):
        headers["Connection"] = "close"
    try:
        request.connection.write_headers(
            httputil.ResponseStartLine("HTTP/1.1", response.status, ""),
            headers,
            body,
        )
        request.connection.finish()
    except (OSError, httputil.HTTPOutputError) as error:
        LOG.info(
            "Caller has disconnected.", job=response.job, error=str(error)
        )


def _render(
    response: _responses.Response,
) -> tuple[httputil.HTTPHeaders, bytes]:
    body = json.dumps(response.body).encode()
    headers = httputil.HTTPHeaders(
        {
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
        }
    )
    if response.retry_after_s:
        headers["Retry-After"] = str(response.retry_after_s)
    return headers, body


def refuse_unread(
    context: _responses.ApiContext, reason: _intake.Reason
) -> _intake_http.Refusal:
    """Return the refusal of a request whose body was not read.

    It is counted but not logged, because there may be thousands a second; the
    intake logs their number.
    """
    if reason == _intake.Reason.TOO_LARGE:
        limit = _body_limit(context)
        response = _responses.make_refusal(
            "other",
            413,
            "too_large",
            f"The body exceeds {limit} bytes. Shorten it.",
        )
    else:
        response = _responses.make_refusal(
            "other",
            503,
            "intake_full",
            "The instance holds too many requests. Send it again later.",
            retry_after_s=_responses.RETRY_AFTER_S,
        )
    context.metrics.answers.inc(
        {"call": response.call, "status": str(response.status)}
    )
    context.metrics.refusals.inc({"reason": response.reason})
    return response.status, *_render(response)


def _body_limit(context: _responses.ApiContext) -> int:
    config = context.session.config
    if config is None:
        return context.session.settings.intake.body_bytes
    return config.max_body_bytes


def _record_response(
    context: _responses.ApiContext,
    response: _responses.Response,
    seconds: float,
) -> None:
    context.metrics.answers.inc(
        {"call": response.call, "status": str(response.status)}
    )
    if response.reason:
        context.metrics.refusals.inc({"reason": response.reason})
    if response.call == "state" and response.status == 200:
        return
    version = context.session.config.version if context.session.config else 0
    LOG.info(
        "Call is answered.",
        call=response.call,
        job=response.job,
        status=response.status,
        reason=response.reason,
        config_version=version,
        seconds=round(seconds, 4),
        **response.inputs,
    )


async def _dispatch(
    context: _responses.ApiContext, request: httputil.HTTPServerRequest
) -> _responses.Response:
    config = context.session.config
    if config is None:
        return _responses.make_refusal(
            "other",
            503,
            "no_config",
            "No configuration is known yet. Come back later.",
            retry_after_s=_responses.RETRY_AFTER_S,
        )
    queue = platform.find_queue(config, request.host, request.path)
    if queue is None:
        return _responses.make_refusal(
            "other",
            404,
            "unknown_queue",
            "No queue has this host and path. Check the URL.",
        )
    rest = request.path.removeprefix(queue.prefix)
    access = _access.decide(
        config,
        queue,
        request.headers.get(platform.KEY_HEADER, ""),
        confirmed=_configuration.serves_keys(context.session),
    )
    if access.refusal:
        call = _call_name(request.method, rest)
        job = rest if platform.is_job_id(rest) else ""
        return _responses.refuse_access(call, access.refusal, job=job)
    workspace = access.workspace
    if not rest:
        if request.method == "GET":
            return await _lookups.count_pending(context, queue)
        return _method_not_allowed(request.method)
    if not platform.is_job_id(rest):
        return _responses.make_refusal(
            "other",
            404,
            "malformed_id",
            "A job's id has 16 hexadecimal digits. Correct it.",
        )
    if request.method == "POST":
        return await _submission.submit(
            context, queue, rest, request, workspace=workspace
        )
    if request.method == "GET":
        return await _lookups.get_state(
            context, queue, rest, workspace=workspace
        )
    if request.method == "DELETE":
        return await _submission.cancel(
            context, queue, rest, workspace=workspace
        )
    return _method_not_allowed(request.method)


def _call_name(method: str, rest: str) -> str:
    if method == "GET":
        return "state" if rest else "pending"
    return {"POST": "submit", "DELETE": "cancel"}.get(method, "other")


def _method_not_allowed(method: str) -> _responses.Response:
    return _responses.make_refusal(
        "other", 405, "method", f"{method} is not supported. Use POST or GET."
    )
