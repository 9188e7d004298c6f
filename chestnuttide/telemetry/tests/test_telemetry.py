import collections
import collections.abc
import io
import json
import logging
import pathlib

import pytest

from chestnuttide import errors
from chestnuttide import telemetry


@pytest.fixture
def stream() -> collections.abc.Iterator[io.StringIO]:
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    lines = io.StringIO()
    telemetry.configure_logging("info", "a-1", "scheduler", stream=lines)
    yield lines
    root.handlers[:] = handlers
    root.setLevel(level)


@pytest.mark.parametrize(
    ("arguments", "fields", "expected"),
    [
        pytest.param(
            ("lease %d renewed", 7),
            {"epoch": 3},
            {"message": "store: lease 7 renewed", "epoch": 3},
            id="prefix_or_field_lost",
        ),
        pytest.param(
            ("read",),
            {"extra": {"key": "voters"}},
            {"message": "store: read", "key": "voters"},
            id="standard_extra_lost",
        ),
        pytest.param(
            ("read",),
            {"name": "x", "instance_id": "other"},
            {"name_": "x", "instance_id_": "other", "instance_id": "a-1"},
            id="reserved_field_raises_or_replaces",
        ),
        pytest.param(
            ("100% full",),
            {},
            {"message": "store: 100% full", "level": "WARNING"},
            id="percent_sign_without_arguments_raises",
        ),
    ],
)
def test_logged_line(
    stream: io.StringIO, arguments: tuple, fields: dict, expected: dict
) -> None:
    telemetry.make_logger("store").warning(*arguments, **fields)
    line = json.loads(stream.getvalue())
    assert expected.items() <= line.items()
    assert line["daemon"] == "scheduler"
    assert line["logger"] == "chestnuttide.store"
    assert "timestamp" in line


def test_messages_below_the_level_are_not_logged(stream: io.StringIO) -> None:
    telemetry.make_logger("mesh").debug("frame")
    logging.getLogger("websockets.server").info("connection open")
    assert stream.getvalue() == ""


def _log_in_one_second(
    lines: tuple[tuple[str, str, bool, int], ...],
) -> None:
    """Log lines: level, message, whether with `always`, and how many."""
    log = telemetry.make_logger("owner")
    for level, message, always, count in lines:
        fields = {"always": True} if always else {}
        for _ in range(count):
            getattr(log, level)(message, **fields)


@pytest.mark.parametrize(
    ("lines", "written"),
    [
        pytest.param(
            (("info", "start", False, 30), ("info", "state", True, 1)),
            {"start": 8, "state": 1},
            id="flood-of-lines-hides-state",
        ),
        pytest.param(
            (("warning", "late", False, 30), ("info", "state", True, 1)),
            {"late": 10, "state": 1},
            id="flood-of-warnings-hides-state",
        ),
        pytest.param(
            (("info", "start", False, 30), ("error", "fault", False, 1)),
            {"start": 8, "fault": 1},
            id="flood-of-lines-hides-errors",
        ),
        pytest.param(
            (
                ("info", "state", True, 30),
                ("warning", "late", False, 30),
                ("info", "start", False, 30),
            ),
            {"state": 10, "late": 2},
            id="no-bound-for-important-lines",
        ),
        pytest.param(
            (("info", "start", False, 8), ("info", "start", False, 1)),
            {"start": 8},
            id="limit-of-ordinary-lines-is-lost",
        ),
    ],
)
def test_important_lines_pass_beyond_the_limit(
    lines: tuple[tuple[str, str, bool, int], ...],
    written: dict[str, int],
    monkeypatch: pytest.MonkeyPatch,
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a takeover that no log line tells among many others."""
    monkeypatch.setattr("time.time", lambda: 1000.5)
    monkeypatch.setattr("time.time_ns", lambda: 1000_500_000_000)
    dropped = []
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    path = tmp_path / "lines"
    with path.open("w") as output:
        monkeypatch.setattr("sys.stdout", output)
        telemetry.configure_bounded_logging(
            "info",
            "a-1",
            "entry",
            lines_per_s=8,
            on_drop=lambda: dropped.append(1),
        )
        _log_in_one_second(lines)
        root.handlers[:] = handlers
        root.setLevel(level)
    decoded = [json.loads(line) for line in path.read_text().splitlines()]
    counts = collections.Counter(
        line["message"].removeprefix("owner: ") for line in decoded
    )
    assert counts == written
    assert not any("always" in line for line in decoded)
    total = sum(count for *_, count in lines)
    assert len(dropped) == total - sum(written.values())


@pytest.mark.parametrize(
    ("metric", "reasons"),
    [
        pytest.param(
            "chestnuttide_refusals_total",
            errors.Reason,
            id="refusal_reason_without_series",
        ),
        pytest.param(
            "chestnuttide_retries_total",
            errors.RetryReason,
            id="retry_reason_without_series",
        ),
    ],
)
def test_every_reason_has_an_initial_series(
    metric: str, reasons: type[errors.Reason]
) -> None:
    content, content_type = telemetry.render(telemetry.make_metrics().registry)
    lines = content.decode().splitlines()
    assert content_type.startswith("text/plain")
    for reason in reasons:
        assert f'{metric}{{reason="{reason.value}"}} 0' in lines


def test_counts_are_separate_per_reason_and_registry() -> None:
    metrics = telemetry.make_metrics()
    telemetry.make_metrics()
    telemetry.count_refusal(metrics, errors.Reason.QUEUE_FULL)
    telemetry.count_retry(metrics, errors.RetryReason.HEDGE)
    telemetry.count_store_call(metrics, "write")
    metrics.placement_seconds.observe({}, 0.0004)
    metrics.queue_length.set({"queue": "workers/main"}, 5)
    lines = telemetry.render(metrics.registry)[0].decode().splitlines()
    for line in (
        'chestnuttide_refusals_total{reason="queue_full"} 1',
        'chestnuttide_refusals_total{reason="quota_exceeded"} 0',
        'chestnuttide_retries_total{reason="hedge"} 1',
        'chestnuttide_store_calls_total{kind="write"} 1',
        'chestnuttide_queue_length{queue="workers/main"} 5',
        'chestnuttide_placement_seconds_bucket{le="0.0005"} 1.0',
        "chestnuttide_shards_owned 0",
    ):
        assert line in lines
