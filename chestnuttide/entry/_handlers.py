"""HTTP request handlers for callers and operators."""

import asyncio
import collections.abc
import json
import time
import typing
import uuid

import tornado.web

from chestnuttide.entry import _forwarding
from chestnuttide.entry import _parsing
from chestnuttide.entry import _state
from chestnuttide import errors
from chestnuttide import mesh
from chestnuttide import model
from chestnuttide import routing
from chestnuttide import telemetry

# Timeout of a scheduler call that reads its status or the configuration, or
# starts a drain.
STATUS_TIMEOUT_S = 2.0
# Timeout of a configuration patch; allows for store outages and conflicting
# patches.
PATCH_TIMEOUT_S = 10.0


@tornado.web.stream_request_body
class BaseHandler(tornado.web.RequestHandler):
    """Base handler that sends refusals and counts the calls in flight.

    A call is in flight from its headers until its response is written, so that
    a graceful stop interrupts neither a body nor a response in transfer.
    Bodies are streamed for the same reason, and because tornado would refuse
    oversized ones without an error code.
    """

    state: _state.EntryState

    def initialize(self, state: _state.EntryState) -> None:
        """Store the daemon's state; called by tornado."""
        self.state = state
        self._task: asyncio.Task | None = None
        self._in_flight = False
        self._chunks: list[bytes] = []
        self._body_bytes = 0

    def prepare(self) -> None:
        """Count the call as in flight; called by tornado after the headers."""
        self._in_flight = True
        self.state.in_flight += 1
        self._started = time.monotonic()
        if self.state.stopping:
            self.set_header("Connection", "close")

    def data_received(self, chunk: bytes) -> None:
        """Append a chunk to the body unless the body is too large."""
        self._body_bytes += len(chunk)
        if self._body_bytes <= self.state.settings.entry.max_body_bytes:
            self._chunks.append(chunk)
        else:
            self._chunks.clear()

    def read_body(self) -> bytes:
        """Return the complete body.

        Raises
        ------
        errors.RefusedError
            With `TOO_LARGE`.
        """
        if self._body_bytes > self.state.settings.entry.max_body_bytes:
            raise errors.RefusedError(
                reason=errors.Reason.TOO_LARGE,
                message="The body is too large.",
                remedy="Send less, or raise entry.max_body_bytes.",
            )
        return b"".join(self._chunks)

    def finish(
        self, chunk: str | bytes | dict | None = None
    ) -> asyncio.Future[None]:
        """Send the response; called by handlers and by tornado."""
        written = super().finish(chunk)
        written.add_done_callback(lambda _: self._end_call())
        return written

    def on_connection_close(self) -> None:
        """End a call whose caller disconnected; called by tornado."""
        super().on_connection_close()
        self._end_call()

    def _end_call(self) -> None:
        if self._in_flight:
            self._in_flight = False
            self.state.in_flight -= 1

    def write_error(self, status_code: int, **kwargs: typing.Any) -> None:
        """Send an exception as a refusal; called by tornado."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if not isinstance(error, errors.RefusedError):
            error = _to_refusal(status_code, error)
        self.refuse(error)

    def refuse(self, error: errors.RefusedError) -> None:
        """Send and count a refusal."""
        telemetry.count_refusal(self.state.metrics, error.reason)
        self.set_status(errors.HTTP_STATUS[error.reason])
        self.set_header("Content-Type", routing.JSON_TYPE)
        self.finish(routing.encode_error(error))

    def log_exception(self, *args: typing.Any) -> None:
        """Log exceptions other than refusals, which are only counted."""
        if not isinstance(args[1], errors.RefusedError):
            super().log_exception(*args)

    def answer_reply(self, reply: mesh.Reply | None) -> None:
        """Send a scheduler's reply to the caller."""
        if reply is None:
            raise make_no_scheduler_error()
        if reply.reason:
            telemetry.count_refusal(
                self.state.metrics, errors.Reason(reply.reason)
            )
        self.set_status(reply.status)
        self.set_header("Content-Type", routing.JSON_TYPE)
        self.finish(reply.body)

    def answer_request(self, reply: mesh.RequestReply) -> None:
        """Send a target's response or a refusal of the request."""
        self.set_status(reply.status)
        self.set_header("Content-Type", reply.content_type)
        self.set_header("X-Request-Id", reply.request_id)
        if reply.target:
            self.set_header("X-Target", reply.target)
        self.finish(reply.body)

    def answer_json(self, document: object) -> None:
        """Send a JSON document."""
        self.set_header("Content-Type", routing.JSON_TYPE)
        self.finish(json.dumps(document))


