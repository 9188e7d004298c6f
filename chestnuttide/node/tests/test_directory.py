"""The directory of the services that may hold jobs of each queue."""

import asyncio
import collections.abc
import contextlib
import functools

import attrs
import cbor2
import pytest

from chestnuttide.node import _directory
from chestnuttide.node import _directory_sync
from chestnuttide.node import _keys
from chestnuttide.node import _messages
from chestnuttide.node import _metrics
from chestnuttide.node import _ownership
from chestnuttide.node import _responses
from chestnuttide.node import _session
from chestnuttide.node import _set_aside
from chestnuttide.node import _submission
from chestnuttide.node.tests import _session_fixtures
from chestnuttide import platform
from chestnuttide import workloads
from chestnuttide.workloads.tests import _pool_fixtures
from standins import cloud
from standins import node_cell

FORMER, NOW = "layout", "render"
JOB, OTHER = "00000000000000aa", "00000000000000bb"
FORMER_ENTRY, ENTRY = (FORMER, "q1"), (NOW, "q1")


@attrs.define(kw_only=True)
class Bed:
    """A store stand-in and the session of an instance.

    Attributes
    ----------
    store : Store
        The stand-in.
    context : ApiContext
        Context of the instance's request handlers.
    calls : list of str
        Kind of each call to the store.
    """

    store: cloud.Store
    context: _responses.ApiContext
    calls: list[str]


@contextlib.asynccontextmanager
async def _open_bed(
    *entries: _directory.Entry, closing: bool = False
) -> collections.abc.AsyncIterator[Bed]:
    """Serve a store whose directory has the given entries."""
    store, metrics = cloud.Store(), _metrics.make_metrics()
    calls: list[str] = []
    address, server = cloud.serve(
        functools.partial(cloud.handle_store_request, store)
    )
    session = _session_fixtures.make_session(
        address,
        timeout_s=5.0,
        count=lambda kind, outcome: calls.append(kind),
    )
    session.config = platform.decode_config(
        node_cell.make_config(1, service=NOW, services=(NOW,))
    )
    bed = Bed(
        store=store,
        context=_responses.ApiContext(
            session=session, owned={}, metrics=metrics
        ),
        calls=calls,
    )
    if entries:
        directory = _directory.open_entries(
            _directory.Directory(), set(entries)
        )
        if closing:
            directory = _directory.close_entries(directory, set(entries))
        cloud.put(store, _keys.DIRECTORY, _directory.encode(directory))
        _adopt_stored(bed)
    try:
        yield bed
    finally:
        server.stop()


def _stored(bed: Bed) -> _directory.Directory:
    item = bed.store.keys[_keys.DIRECTORY]
    return _directory.decode(item.value, item.revision)


def _adopt_stored(bed: Bed) -> None:
    _session.adopt_directory(bed.context.session, _stored(bed))


def _make_write(service: str) -> _messages.JobWrite:
    return _messages.JobWrite(
        call_id=0,
        absent_keys=(),
        key=_keys.job(service, JOB),
        value=b"record",
        service=service,
        queue="q1",
    )


def test_a_submission_takes_one_call_once_its_entry_is_listed() -> None:
    """Guards against a submission that costs more calls to the store."""

    async def main() -> None:
        async with _open_bed(ENTRY) as bed:
            revision = _stored(bed).revision
            write = _make_write(NOW)
            assert await _submission.write_job(bed.context, write) == "stored"
            assert bed.calls == ["write"]
            assert _stored(bed).revision == revision

    asyncio.run(main())


