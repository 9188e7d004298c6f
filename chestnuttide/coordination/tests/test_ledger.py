"""Tests of the ledger: each request id runs at most once."""

import collections
import random

import hypothesis
from hypothesis import strategies
import pytest

from chestnuttide import coordination
from chestnuttide import errors

S = coordination.RequestState


def _sent_ledger() -> coordination.LedgerState:
    ledger = coordination.LedgerState()
    assert coordination.begin_request(ledger, "r", 0.0) is None
    coordination.make_intent_event(ledger, ["r"], 1)
    assert coordination.record_intent(ledger, "r", 1, 0.0)
    assert coordination.mark_sent(ledger, "r", 0.0)
    return ledger


def _send_again(ledger: coordination.LedgerState) -> object:
    return coordination.mark_sent(ledger, "r", 1.0)


def _unsent_then_send(ledger: coordination.LedgerState) -> object:
    coordination.mark_unsent(ledger, "r", 1.0)
    return coordination.mark_sent(ledger, "r", 1.0)


def _answered_then_unsent(ledger: coordination.LedgerState) -> object:
    coordination.mark_answered(ledger, "r", 200, 1.0)
    coordination.mark_unsent(ledger, "r", 1.0)
    return coordination.mark_sent(ledger, "r", 1.0)


def _begin_again(ledger: coordination.LedgerState) -> object:
    return coordination.begin_request(ledger, "r", 1.0)


def _unknown(ledger: coordination.LedgerState) -> object:
    coordination.mark_unknown(ledger, "r", 1.0)
    return coordination.begin_request(ledger, "r", 1.0)


def _late_answer(ledger: coordination.LedgerState) -> object:
    coordination.mark_unknown(ledger, "r", 1.0)
    coordination.mark_answered(ledger, "r", 201, 2.0)
    return coordination.request_state(ledger, "r", 2.0).status


def _long_in_progress(ledger: coordination.LedgerState) -> object:
    return coordination.begin_request(ledger, "r", 5000.0)


def _long_ended(ledger: coordination.LedgerState) -> object:
    coordination.mark_answered(ledger, "r", 200, 10.0)
    return (
        coordination.begin_request(ledger, "r", 909.9),
        coordination.begin_request(ledger, "r", 910.0),
    )


@pytest.mark.parametrize(
    ("action", "expected"),
    [
        pytest.param(_send_again, False, id="sent_twice"),
        pytest.param(
            _unsent_then_send, True, id="unsent_request_is_not_retried"
        ),
        pytest.param(
            _answered_then_unsent, False, id="answered_request_sent_again"
        ),
        pytest.param(_begin_again, S.SENT, id="duplicate_id_runs_twice"),
        pytest.param(
            _unknown, S.OUTCOME_UNKNOWN, id="unknown_outcome_runs_again"
        ),
        pytest.param(_late_answer, 201, id="late_answer_dropped"),
        pytest.param(_long_in_progress, S.SENT, id="id_in_progress_dropped"),
        pytest.param(
            _long_ended, (S.ANSWERED, None), id="ended_id_dropped_early"
        ),
    ],
)
def test_sent_request(action: object, expected: object) -> None:
    assert action(_sent_ledger()) == expected


def test_refused_intent_does_not_protect_a_reused_id() -> None:
    """Guards against sending on an intent that a refusal follows.

    A successor reads the refusal after the first intent, so only the second
    intent shows that the reused id may have run.
    """
    ledger = coordination.LedgerState()
    coordination.begin_request(ledger, "r", 0.0)
    coordination.make_intent_event(ledger, ["r"], 1)
    assert coordination.refuse_request(ledger, "r")
    assert coordination.begin_request(ledger, "r", 1.0) is None
    coordination.make_intent_event(ledger, ["r"], 2)
    assert not coordination.record_intent(ledger, "r", 1, 1.0)
    assert coordination.record_intent(ledger, "r", 2, 1.0)


def test_sent_request_cannot_be_refused_as_not_run() -> None:
    with pytest.raises(errors.ProtocolError):
        coordination.refuse_request(_sent_ledger(), "r")


