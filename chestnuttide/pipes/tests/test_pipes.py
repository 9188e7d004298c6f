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
        pytest.param((), [1], id="no-filters"),
        pytest.param((_double, _add_time), [3, 3], id="sequence-of-filters"),
        pytest.param((_drop, _double), [], id="dropped-message"),
    ],
)
def test_composed_filters(
    filters: tuple[pipes.Filter, ...], expected: list[int]
) -> None:
    """Guards against lost, misordered and wrongly passed-on messages."""
    assert pipes.pipe(*filters)(1, 2) == expected