class RequestsHandler(BaseHandler):
    """Accepts requests to a service."""

    async def post(self, service: str) -> None:
        """Forward a request and send the target's response or a refusal."""
        request = _parsing.parse_request(
            service,
            self.read_body(),
            wall_now=time.time(),
            now=time.monotonic(),
        )
        shard = _request_shard(self.state, service, request.request_id)
        if request.team not in self.state.config.cell_config.teams:
            raise errors.RefusedError(
                reason=errors.Reason.UNKNOWN_TEAM,
                message=f"There is no team {request.team}.",
                remedy="Use a team of the config, or add it by a patch.",
            )
        self._task = asyncio.current_task()
        reply = await _forwarding.forward_request(self.state, request, shard)
        if reply.reason:
            telemetry.count_refusal(
                self.state.metrics, errors.Reason(reply.reason)
            )
        self.state.metrics.request_seconds.observe(
            {}, time.monotonic() - self._started
        )
        self.answer_request(reply)

    def on_connection_close(self) -> None:
        """Cancel the call of a caller that disconnected; called by tornado."""
        super().on_connection_close()
        if self._task is not None:
            self._task.cancel()


class RequestHandler(BaseHandler):
    """Reads the state of a non-idempotent request."""

    async def get(self, service: str, request_id: str) -> None:
        """Send the state that the shard's owner has recorded."""
        shard = _request_shard(self.state, service, request_id)
        self.answer_reply(
            await _forwarding.call_shard(
                self.state,
                shard,
                lambda call_id: mesh.RequestRead(
                    call_id=call_id, shard=shard, request_id=request_id
                ),
            )
        )


class AnswerHandler(BaseHandler):
    """Reads the stored response of a non-idempotent request."""

    async def get(self, service: str, request_id: str) -> None:
        """Send the target's response if an owner still has it."""
        reply = await _forwarding.read_answer(
            self.state,
            _request_shard(self.state, service, request_id),
            request_id,
        )
        if isinstance(reply, mesh.RequestReply):
            self.answer_request(reply)
        else:
            self.answer_reply(reply)


class JobsHandler(BaseHandler):
    """Submits and lists jobs."""

    async def post(self) -> None:
        """Submit a job to the owner of its pool."""
        job = _parsing.parse_job(self.read_body())
        shard = _pool_shard(self.state, job.job_id)
        need = job.resources
        maybe_sent = False

        def make_message(call_id: int) -> mesh.JobSubmit:
            return mesh.JobSubmit(
                call_id=call_id,
                shard=shard,
                job_id=job.job_id,
                kind=job.kind.value,
                team=job.team,
                workload_class=job.workload_class,
                tasks=job.tasks,
                cpu_millis=need.cpu_millis,
                memory_mb=need.memory_mb,
                accelerators=need.accelerators,
                urgent=job.urgent,
                declared_run_s=job.declared_run_s,
                wait_limit_s=job.wait_limit_s,
                payload=job.payload,
                resend=maybe_sent,
            )

        def make_attempt(call_id: int) -> mesh.JobSubmit:
            nonlocal maybe_sent
            message = make_message(call_id)
            maybe_sent = True
            return message

        self.answer_reply(
            await _forwarding.call_shard(self.state, shard, make_attempt)
        )

    async def get(self) -> None:
        """List the jobs of all pools."""
        team = self.get_query_argument("team", "")
        after = self.get_query_argument("after", "")
        pools = self.state.config.cell_config.pool.pools
        replies = await asyncio.gather(
            *(
                _forwarding.call_shard(
                    self.state, shard, _make_job_read(shard, "", team, after)
                )
                for shard in model.pool_shards(pools)
            )
        )
        jobs: list[object] = []
        for reply in replies:
            if reply.reason:
                self.answer_reply(reply)
                return
            jobs += json.loads(reply.body)["jobs"]
        self.answer_json({"jobs": jobs})


