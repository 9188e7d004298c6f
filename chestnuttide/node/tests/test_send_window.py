"""Bound on the bytes of commits in flight."""

import asyncio

import pytest

from chestnuttide.node import _clock
from chestnuttide.node import _send_window


@pytest.mark.parametrize(
    ("sizes", "expected"),
    [
        pytest.param([60, 60, 30], [[60], [60, 30]], id="none-overtakes"),
        pytest.param([50, 50, 50], [[50, 50], [50]], id="up-to-the-limit"),
        pytest.param([300, 10, 10], [[300], [10, 10]], id="large-one-alone"),
        pytest.param([10, 300, 10], [[10], [300], [10]], id="large-one-waits"),
    ],
)
def test_the_bytes_in_flight_are_bounded(
    sizes: list[int], expected: list[list[int]]
) -> None:
    """Guards against a link that is filled until every call times out."""

    async def main() -> list[list[int]]:
        window = _send_window.SendWindow(limit_bytes=100)
        sent: list[int] = []
        ends = [asyncio.Event() for _ in sizes]

        async def send(number: int) -> None:
            async with _send_window.hold(window, sizes[number], urgent=False):
                sent.append(number)
                await ends[number].wait()

        tasks = [
            asyncio.ensure_future(send(each)) for each in range(len(ends))
        ]
        groups, ended = [], 0
        while ended < len(sizes):
            await asyncio.sleep(0.01)
            groups.append([sizes[number] for number in sent[ended:]])
            for number in sent[ended:]:
                ends[number].set()
            ended = len(sent)
        await asyncio.gather(*tasks)
        assert window.used_bytes == 0
        return groups

    assert asyncio.run(main()) == expected


@pytest.mark.parametrize(
    ("waited_s", "expected"),
    [
        pytest.param(0.5, ["urgent", "other"], id="urgent-one-first"),
        pytest.param(1.5, ["other", "urgent"], id="the-other-waited-long"),
    ],
)
def test_urgent_transactions_go_first_but_not_for_ever(
    waited_s: float, expected: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against starts behind completions, and completions never sent."""
    now = 100.0
    monkeypatch.setattr(_clock, "now", lambda: now)

    async def main() -> list[str]:
        nonlocal now
        window = _send_window.SendWindow(limit_bytes=100)
        sent: list[str] = []

        async def send(name: str, *, urgent: bool) -> None:
            async with _send_window.hold(window, 100, urgent=urgent):
                sent.append(name)

        async with _send_window.hold(window, 100, urgent=False):
            other = asyncio.ensure_future(send("other", urgent=False))
            await asyncio.sleep(0)
            now += waited_s
            urgent = asyncio.ensure_future(send("urgent", urgent=True))
            await asyncio.sleep(0)
        await asyncio.gather(other, urgent)
        return sent

    assert asyncio.run(main()) == expected


@pytest.mark.parametrize(
    "admitted",
    [
        pytest.param(False, id="while-it-waits"),
        pytest.param(True, id="as-it-is-admitted"),
    ],
)
def test_a_cancelled_transaction_gives_its_place_back(admitted: bool) -> None:
    """Guards against commits that wait for ever after a handover."""

    async def main() -> None:
        window = _send_window.SendWindow(limit_bytes=100)
        sent: list[int] = []

        async def send(size: int) -> None:
            async with _send_window.hold(window, size, urgent=False):
                sent.append(size)

        async with _send_window.hold(window, 50, urgent=False):
            first = asyncio.ensure_future(send(100))
            second = asyncio.ensure_future(send(40))
            await asyncio.sleep(0)
            if not admitted:
                first.cancel()
                await asyncio.wait([second], timeout=1.0)
                assert sent == [40]
        if admitted:
            first.cancel()
        await asyncio.wait([first, second], timeout=1.0)
        assert first.cancelled()
        assert sent == [40]
        assert window.used_bytes == 0

    asyncio.run(main())
