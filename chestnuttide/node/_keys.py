"""Keys in the metadata store."""

CELL = "cell/"
MEMBERS = "cell/members/"
OWNERS = "cell/owners/"
RELEASED = "cell/released/"
DIRECTORY = "cell/directory"

# Parts of the workspaces' caps. Only owners watch it: a change under the
# prefix of the cell would wake every instance.
CAPS = "caps/parts"

# Written by the platform and never by an instance.
OPERATOR = "op/"
CONFIG = "op/config"
WORKERS = "servers/"


def member(instance: str) -> str:
    """Return the key of an instance's membership."""
    return f"{MEMBERS}{instance}"


def owner(service: str) -> str:
    """Return the owner key of a service; its revision is the fencing token."""
    return f"{OWNERS}{service}"


def fence(service: str) -> str:
    """Return the key whose writes raise the fencing token of a service."""
    return f"fences/{service}"


def released(service: str) -> str:
    """Return the key with the fencing token that was released last."""
    return f"{RELEASED}{service}"


def work(service: str) -> str:
    """Return the prefix of a service's jobs and cancellations."""
    return f"work/{service}/"


def job(service: str, job_id: str) -> str:
    """Return the key of a job."""
    return f"work/{service}/job/{job_id}"


def cancel(service: str, job_id: str) -> str:
    """Return the key that marks a job as cancelled."""
    return f"work/{service}/cancel/{job_id}"


def run_times(service: str) -> str:
    """Return the key of the snapshot of a service's learned run times."""
    return f"learned/{service}"


def progress(service: str, job_id: str = "") -> str:
    """Return the key of a job's progress, or the prefix for a service."""
    return f"progress/{service}/{job_id}"