class JobHandler(BaseHandler):
    """Reads and cancels one job."""

    async def get(self, job_id: str) -> None:
        """Send the state of the job."""
        shard = _pool_shard(self.state, job_id)
        self.answer_reply(
            await _forwarding.call_shard(
                self.state, shard, _make_job_read(shard, job_id, "", "")
            )
        )

    async def delete(self, job_id: str) -> None:
        """Cancel the job."""
        shard = _pool_shard(self.state, job_id)
        self.answer_reply(
            await _forwarding.call_shard(
                self.state,
                shard,
                lambda call_id: mesh.JobCancel(
                    call_id=call_id, shard=shard, job_id=job_id
                ),
            )
        )


class ConfigHandler(BaseHandler):
    """Reads the configuration."""

    async def get(self) -> None:
        """Send the requested version, or by default the one in force."""
        argument = self.get_query_argument("version", "-1")
        try:
            version = int(argument)
        except ValueError:
            raise errors.RefusedError(
                reason=errors.Reason.INVALID_VALUE,
                message="version is not an integer.",
                remedy="Give the number of a version.",
            ) from None
        self.answer_reply(
            await _call_any_scheduler(
                self.state,
                lambda call_id: mesh.ConfigRead(
                    call_id=call_id, version=version, history=False
                ),
                STATUS_TIMEOUT_S,
            )
        )


class HistoryHandler(BaseHandler):
    """Reads the history of the configuration."""

    async def get(self) -> None:
        """Send the stored versions, newest last."""
        self.answer_reply(
            await _call_any_scheduler(
                self.state,
                lambda call_id: mesh.ConfigRead(
                    call_id=call_id, version=-1, history=True
                ),
                STATUS_TIMEOUT_S,
            )
        )


class PatchesHandler(BaseHandler):
    """Accepts configuration patches."""

    async def post(self) -> None:
        """Submit a patch and send the new version or a refusal."""
        body = _parsing.parse_patch(self.read_body())
        write_id = uuid.uuid4().hex
        self.answer_reply(
            await _call_any_scheduler(
                self.state,
                lambda call_id: mesh.PatchSubmit(
                    call_id=call_id,
                    base=body.base,
                    patch=json.dumps(body.patch).encode(),
                    author=body.author,
                    write_id=write_id,
                ),
                PATCH_TIMEOUT_S,
            )
        )


class StatusHandler(BaseHandler):
    """Reads the status of the cell."""

    async def get(self) -> None:
        """Send the merged status of all connected schedulers."""
        replies = await asyncio.gather(
            *(
                _forwarding.try_call(
                    self.state,
                    connection,
                    lambda call_id: mesh.StatusRead(call_id=call_id),
                    STATUS_TIMEOUT_S,
                )
                for connection in mesh.schedulers(self.state.network)
            )
        )
        merged: dict[str, list[object]] = {
            "instances": [],
            "shards": [],
            "workers": [],
            "queues": [],
        }
        for reply in replies:
            if reply is None:
                continue
            part = json.loads(reply.body)
            for name, rows in merged.items():
                rows += part[name]
        self.answer_json(merged)


