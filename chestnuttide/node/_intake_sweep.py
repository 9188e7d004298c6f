"""Time limits of callers' connections, and the report on refusals."""

import asyncio
import collections.abc

from chestnuttide.node import _clock
from chestnuttide.node import _intake
from chestnuttide.node import _intake_http
from chestnuttide import telemetry

LOG = telemetry.make_logger("intake")

SWEEP_PERIOD_S = 0.25
REPORT_PERIOD_S = 5.0

# A longer time between two sweeps means that the process did not run.
PAUSE_S = 1.0


async def sweep(ports: collections.abc.Sequence[_intake_http.Port]) -> None:
    """End overdue connections for ever."""
    looked_at = reported_at = _clock.now()
    reported: dict[str, int] = {}
    while True:
        await asyncio.sleep(SWEEP_PERIOD_S)
        now = _clock.now()
        pause_s = now - looked_at - SWEEP_PERIOD_S
        looked_at = now
        for port in ports:
            port.refresh()
            if pause_s > PAUSE_S:
                _intake.discount_pause(port.intake, pause_s)
            _sweep_port(port, now)
        if now - reported_at >= REPORT_PERIOD_S:
            reported_at = now
            reported = _report(ports, reported)


def _sweep_port(port: _intake_http.Port, now: float) -> None:
    for caller, stream in port.streams.items():
        if not stream.writing():
            caller.unread_since = None
        elif caller.unread_since is None:
            caller.unread_since = now
    for caller, reason in _intake.find_overdue(port.intake, now):
        _intake.dismiss(port.intake, caller, reason)


def _report(
    ports: collections.abc.Sequence[_intake_http.Port],
    reported: dict[str, int],
) -> dict[str, int]:
    """Log the refusals since the last report, if there were any."""
    reasons = {
        f"{port.name}.{reason}": number
        for port in ports
        for reason, number in port.intake.reasons.items()
    }
    new = {
        name: number - reported.get(name, 0)
        for name, number in reasons.items()
        if number > reported.get(name, 0)
    }
    if new:
        LOG.info(
            "Callers were refused or cut off.",
            reasons=new,
            connections=sum(len(port.streams) for port in ports),
            held_bytes=sum(port.intake.held for port in ports),
        )
    return reasons
