"""How many answers begin in time, as callers see it, and how long prompts may wait.

How long a prompt waits is an estimate: of the engines' rates, of what they have to
read, of what others have sent there. Held at one figure it lets in too little where it
is too high, and engines stand idle while callers are refused. So the wait that is aimed
at follows what callers see: the fewer answers begin late, the longer it may be.

Not in a flood: what is let in then beyond shares goes to those who flood, and makes all
others late.
"""

from dataclasses import dataclass, field

from sesameford.gateway.token_rate import TokenRate

# Long enough for some hundred answers of a small fleet, short beside a flood.
AVERAGE_SECONDS = 1.5
# With this part of the answers late, prompts wait as long as they may at the least.
LATE_PART = 0.15
# With none late they may wait so many times as long.
MOST_FACTOR = 2.2
# With so many times as much asked as engines handle, nothing but shares is let in.
FLOOD_RATIO = 3.0
# Fewer answers a second than this say little; as many are taken as late.
FEW_ANSWERS = 2.0


@dataclass(slots=True)
class Timeliness:
    """Answers that began at one router, in time and late."""

    _in_time: TokenRate = field(default_factory=lambda: TokenRate(AVERAGE_SECONDS))
    _late: TokenRate = field(default_factory=lambda: TokenRate(AVERAGE_SECONDS))

    def record_answer_start(
        self, took_seconds: float, objective_seconds: float
    ) -> None:
        """Count an answer that has begun.

        Args:
            took_seconds: How long its caller waited for that.
            objective_seconds: How long it should.
        """
        counts = self._late if took_seconds > objective_seconds else self._in_time
        counts.add(1)

    def in_time_answers(self, now_seconds: float) -> float:
        """Return the answers that begin in time, a second."""
        return self._in_time.tokens_per_second(now_seconds)

    def late_answers(self, now_seconds: float) -> float:
        """Return the answers that begin late, a second."""
        return self._late.tokens_per_second(now_seconds)


def wait_factor(
    in_time_answers: float,
    late_answers: float,
    asked_tokens: float,
    handled_tokens: float,
) -> float:
    """Return how many times as long prompts may wait as they may at the least.

    It depends on present figures alone, so that replicas which work it out from the
    same sums come to the same.

    Args:
        in_time_answers: Of the whole fleet, a second.
        late_answers: Likewise.
        asked_tokens: What all customers ask, a second.
        handled_tokens: What engines begin to answer or fail, a second.
    """
    late = late_answers + FEW_ANSWERS
    late_part = late / (in_time_answers + late)
    in_time_part = 1.0 - min(late_part / LATE_PART, 1.0)
    ratio = asked_tokens / max(handled_tokens, 1.0)
    calm_part = min(max((FLOOD_RATIO - ratio) / (FLOOD_RATIO - 1.0), 0.0), 1.0)
    return 1.0 + (MOST_FACTOR - 1.0) * in_time_part * calm_part


def make_timeliness() -> Timeliness:
    """Return the counts of a router that has passed on no answer yet."""
    return Timeliness()
