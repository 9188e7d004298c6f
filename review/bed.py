"""Stand-ins and daemons on loopback for the scripts of the review.

Store, workers and callers live in the script's process. Each daemon is a
process of its own, started with the command of the deploy file.
"""

import asyncio
import base64
import collections.abc
import contextlib
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
SERVICE = "layout"
HOST = "dials.example"
PREFIX = "/layout/"

# Bounds of the sheet of gnomon-coop.
STOP_S = 0.9
HOLD_MAX_S = 10.0
BEAT_S = 1.5
GRACE_S = 6.0
MAX_ENDS = 500
CLIENT_DEADLINE_S = 3.0

Answer = tuple[int, dict] | None
Handler = collections.abc.Callable[
    [str, str, dict[str, str], dict], collections.abc.Awaitable[Answer]
]


class Record:
    """What was sent, answered and run, as lines with the time."""

    def __init__(self, path: pathlib.Path) -> None:
        """Start an empty record."""
        self.path = path
        self.started_at = time.monotonic()
        self.lines: list[str] = []

    def add(self, text: str) -> None:
        """Add a line."""
        now = time.monotonic() - self.started_at
        self.lines.append(f"{now:8.3f} {text}")

    def write(self) -> None:
        """Write all lines."""
        self.path.write_text("\n".join(self.lines) + "\n", encoding="utf-8")


class HttpServer:
    """HTTP/1.1 server with JSON bodies; one handler for all requests."""

    def __init__(self, handler: Handler) -> None:
        """Keep the handler; `start` binds the port."""
        self.handler = handler
        self.address = ""
        self.tasks: set[asyncio.Task] = set()

    async def start(self) -> str:
        """Listen on a free port of 127.0.0.1 and return the address."""
        server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=64 * 1024 * 1024, backlog=1000
        )
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        return self.address

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while await self._serve_request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *rows = head.decode().split("\r\n")
        method, target, _ = first.split(" ")
        headers = {}
        for row in rows:
            name, _, value = row.partition(":")
            headers[name.strip().lower()] = value.strip()
        raw = await reader.readexactly(int(headers.get("content-length", 0)))
        body = json.loads(raw) if raw else {}
        answer = await self.handler(method, target, headers, body)
        if answer is None:
            # No answer: the connection stays open until the peer closes it.
            await reader.read()
            return False
        status, document = answer
        text = json.dumps(document).encode()
        writer.write(
            f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(text)}\r\n\r\n".encode()
        )
        writer.write(text)
        await writer.drain()
        return True


