"""JSON merge patches (RFC 7396) and the paths that they change."""

import collections.abc
import typing

Path: typing.TypeAlias = tuple[str, ...]


def apply_patch(document: object, patch: object) -> typing.Any:
    """Return a document with a merge patch applied.

    Parameters
    ----------
    document : object
        A JSON value; it is not changed, and the result may share parts of it.
    patch : object
        A JSON merge patch.

    Returns
    -------
    object
        The patched JSON value.
    """
    if not isinstance(patch, dict):
        return patch
    result = dict(document) if isinstance(document, dict) else {}
    for name, value in patch.items():
        if value is None:
            result.pop(name, None)
        else:
            result[name] = apply_patch(result.get(name), value)
    return result


def changed_paths(patch: collections.abc.Mapping) -> tuple[Path, ...]:
    """Return the paths that a merge patch sets or removes, sorted.

    Parameters
    ----------
    patch : mapping
        A JSON merge patch that is an object.

    Returns
    -------
    tuple of tuple of str
        The path of each value that is not an object, and of each empty
        object, because an empty object creates its path. Empty for an empty
        patch.
    """
    paths: list[Path] = []
    waiting: list[tuple[Path, object]] = [
        ((name,), value) for name, value in patch.items()
    ]
    while waiting:
        path, value = waiting.pop()
        if isinstance(value, dict) and value:
            waiting.extend(
                ((*path, name), inner) for name, inner in value.items()
            )
        else:
            paths.append(path)
    return tuple(sorted(paths))


def colliding_paths(
    ours: collections.abc.Iterable[Path],
    theirs: collections.abc.Iterable[Path],
) -> tuple[Path, ...]:
    """Return those of our paths that collide with any of theirs.

    Two paths collide when they are equal or one is a prefix of the other.
    """
    exact: set[Path] = set()
    prefixes: set[Path] = set()
    for path in theirs:
        exact.add(path)
        prefixes.update(path[:length] for length in range(1, len(path)))
    return tuple(
        path
        for path in ours
        if path in prefixes
        or any(path[:length] in exact for length in range(1, len(path) + 1))
    )


def format_path(path: Path) -> str:
    """Return a path in dotted form, for example ``teams.mill.weight``."""
    return ".".join(path)


def nesting_depth(value: object, limit: int) -> int:
    """Return the nesting depth of a JSON value, at most `limit` + 1.

    It does not recurse, so it can be used to protect functions that do.
    """
    depth = 0
    level = [value]
    while level and depth <= limit:
        following: list[object] = []
        for item in level:
            if isinstance(item, dict):
                following.extend(item.values())
            elif isinstance(item, list):
                following.extend(item)
        level = following
        depth += 1
    return depth