@pytest.mark.parametrize(
    ("entries", "closing", "known"),
    [
        pytest.param((), False, True, id="first-job-of-all"),
        pytest.param((FORMER_ENTRY,), False, True, id="first-of-its-service"),
        pytest.param((ENTRY,), True, True, id="entry-is-closing"),
        pytest.param((FORMER_ENTRY,), False, False, id="directory-not-known"),
    ],
)
def test_no_job_is_stored_without_an_open_entry(
    entries: tuple[_directory.Entry, ...], closing: bool, known: bool
) -> None:
    """Guards against a job of a service that nobody owns later."""

    async def main() -> None:
        async with _open_bed(*entries, closing=closing) as bed:
            if not known:
                bed.context.session.directory = _directory.Directory()
            write = _make_write(NOW)
            assert await _submission.write_job(bed.context, write) == "stored"
            assert _directory.is_open(_stored(bed), ENTRY)
            assert set(entries) <= _stored(bed).entries
            assert bed.context.session.directory == _stored(bed)

    asyncio.run(main())


@pytest.mark.parametrize(
    "known",
    [
        pytest.param(True, id="directory-known"),
        pytest.param(False, id="directory-not-known"),
    ],
)
def test_an_id_is_taken_in_a_service_that_the_config_lacks(
    known: bool,
) -> None:
    """Guards against a repeated id that runs again in another service.

    The instance may have a configuration older or newer than that of the
    instance that accepted the job.
    """

    async def main() -> None:
        async with _open_bed(FORMER_ENTRY) as bed:
            cloud.put(bed.store, _keys.job(FORMER, JOB), b"record")
            if not known:
                bed.context.session.directory = _directory.Directory()
            write = _make_write(NOW)
            assert await _submission.write_job(bed.context, write) == "exists"
            assert _keys.job(NOW, JOB) not in bed.store.keys

    asyncio.run(main())


def _make_owner(bed: Bed, service: str) -> _ownership.Ownership:
    cloud.put(bed.store, _keys.owner(service), b"")
    return _ownership.Ownership(
        service=service,
        fencing_token=bed.store.keys[_keys.owner(service)].revision,
        session=bed.context.session,
        store=bed.context.session.store,
        workers_http=None,
        pool=workloads.Pool(service=service, limits=workloads.TimeLimits()),
        metrics=bed.context.metrics,
        ready=True,
    )


def _hold_job(owner: _ownership.Ownership) -> None:
    job = _pool_fixtures.submit(
        owner.pool, _pool_fixtures.make_step(), job_id=JOB, name="q1"
    )
    job.accepted = True


def _hold_unreadable_record(owner: _ownership.Ownership) -> None:
    _set_aside.add_unreadable(
        owner.set_aside, _set_aside.Kind.RECORD, JOB, ValueError("bad")
    )


def _hold_nothing(owner: _ownership.Ownership) -> None:
    pass


@pytest.mark.parametrize(
    ("service", "hold", "entry_stays"),
    [
        pytest.param(FORMER, _hold_nothing, False, id="unused"),
        pytest.param(FORMER, _hold_job, True, id="has-a-job"),
        pytest.param(
            FORMER, _hold_unreadable_record, True, id="unreadable-record"
        ),
        pytest.param(NOW, _hold_nothing, True, id="configured"),
    ],
)
def test_an_entry_is_removed_once_nothing_needs_it(
    service: str,
    hold: collections.abc.Callable[[_ownership.Ownership], None],
    entry_stays: bool,
) -> None:
    """Guards against jobs without an owner, and against a growing list."""

    async def main() -> None:
        async with _open_bed((service, "q1")) as bed:
            owner = _make_owner(bed, service)
            hold(owner)
            await _directory_sync.sync(owner)
            assert bool(_stored(bed).entries) is entry_stays
            assert not _stored(bed).closing
            await _directory_sync.sync(owner)
            await asyncio.gather(*owner.commands)
            # Without entries, a service that the config lacks has no owner.
            assert owner.deposed.is_set() is not entry_stays
            assert (_keys.owner(service) in bed.store.keys) is entry_stays

    asyncio.run(main())


def test_a_job_that_a_former_release_stored_is_listed() -> None:
    """Guards against jobs that an upgrade leaves without an entry."""

    async def main() -> None:
        async with _open_bed() as bed:
            owner = _make_owner(bed, FORMER)
            _hold_job(owner)
            await _directory_sync.sync(owner)
            assert _directory.is_open(_stored(bed), FORMER_ENTRY)

    asyncio.run(main())


