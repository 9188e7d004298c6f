"""An event loop whose time passes only in its tasks' waits and costs."""

import asyncio
import collections.abc
import typing

import pytest

from chestnuttide.node import _clock


class VirtualLoop(asyncio.SelectorEventLoop):
    """A loop without network that skips to the next due time.

    A task calls `spend` for processor time, which delays all others.
    """

    def __init__(self) -> None:
        super().__init__()
        self._virtual_now = 1000.0

    def time(self) -> float:
        return self._virtual_now

    def spend(self, seconds: float) -> None:
        self._virtual_now += seconds

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:
            due_at = self._scheduled[0].when()
            self._virtual_now = max(self._virtual_now, due_at)
        super()._run_once()


def run(
    monkeypatch: pytest.MonkeyPatch,
    main: collections.abc.Callable[
        [VirtualLoop], collections.abc.Coroutine[typing.Any, typing.Any, None]
    ],
) -> None:
    """Run a coroutine in virtual time, which the node's clock shows too."""
    loop = VirtualLoop()
    monkeypatch.setattr(_clock, "now", loop.time)
    try:
        loop.run_until_complete(main(loop))
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
