"""Keeps a service's entries of the directory in line with its jobs."""

import asyncio

import attrs

from chestnuttide import errors
from chestnuttide.node import _directory
from chestnuttide.node import _keys
from chestnuttide.node import _ownership
from chestnuttide.node import _release
from chestnuttide.node import _session
from chestnuttide.node import _set_aside
from chestnuttide.node import _updates
from chestnuttide import platform
from chestnuttide import telemetry

LOG = telemetry.make_logger("owner")

SYNC_PERIOD_S = 1.0


async def sync_loop(owner: _ownership.Ownership) -> None:
    """Add and remove entries; end the ownership of a service without any."""
    while True:
        await asyncio.sleep(SYNC_PERIOD_S)
        if owner.stopping or not _ownership.may_send_commands(owner):
            continue
        try:
            await sync(owner)
        except errors.SchedulerError as error:
            LOG.info(
                "Directory was not updated; trying again.",
                service=owner.service,
                error=str(error),
            )


async def sync(owner: _ownership.Ownership) -> None:
    """Compare the entries of the owner's service with its jobs once."""
    directory = owner.session.directory
    missing = {
        entry
        for entry in _held_entries(owner)
        if not _directory.is_open(directory, entry)
    }
    if missing:
        # A former release or a peer that runs it has stored such a job.
        await _store(owner, _directory.open_entries(directory, missing))
        return
    unused = _unused_entries(owner)
    if unused:
        await _remove_unused(owner, unused)
    elif _is_retired(owner):
        LOG.info(
            "Service has left the configuration and has no jobs.",
            service=owner.service,
        )
        # The release outlives this loop, which ends with the ownership.
        _ownership.start_command(owner, _release.hand_over(owner))


async def _remove_unused(
    owner: _ownership.Ownership, unused: set[_directory.Entry]
) -> None:
    """Remove entries unless a job is stored under them meanwhile.

    A submission whose entry is closing opens it again, which changes the
    revision that the removal expects. One that was built before the entry
    closed fails, so the listing below shows all that were stored.
    """
    directory = owner.session.directory
    if not unused <= directory.closing:
        directory = await _store(
            owner, _directory.close_entries(directory, unused)
        )
    listed = await platform.read_all(owner.store, _keys.work(owner.service))
    _updates.apply_work_items(owner, listed.items)
    unused &= _unused_entries(owner)
    if unused:
        await _store(owner, _directory.remove_entries(directory, unused))


def _held_entries(owner: _ownership.Ownership) -> set[_directory.Entry]:
    """Return the entries of the jobs whose ids are taken."""
    return {
        (owner.service, job.spec.queue.name)
        for job in owner.pool.jobs.values()
        if job.accepted
    }


def _unused_entries(owner: _ownership.Ownership) -> set[_directory.Entry]:
    """Return listed entries without jobs that the configuration lacks."""
    if any(
        kind == _set_aside.Kind.RECORD for kind, _ in owner.set_aside.items
    ):
        # The queue of a job whose record cannot be used is not known.
        return set()
    configured = {
        (queue.service, queue.name) for queue in owner.session.config.queues
    }
    listed = _directory.list_entries_of(owner.session.directory, owner.service)
    return listed - configured - _held_entries(owner)


def _is_retired(owner: _ownership.Ownership) -> bool:
    session = owner.session
    return owner.service not in _session.known_services(session)


async def _store(
    owner: _ownership.Ownership, directory: _directory.Directory
) -> _directory.Directory:
    """Store a changed directory; return it with its new revision.

    Raises
    ------
    errors.SchedulerError
        If the directory or the owner has changed, or the store has not
        answered.
    """
    session = owner.session
    try:
        revision = await platform.commit(
            owner.store,
            platform.Transaction(
                expect={
                    _keys.owner(owner.service): owner.fencing_token,
                    _keys.DIRECTORY: directory.revision,
                },
                put={_keys.DIRECTORY: _directory.encode(directory)},
            ),
        )
    except platform.ConditionError as error:
        _session.adopt_conflicting_directory(session, error.items)
        raise
    stored = attrs.evolve(directory, revision=revision)
    _session.adopt_directory(session, stored)
    return stored
