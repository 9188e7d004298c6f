"""The directory of the services that may hold jobs of each queue.

A job stays with the service that its queue named when it was accepted. The
configuration may since name another service, or list neither. The directory is
one key of the store that says where jobs may be. Each submission expects the
revision of the directory that it was built from, so no job is stored under an
entry that is not listed, and its id is checked in all services that are.

See docs/decisions/directory.md.
"""

import collections.abc
import typing

import attrs
import cbor2

# A decoder of an owner's key, which older releases apply to all other keys of
# the cell, rejects a list of three.
_FORMAT_VERSION = 1

Entry: typing.TypeAlias = tuple[str, str]


@attrs.frozen(kw_only=True, slots=True)
class Directory:
    """Entries of a service and a queue, one for each that may have jobs.

    Attributes
    ----------
    revision : int
        Store revision; 0 if the directory has not been written yet.
    entries : frozenset of (str, str)
        Service and queue of each entry.
    closing : frozenset of (str, str)
        Entries whose owner is about to remove them. A submission that needs
        one opens it again.
    """

    revision: int = 0
    entries: frozenset[Entry] = frozenset()
    closing: frozenset[Entry] = frozenset()


def is_open(directory: Directory, entry: Entry) -> bool:
    """Return whether jobs may be stored under an entry."""
    return entry in directory.entries and entry not in directory.closing


def list_services(directory: Directory) -> set[str]:
    """Return all services that may hold jobs."""
    return {service for service, _ in directory.entries}


def list_services_of(directory: Directory, queue: str) -> set[str]:
    """Return the services that may hold jobs of a queue."""
    return {service for service, name in directory.entries if name == queue}


def list_entries_of(directory: Directory, service: str) -> set[Entry]:
    """Return the entries of a service."""
    return {entry for entry in directory.entries if entry[0] == service}


def list_rows(
    directory: Directory,
    configured: collections.abc.Set[Entry],
    owners: collections.abc.Mapping[str, str],
) -> list[dict[str, object]]:
    """Return the entries for operators.

    Parameters
    ----------
    directory : Directory
        The directory.
    configured : set of (str, str)
        Service and name of each configured queue.
    owners : mapping of str to str
        Instance that owns each service, by service.
    """
    return [
        {
            "service": service,
            "queue": queue,
            "configured": (service, queue) in configured,
            "owner": owners.get(service),
        }
        for service, queue in sorted(directory.entries)
    ]


def open_entries(
    directory: Directory, entries: collections.abc.Set[Entry]
) -> Directory:
    """Return a directory with these entries added and no longer closing."""
    return attrs.evolve(
        directory,
        entries=directory.entries | entries,
        closing=directory.closing - entries,
    )


def close_entries(
    directory: Directory, entries: collections.abc.Set[Entry]
) -> Directory:
    """Return a directory with these of its entries closing."""
    return attrs.evolve(directory, closing=directory.closing | entries)


def remove_entries(
    directory: Directory, entries: collections.abc.Set[Entry]
) -> Directory:
    """Return a directory without these entries."""
    return attrs.evolve(
        directory,
        entries=directory.entries - entries,
        closing=directory.closing - entries,
    )


def encode(directory: Directory) -> bytes:
    """Encode the value of the directory's key."""
    return cbor2.dumps(
        [
            _FORMAT_VERSION,
            sorted(directory.entries),
            sorted(directory.closing),
        ]
    )


def decode(value: bytes, revision: int) -> Directory:
    """Decode the value of the directory's key, for use in `decoding`.

    A later release may append fields.
    """
    _, entries, closing, *_ = cbor2.loads(value)
    return Directory(
        revision=revision,
        entries=frozenset(map(_decode_entry, entries)),
        closing=frozenset(map(_decode_entry, closing)),
    )


def _decode_entry(row: collections.abc.Iterable[object]) -> Entry:
    service, queue = row
    return str(service), str(queue)
