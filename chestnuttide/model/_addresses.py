"""Addresses of the form ``ip:port``."""

import ipaddress
import typing

MAX_PORT: typing.Final = 65_535


def is_ip(value: str) -> bool:
    """Return whether a value is an IP address."""
    try:
        ipaddress.ip_address(value)
    except ValueError:
        return False
    return True


def is_address(value: str) -> bool:
    """Return whether a value is an address of the form ``ip:port``."""
    host, _, port = value.rpartition(":")
    return (
        is_ip(host.removeprefix("[").removesuffix("]"))
        and port.isascii()
        and port.isdigit()
        and len(port) <= len(str(MAX_PORT))
        and 1 <= int(port) <= MAX_PORT
    )
