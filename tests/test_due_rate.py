"""The rate of admitted tokens whose expected wait is over."""

from sesameford.gateway.due_rate import DueRate


def rate_at(rate, seconds, wait_seconds):
    """Return the rate after updates each tenth of a second."""
    for tick in range(round(10 * seconds) + 1):
        tokens_per_second = rate.tokens_per_second(0.1 * tick, wait_seconds)
    return tokens_per_second


def test_tokens_count_once_their_wait_is_over():
    rate = DueRate()
    rate.add(1_000)
    assert rate_at(rate, 1.9, 2.0) == 0.0
    assert rate.has_pending_tokens
    rate = DueRate()
    rate.add(1_000)
    assert rate_at(rate, 2.1, 2.0) > 0.0
    assert not rate.has_pending_tokens


def test_tokens_without_a_wait_count_like_any_others():
    rate = DueRate()
    for tick in range(100):
        rate.add(100)
        tokens_per_second = rate.tokens_per_second(0.1 * tick, 0.0)
    assert 990.0 <= tokens_per_second <= 1_010.0


def test_a_wait_that_shrinks_keeps_the_order_of_tokens():
    """Guards against tokens that are never counted behind an older, longer wait."""
    rate = DueRate()
    rate.add(1_000)
    rate.tokens_per_second(0.0, 1.0)
    rate.add(1_000)
    rate.tokens_per_second(0.1, 0.0)
    assert rate.tokens_per_second(0.9, 0.0) == 0.0
    assert rate.tokens_per_second(1.1, 0.0) > 0.0
    assert not rate.has_pending_tokens
