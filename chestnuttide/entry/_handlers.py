"""HTTP handlers for callers and operators."""

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

# Seconds that a scheduler may take to tell its status.
STATUS_TIMEOUT_S = 2.0
# Seconds that a patch may take, store outages and races included.
PATCH_TIMEOUT_S = 10.0


@tornado.web.stream_request_body
class BaseHandler(tornado.web.RequestHandler):
    """Answers refusals and keeps count of calls in flight.

    A call is in flight from its headers until its answer is written, so that
    a planned stop cuts off neither a body nor an answer that is under way.
    Bodies are streamed for the same reason, and because tornado would answer
    too large ones without a code.
    """

    state: _state.EntryState

    def initialize(self, state: _state.EntryState) -> None:
        """Take the daemon's state; called by tornado."""
        self.state = state
        self._task: asyncio.Task | None = None
        self._in_flight = False
        self._chunks: list[bytes] = []
        self._body_bytes = 0

    def prepare(self) -> None:
        """Count the call; called by tornado after the headers."""
        self._in_flight = True
        self.state.in_flight += 1
        self._started = time.monotonic()
        if self.state.stopping:
            self.set_header("Connection", "close")

    def data_received(self, chunk: bytes) -> None:
        """Keep a part of the body, if it is not too large."""
        self._body_bytes += len(chunk)
        if self._body_bytes <= self.state.settings.entry.max_body_bytes:
            self._chunks.append(chunk)
        else:
            self._chunks.clear()

    def read_body(self) -> bytes:
        """Return the whole body.

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
        """Send the answer; called by handlers and by tornado."""
        written = super().finish(chunk)
        written.add_done_callback(lambda _: self._end())
        return written

    def on_connection_close(self) -> None:
        """Count the end of a call whose caller is gone."""
        super().on_connection_close()
        self._end()

    def _end(self) -> None:
        if self._in_flight:
            self._in_flight = False
            self.state.in_flight -= 1

    def write_error(self, status_code: int, **kwargs: typing.Any) -> None:
        """Answer an exception as a refusal; called by tornado."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if not isinstance(error, errors.RefusedError):
            error = _as_refusal(status_code, error)
        self.refuse(error)

    def refuse(self, error: errors.RefusedError) -> None:
        """Answer and count a refusal."""
        telemetry.count_refusal(self.state.metrics, error.reason)
        self.set_status(errors.HTTP_STATUS[error.reason])
        self.set_header("Content-Type", routing.JSON_TYPE)
        self.finish(routing.encode_error(error))

    def log_exception(self, *args: typing.Any) -> None:
        """Leave refusals out of the log; they are counted."""
        if not isinstance(args[1], errors.RefusedError):
            super().log_exception(*args)

    def answer_reply(self, reply: mesh.Reply | None) -> None:
        """Answer with a scheduler's reply."""
        if reply is None:
            raise no_scheduler()
        if reply.reason:
            telemetry.count_refusal(
                self.state.metrics, errors.Reason(reply.reason)
            )
        self.set_status(reply.status)
        self.set_header("Content-Type", routing.JSON_TYPE)
        self.finish(reply.body)

    def answer_request(self, reply: mesh.RequestReply) -> None:
        """Answer with a target's answer or the refusal of a request."""
        self.set_status(reply.status)
        self.set_header("Content-Type", reply.content_type)
        self.set_header("X-Request-Id", reply.request_id)
        if reply.target:
            self.set_header("X-Target", reply.target)
        self.finish(reply.body)

    def answer_json(self, document: object) -> None:
        """Answer with a JSON document."""
        self.set_header("Content-Type", routing.JSON_TYPE)
        self.finish(json.dumps(document))


class RequestsHandler(BaseHandler):
    """Takes a caller's request to a service."""

    async def post(self, service: str) -> None:
        """Answer with the target's whole answer, or a refusal."""
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
        """Give up the call when its caller is gone; called by tornado."""
        super().on_connection_close()
        if self._task is not None:
            self._task.cancel()