@pytest.mark.parametrize(
    ("events", "expected"),
    [
        pytest.param([], None, id="new_id_rejected"),
        pytest.param(
            ["i"], S.OUTCOME_UNKNOWN, id="request_with_intent_runs_again"
        ),
        pytest.param(["i", "o"], S.ANSWERED, id="outcome_lost"),
        pytest.param(["i", "n"], None, id="refused_id_rejected"),
        pytest.param(
            ["i", "n", "i"], S.OUTCOME_UNKNOWN, id="reused_id_runs_again"
        ),
        pytest.param(
            ["x", "i"], S.OUTCOME_UNKNOWN, id="unrelated_event_raises"
        ),
    ],
)
def test_recovery(events: list[str], expected: object) -> None:
    ledger = coordination.LedgerState()
    coordination.begin_request(ledger, "r", 0.0)
    encoded = {
        "i": coordination.make_intent_event(ledger, ["r"], 1),
        "o": coordination.make_outcome_event([("r", 200)]),
        "n": coordination.make_outcome_event(
            [("r", coordination.NOT_RUN_STATUS)]
        ),
        "x": b"\x82\x18\x63\x01",
    }
    found = coordination.recover_ledger(
        None, [encoded[name] for name in events], 10.0
    )
    assert coordination.begin_request(found, "r", 10.0) == expected


def test_snapshot_keeps_ages_and_omits_ids_without_intent() -> None:
    ledger = _sent_ledger()
    coordination.mark_answered(ledger, "r", 204, 100.0)
    coordination.begin_request(ledger, "new", 100.0)
    data = coordination.encode_ledger(ledger, 400.0)
    # The clock of the successor has a different origin.
    found = coordination.recover_ledger(data, [], 7000.0)
    assert list(found.entries) == ["r"]
    assert found.entries["r"].status == 204
    assert coordination.request_state(found, "r", 7599.0) is not None
    assert coordination.request_state(found, "r", 7600.0) is None


@pytest.mark.parametrize("value", [b"\xff", b"\x01", b"\x81\x81\x01"])
def test_malformed_snapshot_raises_protocol_error(value: bytes) -> None:
    with pytest.raises(errors.ProtocolError):
        coordination.recover_ledger(value, [], 0.0)


def _append(log: list, waiting: list, event: bytes, ids: list) -> None:
    log.append(event)
    waiting.append((len(log), ids))


@hypothesis.settings(max_examples=400, derandomize=True, deadline=None)
@hypothesis.given(
    seed=strategies.integers(0, 2**32),
    steps=strategies.sampled_from([30, 100, 400]),
)
def test_an_id_is_dispatched_at_most_once(seed: int, steps: int) -> None:
    """Guards against a second run after duplicates, refusals and crashes."""
    rng = random.Random(seed)
    runs: collections.Counter = collections.Counter()
    ledger = coordination.LedgerState()
    log: list = []
    waiting: list = []
    durable = 0
    valid = cut = (0, None)
    now = 0.0
    for _ in range(steps):
        now += rng.random()
        name = rng.choice("ab")
        entry = ledger.entries.get(name)
        state = None if entry is None else entry.state
        kind = rng.randrange(8)
        if kind == 0:
            coordination.begin_request(ledger, name, now)
        elif kind == 1 and state is S.ACCEPTED and not entry.journalled:
            event = coordination.make_intent_event(
                ledger, [name], len(log) + 1
            )
            _append(log, waiting, event, [name])
        elif kind == 2:
            durable = rng.randint(durable, len(log))
            while waiting and waiting[0][0] <= durable:
                token, ids = waiting.pop(0)
                for one in ids:
                    coordination.record_intent(ledger, one, token, now)
        elif kind == 3 and coordination.mark_sent(ledger, name, now):
            if rng.random() < 0.2:
                coordination.mark_unsent(ledger, name, now)
            else:
                runs[name] += 1
        elif kind == 4 and state is S.SENT and runs[name]:
            coordination.mark_answered(ledger, name, 200, now)
            event = coordination.make_outcome_event([(name, 200)])
            _append(log, waiting, event, [])
        elif kind == 5 and state in (S.ACCEPTED, S.INTENT_RECORDED):
            if coordination.refuse_request(ledger, name):
                event = coordination.make_outcome_event(
                    [(name, coordination.NOT_RUN_STATUS)]
                )
                _append(log, waiting, event, [])
        elif kind == 6 and rng.random() < 0.3:
            # A snapshot is valid once the events before it are durable.
            cut = (len(log), coordination.encode_ledger(ledger, now))
        elif kind == 7 and rng.random() < 0.3:
            del log[durable:]
            waiting.clear()
            ledger = coordination.recover_ledger(
                valid[1], log[valid[0] :], now
            )
            cut = valid
        if cut[0] <= durable:
            valid = cut
        assert not runs or max(runs.values()) <= 1, (name, kind)
