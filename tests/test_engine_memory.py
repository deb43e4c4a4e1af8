"""What routers take an engine to remember, played by hand; no network."""

from sesameford.gateway.calls import Prompt, PromptPart
from sesameford.gateway.engine_memory import USABLE_PART, make_engine_memory
from sesameford.gateway.fleet_sums import (
    MOST_USED_ROWS,
    LiveInstances,
    make_fleet_sums,
)
from sesameford.load_messages import FleetLoad, RouterLoad, UsedPart, UsedParts

MEMORY_TOKENS = round(10_000 / USABLE_PART)
NAME = 7


def prompt(*parts, own=500, output=0):
    """Return a prompt of shared parts, given as numbers of 1,000 tokens each."""
    shared = tuple(PromptPart(one, 1_000) for one in parts)
    tokens = sum(part.tokens for part in shared) + own
    return Prompt("m", tokens, output, (*shared, PromptPart(99, own)), output)


def kept(memory, *parts):
    return memory.kept_tokens(PromptPart(one, 1_000) for one in parts)


def test_a_part_is_kept_only_with_all_parts_before_it():
    memory = make_engine_memory()
    memory.sent(prompt(1, 2), MEMORY_TOKENS)
    assert kept(memory, 1, 2, 3) == 2_000
    assert kept(memory, 3, 1, 2) == 0


def test_a_part_is_forgotten_once_other_prompts_have_filled_the_memory():
    """An engine's memory holds 10,000 tokens, and long prompts go through it.

    Taken as kept for a fixed time, the part would be read again where a router counts
    on it: 200 ms for the caller that nobody expects.
    """
    memory = make_engine_memory()
    memory.sent(prompt(1), MEMORY_TOKENS)
    for _ in range(8):
        memory.sent(prompt(own=1_000), MEMORY_TOKENS)
    assert kept(memory, 1) == 1_000
    memory.sent(prompt(own=1_000), MEMORY_TOKENS)
    assert kept(memory, 1) == 0


def test_a_part_that_is_used_stays():
    memory = make_engine_memory()
    for _ in range(30):
        memory.sent(prompt(1, own=900), MEMORY_TOKENS)
    assert kept(memory, 1) == 1_000


def test_routers_know_what_others_have_sent():
    """A part is read at an engine for one router's caller; another router's comes."""
    one, other = make_engine_memory(), make_engine_memory()
    one.sent(prompt(1, 2, own=300, output=40), MEMORY_TOKENS)
    news = one.news(NAME)
    assert news == UsedParts(NAME, (UsedPart(1, 1_000), UsedPart(2, 1_000)), 340)
    assert one.news(NAME) is None
    other.take(news, MEMORY_TOKENS)
    assert kept(other, 1, 2) == 2_000
    other.take(UsedParts(NAME, (), 9_000), MEMORY_TOKENS)
    assert kept(other, 1, 2) == 0


def test_a_part_in_constant_use_is_reported_now_and_then():
    """A hot part is in every prompt. Reported for each, it would fill the messages;
    only once, others would take it as forgotten and have it read elsewhere."""
    one, other = make_engine_memory(), make_engine_memory()
    reported = 0
    for _ in range(200):
        one.sent(prompt(1, own=200), MEMORY_TOKENS)
        news = one.news(NAME)
        reported += len(news.parts)
        other.take(news, MEMORY_TOKENS)
        assert kept(other, 1) == 1_000
    assert reported <= 20


def test_a_message_has_a_bounded_number_of_rows():
    """All routers of a large fleet are flooded at once."""
    sums = make_fleet_sums(
        LiveInstances(lambda *_: (), lambda *_: (), lambda *_: 0),
    )
    rows = tuple(UsedParts(number, (), 1) for number in range(MOST_USED_ROWS))
    for router_id in ("r1", "r2", "r3"):
        sums.received(router_id, RouterLoad((), used=rows), 1.0)
    for answer in sums.tick(None, 0.1, 1.0):
        assert isinstance(answer.message, FleetLoad)
        assert len(answer.message.used) <= MOST_USED_ROWS
    answers = sums.tick(None, 0.1, 1.3)
    assert len(answers) == 3
    assert not any(answer.message.used for answer in answers)