@pytest.mark.parametrize(
    "known",
    [
        pytest.param(True, id="sees-the-closing-entry"),
        pytest.param(False, id="built-before-it-closed"),
    ],
)
def test_an_entry_stays_if_a_job_is_stored_while_it_closes(
    known: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a job that is stored just before its entry is removed."""

    async def main() -> None:
        async with _open_bed(FORMER_ENTRY) as bed:
            owner = _make_owner(bed, FORMER)
            other = attrs.evolve(
                bed.context.session, directory=bed.context.session.directory
            )
            context = attrs.evolve(bed.context, session=other)
            read_all = platform.read_all

            async def list_and_submit(
                store: platform.KvStore, prefix: str
            ) -> object:
                listed = await read_all(store, prefix)
                if known:
                    _session.adopt_directory(other, _stored(bed))
                write = _make_write(FORMER)
                assert await _submission.write_job(context, write) == "stored"
                return listed

            monkeypatch.setattr(platform, "read_all", list_and_submit)
            with pytest.raises(platform.ConditionError):
                await _directory_sync.sync(owner)
            assert _directory.is_open(_stored(bed), FORMER_ENTRY)
            assert _keys.job(FORMER, JOB) in bed.store.keys

    asyncio.run(main())


@pytest.mark.parametrize(
    ("readable", "outcome"),
    [
        pytest.param(True, "stored", id="record"),
        pytest.param(False, "refused", id="unreadable-record"),
    ],
)
def test_a_former_release_may_have_a_peer_store_its_job(
    readable: bool, outcome: str
) -> None:
    """Guards against a job without an entry while releases are mixed."""

    async def main() -> None:
        async with _open_bed() as bed:
            owner = _make_owner(bed, NOW)
            spec = _pool_fixtures.submit(
                owner.pool, _pool_fixtures.make_step(), name="q1"
            ).spec
            spec = attrs.evolve(
                spec, queue=attrs.evolve(spec.queue, service=NOW)
            )
            write = attrs.evolve(
                _make_write(NOW),
                value=workloads.encode_job(spec) if readable else b"",
                service="",
                queue="",
            )
            assert await _submission.write_job(bed.context, write) == outcome
            stored = _keys.job(NOW, JOB) in bed.store.keys
            assert stored is readable
            if readable:
                assert _stored(bed).entries == {ENTRY}

    asyncio.run(main())


def test_an_unreadable_directory_is_replaced() -> None:
    """Guards against an item that refuses all submissions for ever."""

    async def main() -> None:
        async with _open_bed(ENTRY) as bed:
            owner = _make_owner(bed, FORMER)
            _hold_job(owner)
            cloud.put(bed.store, _keys.DIRECTORY, b"\xff")
            write = attrs.evolve(_make_write(NOW), key=_keys.job(NOW, OTHER))
            assert await _submission.write_job(bed.context, write) == "stored"
            await _directory_sync.sync(owner)
            assert _stored(bed).entries == {ENTRY, FORMER_ENTRY}

    asyncio.run(main())


def test_a_job_is_stored_beside_any_number_of_configured_services() -> None:
    """Guards against a transaction with more entries than the store takes."""

    async def main() -> None:
        async with _open_bed(FORMER_ENTRY) as bed:
            services = tuple(f"a{number}" for number in range(40))
            bed.context.session.config = platform.decode_config(
                node_cell.make_config(2, service=NOW, services=services)
            )
            cloud.put(bed.store, _keys.job(FORMER, JOB), b"record")
            write = _make_write(NOW)
            assert await _submission.write_job(bed.context, write) == "exists"
            write = attrs.evolve(write, key=_keys.job(NOW, OTHER))
            assert await _submission.write_job(bed.context, write) == "stored"

    asyncio.run(main())


def test_older_releases_do_not_take_the_directory_for_an_owner() -> None:
    """Guards against a rollback in which the directory names an owner."""
    with pytest.raises(ValueError):
        _, _ = cbor2.loads(_directory.encode(_directory.Directory()))
