"""Names of the keys in the store."""

CELL = "cell/"
MEMBERS = "cell/members/"
OWNERS = "cell/owners/"
RELEASED = "cell/released/"

# Written by the platform, never by an instance.
OPERATOR = "op/"
CONFIG = "op/config"
WORKERS = "servers/"


def member(instance: str) -> str:
    """Return the key of an instance's address."""
    return f"{MEMBERS}{instance}"


def owner(service: str) -> str:
    """Return the key whose revision is the fencing token of an owner."""
    return f"{OWNERS}{service}"


def released(service: str) -> str:
    """Return the key that names the last owner that stopped in order."""
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


def progress(service: str, job_id: str = "") -> str:
    """Return the key of a job's progress, or their prefix."""
    return f"progress/{service}/{job_id}"