class Store:
    """The platform's store, as PROTOCOL.md describes it."""

    def __init__(self) -> None:
        """Start empty."""
        self.revision = 1
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.changed = asyncio.Event()
        self.next_lease = 1000
        # While False, each call gets `refusal`; leases lapse if `lapse`.
        self.up = True
        self.refusal: Answer = (503, {})
        self.lapse = False

    def put(self, key: str, value: bytes) -> None:
        """Write a key, as the operator and the workers do."""
        self.revision += 1
        self._write(key, base64.b64encode(value).decode(), 0)
        self._notify()

    def remove(self, key: str) -> None:
        """Remove a key, as the platform does with a lapsed entry."""
        self.revision += 1
        self._delete(key)
        self._notify()

    def _write(self, key: str, value: str, lease: int) -> None:
        created = self.items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": value,
            "rev": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self.history.append(item)

    def _delete(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.history.append(
                {"key": key, "rev": self.revision, "deleted": True}
            )

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def expire_leases(self) -> None:
        """Remove leases that have run out, with their keys."""
        now = time.monotonic()
        for lease, (until, _) in list(self.leases.items()):
            if until < now:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        keys = [k for k, item in self.items.items() if item["lease"] == lease]
        if not keys:
            return
        self.revision += 1
        for key in keys:
            self._delete(key)
        self._notify()

    async def watch_leases(self) -> None:
        """Expire leases until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            if self.up or self.lapse:
                self.expire_leases()

    async def handle(
        self, method: str, target: str, headers: dict[str, str], body: dict
    ) -> Answer:
        """Answer a call."""
        if not self.up:
            return self.refusal
        self.expire_leases()
        path, _, query_text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {}
            return 200, {**item, "storeRevision": self.revision}
        if path == "/v1/kv-range":
            return self._range(query)
        if path == "/v1/kv-watch":
            return await self._watch(query)
        if path == "/v1/kv-txn":
            return self._transact(body)
        return self._answer_lease(path, body)

    def _range(self, query: dict[str, str]) -> Answer:
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        )
        return 200, {
            "items": [self.items[key] for key in keys[:500]],
            "hasMore": len(keys) > 500,
            "storeRevision": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> Answer:
        after = int(query["after"])
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [
                item
                for item in self.history
                if item["rev"] > after
                and item["key"].startswith(query["prefix"])
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {
                    "events": events,
                    "storeRevision": self.revision,
                }
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self.changed.wait()
            if not self.up:
                return self.refusal

    def _transact(self, body: dict) -> Answer:
        expected = body.get("expect", [])
        for row in expected:
            item = self.items.get(row["key"])
            if (item["rev"] if item else 0) != row["rev"]:
                found = [self.items.get(each["key"]) for each in expected]
                return 412, {"items": [each for each in found if each]}
        puts = body.get("puts", [])
        for put in puts:
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
        self.revision += 1
        for put in puts:
            self._write(put["key"], put["value"], put.get("lease", 0))
        for key in body.get("remove", []):
            self._delete(key)
        self._notify()
        return 200, {"rev": self.revision}

    def _answer_lease(self, path: str, body: dict) -> Answer:
        now = time.monotonic()
        if path == "/v1/kv-lease":
            self.next_lease += 1
            ttl_s = body["ttlMs"] / 1000
            self.leases[self.next_lease] = (now + ttl_s, ttl_s)
            return 200, {"lease": self.next_lease, "ttlMs": body["ttlMs"]}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/v1/kv-keep/"):
            ttl_s = self.leases[lease][1]
            self.leases[lease] = (now + ttl_s, ttl_s)
        else:
            self._end_lease(lease)
        return 200, {}


class Runner:
    """A runner ("worker" in the project), as PROTOCOL.md describes it."""

    def __init__(
        self,
        name: str,
        record: Record,
        *,
        capacity: dict[str, int],
        run_s: collections.abc.Callable[[str], float],
        labels: tuple[str, ...] = ("a", "r1-1"),
        service: str = SERVICE,
    ) -> None:
        """Start the first lifetime."""
        self.name = name
        self.record = record
        self.capacity = capacity
        self.run_s = run_s
        self.labels = labels
        self.service = service
        self.address = ""
        self.seq = 0
        # (time, what, task, run, end): start, end HOW, noted. An end has
        # the number of the lifetime and its number there.
        self.log: list[tuple[float, str, str, int, tuple[int, int]]] = []
        self.lapses: list[float] = []
        self.end_times: dict[tuple[int, int], float] = {}
        self.lifetime = 0
        self.begin_lifetime()

    def begin_lifetime(self) -> None:
        """Forget everything, as a runner does that starts again."""
        self.lifetime += 1
        self.born = int(time.time() * 1000)
        self.clock_zero = time.monotonic() - 1.0
        self.fence = 0
        self.deadline_ms = self.lapsed_ms = 0
        self.running: dict[tuple[str, int], dict] = {}
        self.highest: dict[str, int] = {}
        self.ended: list[list] = []
        self.noted: set[int] = set()
        self.next_end = 1
        self.changed = asyncio.Event()

    @property
    def clock_ms(self) -> int:
        """The runner's steady clock."""
        return int((time.monotonic() - self.clock_zero) * 1000)

    def entry(self) -> bytes:
        """Return its entry in the store."""
        self.seq += 1
        return json.dumps(
            {
                "service": self.service,
                "addr": self.address,
                "zone": "a",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldLeftMs": 0,
                "capacity": self.capacity,
                "labels": list(self.labels),
                "born": self.born,
                "seq": self.seq,
            }
        ).encode()

    def _note(self, what: str, task: str, run: int, number: int = 0) -> None:
        end = (self.lifetime, number)
        self.log.append((time.monotonic(), what, task, run, end))
        self.record.add(f"{self.name} {what} {task} run {run} {number or ''}")

    def _end(self, key: tuple[str, int], how: str) -> None:
        del self.running[key]
        number, self.next_end = self.next_end, self.next_end + 1
        self.ended.append([number, *key, how, ""])
        self.end_times[(self.lifetime, number)] = time.monotonic()
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        self._note(f"end {how}", *key, number)
        self.changed.set()
        self.changed = asyncio.Event()

    def crash(self) -> None:
        """Lose everything; the caller begins the next lifetime later."""
        for key in list(self.running):
            del self.running[key]
            self._note("end crashed", *key)
        self.begin_lifetime()

    def check(self) -> None:
        """End what is due, and everything once the lease has run out."""
        now = time.monotonic()
        if self.clock_ms > self.deadline_ms:
            if self.lapsed_ms != self.deadline_ms:
                self.lapsed_ms = self.deadline_ms
                self.lapses.append(now)
            for key in list(self.running):
                self._end(key, "lapsed")
            return
        for key, run in sorted(
            self.running.items(), key=lambda pair: pair[1]["due"]
        ):
            if run["stop_at"] and now >= run["stop_at"]:
                self._end(key, "stopped")
            elif not run["stop_at"] and now >= run["due"]:
                self._end(key, "done")

    async def tick(self) -> None:
        """Run the clock until cancelled."""
        while True:
            await asyncio.sleep(0.01)
            self.check()

    async def handle(
        self, method: str, target: str, headers: dict[str, str], body: dict
    ) -> Answer:
        """Answer an order."""
        self.check()
        if headers.get("expect-instance", self.name) != self.name:
            return 421, self._clock()
        fence = body.get("fence", 0)
        if fence < self.fence:
            return 409, {**self._clock(), "reason": "fence"}
        self.fence = fence
        if "deadlineMs" in body:
            longest = self.clock_ms + int(HOLD_MAX_S * 1000)
            deadline_ms = min(body["deadlineMs"], longest)
            self.deadline_ms = max(self.deadline_ms, deadline_ms)
        if target == "/v1/hold":
            return await self._hold(body)
        if target == "/v1/run-start":
            return self._start(body)
        if target == "/v1/run-stop":
            return self._stop(body)
        return 200, self._clock()

    def _clock(self) -> dict:
        return {"clockMs": self.clock_ms, "born": self.born}

    def _start(self, body: dict) -> Answer:
        key = (body["task"], body["run"])
        if key in self.running:
            return 200, self._clock()
        if key[1] <= self.highest.get(key[0], 0):
            return 409, {**self._clock(), "reason": "old"}
        if body["deadlineMs"] < self.clock_ms:
            return 409, {**self._clock(), "reason": "late"}
        now = time.monotonic()
        self.running[key] = {
            "at": now,
            "due": now + self.run_s(key[0]),
            "stop_at": 0.0,
        }
        self._note(f"start fence {self.fence}", *key)
        return 200, self._clock()

    def _stop(self, body: dict) -> Answer:
        key = (body["task"], body["run"])
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        run = self.running.get(key)
        if run is not None and not run["stop_at"]:
            run["stop_at"] = time.monotonic() + STOP_S - 0.1
            self._note("stop", *key)
        return 200, self._clock()

    async def _hold(self, body: dict) -> Answer:
        seen = body.get("seenUpto", 0)
        for number, task, run, how, _ in self.ended:
            if number <= seen and number not in self.noted:
                self.noted.add(number)
                self._note(f"noted {how}", task, run, number)
        self.ended = [row for row in self.ended if row[0] > seen]
        until = time.monotonic() + body.get("waitMs", 0) / 1000
        born = self.born
        while not self.ended and time.monotonic() < until:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(until - time.monotonic()):
                    await self.changed.wait()
            if self.born != born:
                return None
        now = time.monotonic()
        running = [
            [
                *key,
                "",
                min(99, int(100 * (now - run["at"]) / self.run_s(key[0]))),
                0,
            ]
            for key, run in self.running.items()
        ]
        return 200, {
            **self._clock(),
            "running": running,
            "ended": self.ended[:MAX_ENDS],
        }


class Advisor:
    """The service that says which runners may run a step."""

    def __init__(self) -> None:
        """Answer by the policy that `set_policy` gives."""
        self.decide_s = self.each_s = 0.0
        self.turn = asyncio.Lock()

    def set_policy(self, advice: dict[str, float]) -> None:
        """Take over the times of a queue's policy."""
        self.decide_s = advice["decideMs"] / 1000
        self.each_s = advice["eachMs"] / 1000

    async def handle(
        self, method: str, target: str, headers: dict[str, str], body: dict
    ) -> Answer:
        """Allow every runner, one call at a time."""
        workers = body["workers"]
        async with self.turn:
            await asyncio.sleep(self.decide_s + self.each_s * len(workers))
        return 200, {"good": [[each, f"ticket-{each}"] for each in workers]}


class Daemon:
    """A daemon of the project, in a process of its own."""

    def __init__(self, bed: "Bed", name: str, store: str) -> None:
        """Choose ports and write the settings."""
        self.bed, self.name = bed, name
        ports = find_ports(4)
        self.front, self.ready = ports[:2]
        self.settings = bed.folder / f"{name}.jsonc"
        self.settings.write_text(
            json.dumps(
                {
                    "instance": name,
                    "data_centre": "a",
                    "ip": "127.0.0.1",
                    "listen": {
                        "callers": f"127.0.0.1:{ports[0]}",
                        "readiness": f"127.0.0.1:{ports[1]}",
                    },
                    "mesh_ports": [ports[2], ports[2]],
                    "store": {"address": store, "min_lease_ms": 1000},
                    "advisor": bed.advisor_address,
                    "capacity": {
                        "core_share": 0.537,
                        "core_speed": 2,
                        "link_mbps": 1000.0,
                    },
                    "bounds": {
                        "worker_lease_max_ms": HOLD_MAX_S * 1000,
                        "stop_ms": STOP_S * 1000,
                        "status_s": 120,
                        "grace_s": GRACE_S,
                        "worker_heartbeat_ms": BEAT_S * 1000,
                    },
                    "metrics_port": ports[3],
                }
            ),
            encoding="utf-8",
        )
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads(
            (ROOT / "deploy/system.toml").read_text(encoding="utf-8")
        )
        with open(self.bed.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                shlex.split(deploy["roles"]["node"]["run"]),
                cwd=ROOT,
                env={
                    **{
                        name: os.environ[name]
                        for name in ("PATH", "HOME", "LANG")
                        if name in os.environ
                    },
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "CHESTNUTTIDE_CONFIG": str(self.settings),
                },
                stdout=log,
                stderr=log,
            )
        self.bed.record.add(f"{self.name} started")

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)
        self.bed.record.add(f"{self.name} gets {number.name}")

    async def is_ready(self) -> bool:
        """Return whether it says that it is ready."""
        status, _ = await call(self.ready, "GET", "/v1/ready", limit_s=1.0)
        return status == 200


