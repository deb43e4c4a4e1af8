"""A short seeded run of the soak with the real programs, and its own checks."""

import asyncio

import pytest

from tools.platform_soak import play
from tools.platform_soak_verdict import Records, Sent, findings

# Each seed that ever failed is added here, with a line on its cause.
SEEDS = (3,)
SECONDS = 5.0


@pytest.mark.parametrize("seed", SEEDS)
def test_no_promise_is_broken_under_the_faults_of_a_seed(seed):
    """Processes, servers and connections fail one over the other, as drawn by a seed.

    Callers would see doubled, crossed or cut answers, or a refusal of work that ran.
    """
    assert asyncio.run(play(seed, SECONDS, 240)) == []


class Fleet:
    ended_by_itself: tuple[str, ...] = ()


class Server:
    def __init__(self, runs):
        self.target_id = "i-1"
        self.runs = runs
        self.last_arrival_seconds = 0.0


class Beating:
    drained_at_seconds = None

    def __init__(self, runs):
        self.server = Server(runs)


def found(sent, runs=0):
    records = Records(sent=[sent], servers=[Beating({sent.request_id: runs})])
    return findings(records, Fleet())


def test_the_checks_see_each_broken_promise():
    answered = {"status": 200, "is_complete": True}
    assert found(Sent("1", "unsafe", "r", 0.0, **answered), runs=1) == []
    assert "ran 2 times" in found(Sent("1", "unsafe", "r", 0.0, **answered), 2)[0]
    assert found(Sent("1", "safe", "r", 0.0, **answered), runs=2) == []
    told = Sent("1", "stream", "r", 0.0, status=503, is_complete=True)
    assert "told 503 and ran" in found(told, runs=1)[0]
    crossed = Sent("1", "safe", "r", 0.0, is_own=False, **answered)
    assert "not its own" in found(crossed, runs=1)[0]
    cut = Sent("1", "safe", "r", 0.0, end="ServerDisconnectedError")
    assert "was cut" in found(cut, runs=1)[0]
    assert found(cut, runs=0) == []
    assert "denied" in found(Sent("1", "safe", "r", 0.0, status=404))[0]
    assert found(Sent("1", "new", "r", 0.0, status=404)) == []
