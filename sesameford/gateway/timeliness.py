"""Answers that start in time, as callers see it, and how long prompts may wait.

The wait of a prompt is an estimate: from the engines' rates, from what they have to
read, from what other routers have sent there. A fixed limit admits too little where the
estimate is too high, and engines idle while callers are refused. So the limit follows
what callers see: the fewer answers start late, the longer prompts may wait.

It is not raised during overload: requests admitted beyond shares would then be those of
the customers that cause it, and would delay all others. It is lowered instead, below
the usual time, while many answers are late or pause for too long: an engine that reads
prompts all the time generates next to nothing.
"""

from dataclasses import dataclass, field

from sesameford.gateway.token_rate import TokenRate

# Long enough for some hundred answers of a small fleet, short beside an overload.
AVERAGE_SECONDS = 1.5
# With this part of the answers late, prompts may wait for the usual time only.
LATE_PART = 0.15
# With twice that part late, they may wait for this part of the usual time.
MIN_WAIT_FACTOR = 0.4
# With no answer late they may wait so many times as long.
MAX_WAIT_FACTOR = 2.2
# From this ratio of requested to handled tokens on, nothing beyond shares is admitted.
OVERLOAD_RATIO = 2.0
# Added to the late answers a second, since fewer answers than this say little.
PRIOR_LATE_ANSWERS = 2.0


@dataclass(slots=True)
class Timeliness:
    """Answers that started at one router, in time and late."""

    _in_time: TokenRate = field(default_factory=lambda: TokenRate(AVERAGE_SECONDS))
    _late: TokenRate = field(default_factory=lambda: TokenRate(AVERAGE_SECONDS))
    _paused: TokenRate = field(default_factory=lambda: TokenRate(AVERAGE_SECONDS))

    def record_answer_start(
        self, took_seconds: float, objective_seconds: float
    ) -> None:
        """Count an answer that has started.

        Args:
            took_seconds: How long its caller waited for the start.
            objective_seconds: The objective for that wait.
        """
        counts = self._late if took_seconds > objective_seconds else self._in_time
        counts.add(1)

    def record_long_pause(self) -> None:
        """Count an answer that started in time and paused for too long."""
        self._paused.add(1)

    def in_time_answers(self, now_seconds: float) -> float:
        """Return the answers a second that start in time."""
        return self._in_time.tokens_per_second(now_seconds)

    def late_answers(self, now_seconds: float) -> float:
        """Return the answers a second that start late."""
        return self._late.tokens_per_second(now_seconds)

    def paused_answers(self, now_seconds: float) -> float:
        """Return the answers a second that start in time and pause for too long."""
        return self._paused.tokens_per_second(now_seconds)


def wait_factor(
    in_time_answers: float,
    late_answers: float,
    paused_answers: float,
    requested_tokens: float,
    handled_tokens: float,
    min_factor: float = MIN_WAIT_FACTOR,
) -> float:
    """Return by how much the usual wait limit of prompts is multiplied.

    It depends on present figures alone, so that replicas which compute it from the same
    sums get the same result.

    Args:
        in_time_answers: Answers of the whole fleet that start in time, a second.
        late_answers: Those that start late, a second.
        paused_answers: Those that start in time and pause for too long, a second.
        requested_tokens: What all customers request, a second.
        handled_tokens: What engines start to answer or fail, a second.
        min_factor: The factor during overload while very many answers are late.
    """
    late = late_answers + PRIOR_LATE_ANSWERS
    late_part = late / (in_time_answers + late)
    in_time_part = 1.0 - min(late_part / LATE_PART, 1.0)
    ratio = requested_tokens / max(handled_tokens, 1.0)
    calm_part = min(max((OVERLOAD_RATIO - ratio) / (OVERLOAD_RATIO - 1.0), 0.0), 1.0)
    excess_part = _excess_part(in_time_answers, late_answers, paused_answers)
    lowered_factor = 1.0 - (1.0 - min_factor) * excess_part * (1.0 - calm_part)
    return lowered_factor + (MAX_WAIT_FACTOR - 1.0) * in_time_part * calm_part


def _excess_part(
    in_time_answers: float, late_answers: float, paused_answers: float
) -> float:
    """Return by how much too many answers are late or pause, from 0 to 1."""
    answers = in_time_answers + late_answers + PRIOR_LATE_ANSWERS
    failed_part = (late_answers + paused_answers) / answers
    return min(max(failed_part / LATE_PART - 1.0, 0.0), 1.0)


def make_timeliness() -> Timeliness:
    """Return the counts of a router that has relayed no answer yet."""
    return Timeliness()