class Bed:
    """A cell: store, runners and daemons."""

    def __init__(self, folder: pathlib.Path, record: Record) -> None:
        """Start without runners and daemons."""
        self.folder, self.record = folder, record
        self.store = Store()
        self.advisor = Advisor()
        self.advisor_address = ""
        self.runners: list[Runner] = []
        self.daemons: list[Daemon] = []
        self.tasks: list[asyncio.Task] = []
        # One for the store of each daemon, then one for each runner.
        self.proxies: list[Proxy] = []

    def spawn(self, work: collections.abc.Coroutine) -> asyncio.Task:
        """Run a coroutine until the bed ends."""
        task = asyncio.ensure_future(work)
        self.tasks.append(task)
        return task

    async def add_runner(self, runner: Runner) -> None:
        """Serve a runner and register it."""
        runner.address = await self._listen(runner.handle)
        self.runners.append(runner)
        self.store.put(f"servers/{runner.name}", runner.entry())
        self.spawn(runner.tick())

    async def _listen(self, handler: Handler) -> str:
        proxy = Proxy(await HttpServer(handler).start())
        self.proxies.append(proxy)
        return await proxy.start()

    def owner(self) -> Daemon | None:
        """Return the daemon that the store names as the owner."""
        item = self.store.items.get(f"cell/owners/{SERVICE}")
        if item is None:
            return None
        value = base64.b64decode(item["value"])
        for daemon in self.daemons:
            if daemon.name.encode() in value:
                return daemon
        return None

    def close(self) -> None:
        """End all processes."""
        for task in self.tasks:
            task.cancel()
        for daemon in self.daemons:
            if daemon.process is not None and daemon.process.poll() is None:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
                daemon.process.wait()


