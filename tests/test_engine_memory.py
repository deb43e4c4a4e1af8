"""A router's simulation of an engine's memory, without network."""

from sesameford.gateway.calls import Prompt, PromptPart
from sesameford.gateway.engine_memory import USABLE_MEMORY_FRACTION, make_engine_memory
from sesameford.gateway.fleet_sums import (
    MAX_USED_ROWS,
    LiveInstances,
    make_fleet_sums,
)
from sesameford.load_messages import FleetLoad, RouterLoad, UsedPart, UsedParts

MEMORY_TOKENS = round(10_000 / USABLE_MEMORY_FRACTION)
NAME = 7


def prompt(*parts, own=500, output=0):
    """Return a prompt of shared parts, given as numbers of 1,000 tokens each."""
    shared = tuple(PromptPart(one, 1_000) for one in parts)
    tokens = sum(part.tokens for part in shared) + own
    return Prompt("m", tokens, output, (*shared, PromptPart(99, own)), output)


def cached(memory, *parts):
    return memory.cached_tokens(PromptPart(one, 1_000) for one in parts)


def test_a_part_counts_as_cached_only_with_all_parts_before_it():
    memory = make_engine_memory()
    memory.record_sent(prompt(1, 2), MEMORY_TOKENS)
    assert cached(memory, 1, 2, 3) == 2_000
    assert cached(memory, 3, 1, 2) == 0


def test_a_part_is_evicted_once_other_prompts_have_filled_the_memory():
    """An engine's memory holds 10,000 tokens, and long prompts pass through it.

    If the part counted as cached for a fixed time, it would be read again where a
    router assumes it cached: an unexpected 200 ms for the caller.
    """
    memory = make_engine_memory()
    memory.record_sent(prompt(1), MEMORY_TOKENS)
    for _ in range(8):
        memory.record_sent(prompt(own=1_000), MEMORY_TOKENS)
    assert cached(memory, 1) == 1_000
    memory.record_sent(prompt(own=1_000), MEMORY_TOKENS)
    assert cached(memory, 1) == 0


def test_a_part_in_use_is_not_evicted():
    memory = make_engine_memory()
    for _ in range(30):
        memory.record_sent(prompt(1, own=900), MEMORY_TOKENS)
    assert cached(memory, 1) == 1_000


def test_reports_of_another_router_fill_the_simulated_memory():
    """A part is read for one router's caller; a caller of another router follows."""
    one, other = make_engine_memory(), make_engine_memory()
    one.record_sent(prompt(1, 2, own=300, output=40), MEMORY_TOKENS)
    used_parts = one.flush_used_parts(NAME)
    assert used_parts == UsedParts(NAME, (UsedPart(1, 1_000), UsedPart(2, 1_000)), 340)
    assert one.flush_used_parts(NAME) is None
    other.record_used_parts(used_parts, MEMORY_TOKENS)
    assert cached(other, 1, 2) == 2_000
    other.record_used_parts(UsedParts(NAME, (), 9_000), MEMORY_TOKENS)
    assert cached(other, 1, 2) == 0


def test_a_part_in_constant_use_is_reported_at_intervals():
    """A hot part is in every prompt. Reported for each, it would fill the messages;
    reported once, other routers would evict it and have it read elsewhere."""
    one, other = make_engine_memory(), make_engine_memory()
    reported = 0
    for _ in range(200):
        one.record_sent(prompt(1, own=200), MEMORY_TOKENS)
        used_parts = one.flush_used_parts(NAME)
        reported += len(used_parts.parts)
        other.record_used_parts(used_parts, MEMORY_TOKENS)
        assert cached(other, 1) == 1_000
    assert reported <= 20


def test_a_message_has_a_bounded_number_of_rows():
    """All routers of a large fleet are overloaded at once."""
    sums = make_fleet_sums(
        LiveInstances(lambda *_: (), lambda *_: (), lambda *_: 0),
    )
    rows = tuple(UsedParts(number, (), 1) for number in range(MAX_USED_ROWS))
    for router_id in ("r1", "r2", "r3"):
        sums.handle_report(router_id, RouterLoad((), used=rows), 1.0)
    for answer in sums.tick(None, 0.1, 1.0):
        assert isinstance(answer.message, FleetLoad)
        assert len(answer.message.used) <= MAX_USED_ROWS
    answers = sums.tick(None, 0.1, 1.3)
    assert len(answers) == 3
    assert not any(answer.message.used for answer in answers)