class DrainHandler(BaseHandler):
    """Starts the graceful stop of an instance's scheduler."""

    async def post(self, instance_id: str) -> None:
        """Respond once the scheduler has started to hand over its shards."""
        connection = self.state.network.connections.get(
            ("scheduler", instance_id)
        )
        if connection is None:
            raise errors.RefusedError(
                reason=errors.Reason.INVALID_VALUE,
                message=f"Instance {instance_id} is not connected.",
                remedy="Name an instance that the status lists.",
            )
        self.answer_reply(
            await _forwarding.try_call(
                self.state,
                connection,
                lambda call_id: mesh.Drain(call_id=call_id),
                STATUS_TIMEOUT_S,
            )
        )


class HealthHandler(BaseHandler):
    """Reports that the process is alive."""

    def get(self) -> None:
        """Respond with 200."""
        self.answer_json({"healthy": True})


class ReadyHandler(BaseHandler):
    """Reports readiness to the load balancer."""

    def get(self) -> None:
        """Respond with 200 if ready, otherwise 503."""
        ready = _state.is_ready(self.state)
        self.set_status(200 if ready else 503)
        self.answer_json(
            {
                "ready": ready,
                "config_version": self.state.config.history.version,
            }
        )


class UnknownPathHandler(BaseHandler):
    """Refuses calls to unknown paths."""

    def get(self) -> None:
        """Refuse the call, whatever its method."""
        raise errors.RefusedError(
            reason=errors.Reason.MALFORMED,
            message=f"There is no path {self.request.path[:256]}.",
            remedy="See the interfaces in docs/design.md.",
        )

    post = put = patch = delete = get


def make_no_scheduler_error() -> errors.RefusedError:
    """Return the refusal of a call that no scheduler answered."""
    return errors.RefusedError(
        reason=errors.Reason.NO_OWNER,
        message="No scheduler answered the call.",
        remedy="Check the state of your call before you try again.",
        run_state=errors.RunState.UNKNOWN,
    )


async def _call_any_scheduler(
    state: _state.EntryState,
    make_message: collections.abc.Callable[[int], object],
    timeout_s: float,
) -> mesh.Reply | None:
    """Call this instance's scheduler first, then the others in turn."""
    local = state.settings.instance_id
    connections = sorted(
        mesh.schedulers(state.network),
        key=lambda each: (each.peer.sender != local, each.peer.sender),
    )
    for connection in connections:
        reply = await _forwarding.try_call(
            state, connection, make_message, timeout_s
        )
        if reply is not None:
            return reply
    return None


def _make_job_read(
    shard: str, job_id: str, team: str, after: str
) -> collections.abc.Callable[[int], mesh.JobRead]:
    return lambda call_id: mesh.JobRead(
        call_id=call_id, shard=shard, job_id=job_id, team=team, after=after
    )


def _request_shard(
    state: _state.EntryState, service: str, request_id: str
) -> str:
    policy = state.config.cell_config.services.get(service)
    if policy is None:
        raise errors.RefusedError(
            reason=errors.Reason.UNKNOWN_SERVICE,
            message=f"There is no service {service[:128]}.",
            remedy="Use a service of the config, or add it by a patch.",
        )
    return model.request_shard(service, request_id, policy.shards)


def _pool_shard(state: _state.EntryState, job_id: str) -> str:
    pools = state.config.cell_config.pool.pools
    return model.pool_shard(_parsing.parse_id(job_id, "id"), pools)


def _to_refusal(
    status_code: int, error: BaseException | None
) -> errors.RefusedError:
    if status_code < 500:
        return errors.RefusedError(
            reason=errors.Reason.MALFORMED,
            message=f"The call is invalid: {error}.",
            remedy="See the interfaces in docs/design.md.",
        )
    return errors.RefusedError(
        reason=errors.Reason.INTERNAL,
        message="The entry failed to handle the call.",
        remedy="Check the state of your call, and report the log line.",
        run_state=errors.RunState.UNKNOWN,
    )
