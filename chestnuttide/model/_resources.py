"""Amounts of processors, memory and accelerators."""

import attrs


@attrs.frozen(kw_only=True, slots=True)
class Resources:
    """Amounts that a worker offers or a task needs, one per dimension.

    Attributes
    ----------
    cpu_millis : int
        Processor time, in thousandths of a core.
    memory_mb : int
        Memory, in megabytes.
    accelerators : int
        Number of whole accelerators.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0


ZERO = Resources()


def add(left: Resources, right: Resources) -> Resources:
    """Return the sum of two amounts, dimension by dimension."""
    return Resources(
        cpu_millis=left.cpu_millis + right.cpu_millis,
        memory_mb=left.memory_mb + right.memory_mb,
        accelerators=left.accelerators + right.accelerators,
    )


def subtract(left: Resources, right: Resources) -> Resources:
    """Return the difference of two amounts, dimension by dimension."""
    return Resources(
        cpu_millis=left.cpu_millis - right.cpu_millis,
        memory_mb=left.memory_mb - right.memory_mb,
        accelerators=left.accelerators - right.accelerators,
    )


def fits(need: Resources, free: Resources) -> bool:
    """Return whether `need` is at most `free` in every dimension."""
    return (
        need.cpu_millis <= free.cpu_millis
        and need.memory_mb <= free.memory_mb
        and need.accelerators <= free.accelerators
    )
