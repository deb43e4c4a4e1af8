"""Admitted calls that ended before an engine began them."""

from random import Random
from types import SimpleNamespace

import pytest

from sesameford.gateway.calls import Call, Prompt
from sesameford.gateway.share_gate import make_share_gate
from sesameford.gateway.unserved_calls import record_unserved_call

PROMPT = Prompt("m", 900, 100)


def record(reason, prompt=PROMPT, first_event_seconds=None, is_trial=False):
    """Admit a call and record its end; return its share gate."""
    gate = make_share_gate(Random(1))
    if prompt is not None:
        gate.admits("club", "r", prompt.cost_tokens)
    if first_event_seconds is not None:
        gate.record_start("club", prompt.cost_tokens)
    context = SimpleNamespace(
        call=Call("id", "POST", "h", "/x", (), prompt=prompt),
        customer="club",
        first_event_seconds=first_event_seconds,
        is_trial=is_trial,
    )
    record_unserved_call(SimpleNamespace(gate=gate), context, reason)
    return gate


def lost_rates(gate):
    gate.rows(0.0)
    return [row.lost_tokens for row in gate.rows(1.0)]


@pytest.mark.parametrize(
    ("prompt", "first_event_seconds", "lost", "rates"),
    [
        (PROMPT, None, "club/timeout:1:1.0", [1_000]),
        (PROMPT, 0.2, "", [0]),
        (None, None, "", []),
    ],
)
def test_only_prompts_that_no_engine_began_are_lost(
    prompt, first_event_seconds, lost, rates
):
    gate = record("timeout", prompt, first_event_seconds)
    assert gate.account.lost.format_sums() == lost
    assert lost_rates(gate) == rates


@pytest.mark.parametrize(
    ("reason", "is_trial"),
    [
        ("caller-left", False),
        ("quarantined", False),
        ("on-trial", False),
        ("lost", True),
    ],
)
def test_calls_are_lost_for_whatever_reason_they_end(reason, is_trial):
    """Guards against a list of reasons for which a customer's share is not made up."""
    gate = record(reason, is_trial=is_trial)
    assert gate.account.lost.format_sums() == f"club/{reason}:1:1.0"
    assert lost_rates(gate) == [1_000]