def queue(**fields: object) -> dict:
    """Return a route of the configuration."""
    return {
        "name": "q1",
        "host": HOST,
        "prefix": PREFIX,
        "service": SERVICE,
        "priority": 0,
        "maxAttempts": 3,
        "stretch": 1.5,
        "targetLatencyMs": 250,
        **fields,
    }


def put_config(
    store: Store,
    version: int,
    routes: list[dict],
    *,
    services: tuple[str, ...] = (SERVICE,),
) -> None:
    """Write a configuration, as the operator does."""
    document = {
        "version": version,
        "routes": routes,
        "services": [{"name": name} for name in services],
        "limits": {"maxBodyBytes": 262144},
    }
    store.put("op/config", json.dumps(document).encode())


@contextlib.asynccontextmanager
async def open_bed(
    record: Record, *, daemons: int = 3
) -> collections.abc.AsyncIterator[Bed]:
    """Run a cell until the block ends; the caller adds runners."""
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        bed = Bed(pathlib.Path(folder), record)
        bed.spawn(bed.store.watch_leases())
        server = HttpServer(bed.advisor.handle)
        bed.advisor_address = await server.start()
        put_config(bed.store, 1, [queue()])
        try:
            for number in range(daemons):
                address = await bed._listen(bed.store.handle)
                bed.daemons.append(Daemon(bed, f"front-{number}", address))
                bed.daemons[-1].start()
            for daemon in bed.daemons:
                await until(daemon.is_ready, 20.0)
            await until(lambda: bed.owner() is not None, 20.0)
            yield bed
        finally:
            bed.close()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for daemon in bed.daemons:
                    log = bed.folder / f"{daemon.name}.log"
                    pathlib.Path(keep, log.name).write_bytes(log.read_bytes())


