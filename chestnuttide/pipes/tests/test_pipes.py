import pytest

from chestnuttide import pipes


def _double(message: object, now: float) -> list[object]:
    return [message, message]


def _drop(message: object, now: float) -> list[object]:
    return []


def _add_time(message: object, now: float) -> list[object]:
    return [message + now]


@pytest.mark.parametrize(
    ("filters", "expected"),
    [
        pytest.param((), [1], id="empty_pipe_loses_message"),
        pytest.param((_double, _add_time), [3, 3], id="order_of_filters"),
        pytest.param((_drop, _double), [], id="dropped_message_continues"),
    ],
)
def test_pipe(filters: tuple[pipes.Filter, ...], expected: list[int]) -> None:
    assert pipes.pipe(*filters)(1, 2) == expected
