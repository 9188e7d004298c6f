"""Items of the store that cannot be read, beside ones that can."""

import asyncio
import json
import pathlib
import signal

import cbor2
import pytest

from chestnuttide import errors
from chestnuttide.node import _configuration
from chestnuttide.node import _keys
from chestnuttide.node import _metrics
from chestnuttide.node import _ownership
from chestnuttide.node import _session
from chestnuttide.node import _updates
from chestnuttide import platform
from chestnuttide import workloads
from standins import cloud
from standins import node_cell

TOO_DEEP = b"[" * 5000
CBOR_TOO_DEEP = b"\x81" * 5000

ENTRY = {
    "service": node_cell.SERVICE,
    "addr": "127.0.0.1:9",
    "zone": "a",
    "state": "ready",
    "capacity": {"cpu": 8000, "memMb": 8000, "gpu": 0},
    "born": 1,
}

ODD_ITEMS = {
    "servers/deep": TOO_DEEP,
    "servers/empty": b"",
    "servers/infinite": json.dumps(ENTRY | {"born": float("inf")}).encode(),
    "servers/huge": json.dumps(
        ENTRY | {"capacity": {"cpu": 10**400}}
    ).encode(),
    "servers/port": json.dumps(ENTRY | {"addr": "127.0.0.1:99999"}).encode(),
    "servers/line\r\nbreak": json.dumps(ENTRY).encode(),
    "cell/members/odd": CBOR_TOO_DEEP,
    "cell/members/address": b"\x84\x61x\x61x\x01\x01",
    "cell/owners/odd": b"\xff",
    "cell/released/odd": b"soon",
    _keys.job(node_cell.SERVICE, "f" * 16): CBOR_TOO_DEEP,
    _keys.job(node_cell.SERVICE, "e" * 16): b"\x82\x01\x80",
    _keys.cancel(node_cell.SERVICE, "f" * 16): TOO_DEEP,
    _keys.progress(node_cell.SERVICE, "f" * 16): b"\xff",
}

BEFORE, AFTER, LAST = (letter * 16 for letter in "abc")


def test_odd_items_end_neither_a_watch_nor_a_takeover(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against one unreadable item that ends the work of a service.

    The loop that watched the workers ended with it, each instance became the
    owner in turn, and no accepted job was started.
    """

    async def scenario(cell: node_cell.Cell) -> None:
        joining = cell.workers[2]
        cloud.remove(cell.store, f"servers/{joining.id}")
        owner_key = f"cell/owners/{node_cell.SERVICE}"
        revision = cell.store.keys[owner_key].revision
        for key, value in ODD_ITEMS.items():
            cloud.put(cell.store, key, value)
        owner = node_cell.owner_of(cell)
        other = next(node for node in cell.nodes if node is not owner)
        assert await node_cell.submit(other, BEFORE) == 200
        await node_cell.wait_until_state(other, BEFORE, "complete")
        node_cell.register_worker(cell, 2)
        assert await node_cell.submit(other, AFTER, count=40) == 200
        await node_cell.wait_until_state(other, AFTER, "complete")
        assert joining.starts
        assert cell.store.keys[owner_key].revision == revision
        owner.process.send_signal(signal.SIGKILL)
        assert await node_cell.submit(other, LAST) == 200
        await node_cell.wait_until_state(other, LAST, "complete")
        assert all(
            node.process.poll() is None
            for node in cell.nodes
            if node is not owner
        )

    async def main() -> None:
        async with node_cell.run_cell(tmp_path) as cell:
            await scenario(cell)
            node_cell.check_runs(cell)

    asyncio.run(main())


def _make_owner() -> _ownership.Ownership:
    return _ownership.Ownership(
        service="s",
        fencing_token=7,
        session=None,
        store=None,
        workers_http=None,
        pool=workloads.Pool(service="s", limits=workloads.TimeLimits()),
        metrics=_metrics.make_metrics(),
    )


@pytest.mark.parametrize(
    "progress",
    [
        pytest.param(b"\xff", id="not-cbor"),
        pytest.param(CBOR_TOO_DEEP, id="too-deep"),
        *(
            pytest.param(cbor2.dumps([1, True, [row]]), id=name)
            for name, row in (
                ("short-row", [0, 0, 0]),
                ("state", [0, 0, 0, "odd", 1, [], "", []]),
                ("step", [0, 1, 0, "done", 1, [], "", []]),
                ("index", [0, 0, 2, "done", 1, [], "", []]),
                ("occurrence", [9, 0, 0, "done", 1, [], "", []]),
                ("worker", [0, 0, 0, "active", 1, [], "", [[0, 1, "w"]]]),
            )
        ),
    ],
)
def test_a_job_is_left_out_if_its_progress_cannot_be_read(
    progress: bytes,
) -> None:
    """Guards against a task that is started beside its former run.

    The record names the runs that a former owner has started, so without it
    none of the job's tasks may start.
    """
    owner = _make_owner()
    job = platform.decode_job(
        b'{"steps":[{"count":2}]}',
        job_id=BEFORE,
        queue=workloads.Queue(name="q", host="h", prefix="/", service="s"),
        now_unix_s=0.0,
    )
    item = platform.Item(
        key=_keys.job("s", BEFORE), value=workloads.encode_job(job)
    )
    _updates.apply_job(owner, item)
    assert BEFORE in owner.pool.active
    _updates.apply_progress(
        owner, platform.Item(key=_keys.progress("s", BEFORE), value=progress)
    )
    # The next listing of the jobs contains it again.
    _updates.apply_job(owner, item)
    assert not owner.pool.active
    assert not owner.pool.jobs


def test_a_config_that_cannot_be_read_leaves_the_known_one_in_force() -> None:
    """Guards against a watch of the configuration that ends."""
    counted: list[str] = []
    session = _session.Session(
        settings=None, store=None, peers=None, count_unreadable=counted.append
    )
    _configuration.adopt_config(
        session, node_cell.make_config(1), source="store"
    )
    _configuration.adopt_config(session, TOO_DEEP, source="store")
    assert session.config.version == 1
    assert counted == ["config"]


def test_a_record_that_cannot_be_read_raises_one_kind_of_error() -> None:
    """Guards against callers' lookups that end with an unknown error."""
    for record in (b"", b"\xff", CBOR_TOO_DEEP, b"\x82\x01\xa1\x01\x01"):
        with pytest.raises(errors.ProtocolError):
            workloads.decode_job(record)