class NotReadyError(Exception):
    """The case could not run."""


async def until(condition: collections.abc.Callable, limit_s: float) -> None:
    """Wait until a condition holds, or raise `NotReadyError`."""
    end = time.monotonic() + limit_s
    while True:
        held = condition()
        if asyncio.iscoroutine(held):
            held = await held
        if held:
            return
        if time.monotonic() > end:
            raise NotReadyError("a condition did not hold in time")
        await asyncio.sleep(0.02)


def find_ports(count: int) -> list[int]:
    """Return free ports below the range of outgoing connections."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(15_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


async def call(
    port: int,
    method: str,
    path: str,
    body: dict | None = None,
    *,
    limit_s: float = CLIENT_DEADLINE_S,
) -> tuple[int, dict]:
    """Call a daemon; return status 0 if there is no complete answer."""
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                text = json.dumps(body).encode() if body is not None else b""
                writer.write(
                    f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                    "Content-Type: application/json\r\n"
                    f"Deadline-Ms: {int(limit_s * 1000)}\r\n"
                    f"Content-Length: {len(text)}\r\n"
                    "Connection: close\r\n\r\n".encode()
                )
                writer.write(text)
                answer = await reader.read()
            finally:
                writer.close()
        head, _, rest = answer.partition(b"\r\n\r\n")
        status = int(head.split(b" ")[1])
        return status, json.loads(rest or b"{}")
    except (OSError, TimeoutError, ValueError, IndexError):
        return 0, {}


async def submit(
    bed: Bed, job: str, body: dict, *, prefix: str = PREFIX
) -> bool:
    """Hand in a job at one daemon after the other; return if accepted."""
    for attempt in range(5):
        daemon = bed.daemons[attempt % len(bed.daemons)]
        status, _ = await call(daemon.front, "POST", prefix + job, body)
        bed.record.add(f"{daemon.name} answers {status} to POST {job}")
        if status == 200:
            return True
        if status not in (0, 429, 502, 503, 504):
            return False
        await asyncio.sleep(0.5)
    return False


async def state(bed: Bed, job: str, *, prefix: str = PREFIX) -> str:
    """Ask a live daemon for a job's state; empty if there is no answer."""
    for daemon in bed.daemons:
        if daemon.process.poll() is not None:
            continue
        status, document = await call(daemon.front, "GET", prefix + job)
        if status == 200:
            return document["state"]
        if status == 410:
            return "unknown"
    return ""