class RequestHandler(BaseHandler):
    """Tells the state of a non-idempotent request."""

    async def get(self, service: str, request_id: str) -> None:
        """Answer with the state as the shard's owner knows it."""
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
    """Gives the answer of a non-idempotent request once more."""

    async def get(self, service: str, request_id: str) -> None:
        """Answer with the target's answer if an owner still has it."""
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
    """Takes and lists jobs."""

    async def post(self) -> None:
        """Submit a job to the owner of its pool."""
        job = _parsing.parse_job(self.read_body())
        shard = _pool_shard(self.state, job.job_id)
        need = job.resources
        resent = False

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
                resend=resent,
            )

        def make_next(call_id: int) -> mesh.JobSubmit:
            nonlocal resent
            message = make_message(call_id)
            resent = True
            return message

        self.answer_reply(
            await _forwarding.call_shard(self.state, shard, make_next)
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
        """Answer with the job's state."""
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
    """Reads the config."""

    async def get(self) -> None:
        """Answer with the document at a version, or the one in force."""
        argument = self.get_query_argument("version", "-1")
        try:
            version = int(argument)
        except ValueError:
            raise errors.RefusedError(
                reason=errors.Reason.INVALID_VALUE,
                message="version is no number.",
                remedy="Give the number of a version.",
            ) from None
        self.answer_reply(
            await _call_any(
                self.state,
                lambda call_id: mesh.ConfigRead(
                    call_id=call_id, version=version, history=False
                ),
                STATUS_TIMEOUT_S,
            )
        )


class HistoryHandler(BaseHandler):
    """Reads the config's history."""

    async def get(self) -> None:
        """Answer with the kept versions, newest last."""
        self.answer_reply(
            await _call_any(
                self.state,
                lambda call_id: mesh.ConfigRead(
                    call_id=call_id, version=-1, history=True
                ),
                STATUS_TIMEOUT_S,
            )
        )


class PatchesHandler(BaseHandler):
    """Takes config patches."""

    async def post(self) -> None:
        """Answer with the new version, or a refusal."""
        body = _parsing.parse_patch(self.read_body())
        write_id = uuid.uuid4().hex
        self.answer_reply(
            await _call_any(
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
    """Tells the cell's status."""

    async def get(self) -> None:
        """Answer with what all connected schedulers tell."""
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
    """Begins the graceful stop of an instance's scheduler."""

    async def post(self, instance_id: str) -> None:
        """Answer once the scheduler has begun to hand over its shards."""
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
    """Tells that the process answers."""

    def get(self) -> None:
        """Answer 200."""
        self.answer_json({"healthy": True})


class ReadyHandler(BaseHandler):
    """Tells the balancer whether to send calls here."""

    def get(self) -> None:
        """Answer 200 if ready, else 503."""
        ready = _state.is_ready(self.state)
        self.set_status(200 if ready else 503)
        self.answer_json(
            {
                "ready": ready,
                "config_version": self.state.config.history.version,
            }
        )


class UnknownPathHandler(BaseHandler):
    """Refuses all other paths."""

    def get(self) -> None:
        """Refuse, whatever the method."""
        raise errors.RefusedError(
            reason=errors.Reason.MALFORMED,
            message=f"There is no path {self.request.path[:256]}.",
            remedy="See the interfaces in docs/design.md.",
        )

    post = put = patch = delete = get


def no_scheduler() -> errors.RefusedError:
    """Return the refusal of a call that no scheduler answered."""
    return errors.RefusedError(
        reason=errors.Reason.NO_OWNER,
        message="No scheduler has answered.",
        remedy="Read the state of your call, then try again.",
        run_state=errors.RunState.UNKNOWN,
    )


async def _call_any(
    state: _state.EntryState,
    make_message: collections.abc.Callable[[int], object],
    timeout_s: float,
) -> mesh.Reply | None:
    """Call this instance's scheduler, or else the others in turn."""
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


def _as_refusal(
    status_code: int, error: BaseException | None
) -> errors.RefusedError:
    if status_code < 500:
        return errors.RefusedError(
            reason=errors.Reason.MALFORMED,
            message=f"The call was not understood: {error}.",
            remedy="See the interfaces in docs/design.md.",
        )
    return errors.RefusedError(
        reason=errors.Reason.INTERNAL,
        message="The entry failed while answering.",
        remedy="Read the state of your call, and report the log line.",
        run_state=errors.RunState.UNKNOWN,
    )