def main(
    case: collections.abc.Callable[[Record, bool], collections.abc.Coroutine],
    folder: pathlib.Path,
) -> int:
    """Run a case; return 1 if the rule broke, 0 if it held, else 2."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(_run(case, record, trouble))
    except NotReadyError as error:
        record.add(f"could not run: {error}")
        print(f"could not run: {error}")
        return 2
    finally:
        record.write()
    for line in broken[:10]:
        print(line)
    print(f"{len(broken)} violations")
    return 1 if broken else 0


async def _run(
    case: collections.abc.Callable[[Record, bool], collections.abc.Coroutine],
    record: Record,
    trouble: bool,
) -> list[str]:
    async with asyncio.timeout(110):
        broken = await case(record, trouble)
    record.add(f"{len(broken)} violations")
    for line in broken:
        record.add(line)
    return broken


class Proxy:
    """A TCP proxy whose open connections can go silent."""

    def __init__(self, target: str) -> None:
        """Keep the target; `start` binds the port."""
        self.target = target
        self.address = ""
        self.silent: set[object] = set()
        self.open: set[object] = set()
        self.cut = False
        self.healed = asyncio.Event()
        self.tasks: set[asyncio.Task] = set()

    async def start(self) -> str:
        """Listen on a free port of 127.0.0.1 and return the address."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        return self.address

    def silence(self) -> None:
        """Pass nothing more on the connections that are open now."""
        self.silent |= self.open

    def begin_cut(self) -> None:
        """Hold everything back until the cut heals."""
        self.cut = True
        self.healed.clear()

    def end_cut(self) -> None:
        """Pass on what was held back."""
        self.cut = False
        self.healed.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        key = object()
        self.open.add(key)
        task = asyncio.current_task()
        self.tasks.add(task)
        host, _, port = self.target.rpartition(":")
        far = None
        try:
            if self.cut:
                await self.healed.wait()
            far_reader, far = await asyncio.open_connection(host, int(port))
            pumps = [
                asyncio.ensure_future(self._pump(key, reader, far)),
                asyncio.ensure_future(self._pump(key, far_reader, writer)),
            ]
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            for pump in pumps:
                pump.cancel()
        except OSError:
            pass
        finally:
            self.open.discard(key)
            self.silent.discard(key)
            self.tasks.discard(task)
            writer.close()
            if far is not None:
                far.close()

    async def _pump(
        self,
        key: object,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(65536):
                if self.cut:
                    await self.healed.wait()
                if key in self.silent:
                    continue
                writer.write(chunk)
                await writer.drain()
