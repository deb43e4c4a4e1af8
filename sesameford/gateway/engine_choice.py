"""At which model engine a prompt costs its caller and all others least.

An engine reads prompts one after another, so what delays a first event is the tokens
that wait to be read before it. Prompts share parts, and an engine that remembers a
part does not read it again. All routers order the engines alike for a shared part, by
a hash of both, so that a part is read at few engines without anybody agreeing on it.
The first of that order is the part's home; another engine copies the part from there.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from xxhash import xxh32_intdigest

from sesameford.discovery.beat_table import KnownTarget
from sesameford.effective import ServiceSettings
from sesameford.gateway.calls import Prompt
from sesameford.gateway.place import Place

# What each running request adds to the wait for a first event: a batch's step takes
# some hundredth longer for each request in it.
RUNNING_SECONDS = 0.0002
# A shared part that is read once more holds up all that comes after it at that engine
# and pushes other parts out of its memory, as a copied one does, so the time to read it
# counts this often again beside the wait of the request itself. Counted so, copies too,
# 5% more requests were served in time on two days of floods, and two fifths less was
# read again, than with copies for nothing.
READ_AGAIN_FACTOR = 3.0
# Beyond this part of its objective, a wait counts more: the rest is for what the
# estimate can't see.
SAFE_PART = 0.5
LATE_FACTOR = 3.0
# Asking another engine for its copy takes so long, however short the part.
COPY_SETUP_SECONDS = 0.002
# Engines that are looked at for a prompt: the first of its parts' order, and some by
# lot. With 75 routers that hear of each other 0.3 s late, 0.87 of first events come in
# time and 0.59 where all engines are looked at; with 8 routers there is no difference
# (engines in virtual time, steady load of 18 requests a second for each).
NEAR_ENGINES = 1
LOT_ENGINES = 2


@dataclass(frozen=True, slots=True)
class EngineOption:
    """One engine for one prompt.

    ``unread_tokens`` would be read there and ``copied_tokens`` copied from
    ``copy_from``; ``again_tokens`` of what is read are read at another engine too.
    """

    known: KnownTarget
    place: Place
    unread_tokens: int
    again_tokens: int = 0
    copied_tokens: int = 0
    copy_from: str | None = None


def queue_seconds(place: Place, slots: int, hold_seconds: float) -> float:
    """Return the time until an engine would begin to read one more prompt.

    Args:
        place: What is known of the engine.
        slots: Requests that it works on at once.
        hold_seconds: How long a request stays in a batch.
    """
    requests = place.all_requests
    wait_seconds = place.backlog.wait_seconds() + RUNNING_SECONDS * requests
    if requests >= slots:
        wait_seconds += (1 + requests - slots) * hold_seconds / slots
    return wait_seconds


def options_for(
    prompt: Prompt,
    usable: Sequence[tuple[KnownTarget, Place]],
    engine: ServiceSettings,
    random: Random,
    now_seconds: float,
) -> list[EngineOption]:
    """Return what some engines would have to do for a prompt.

    The first ones of its parts' order are looked at, since all routers send the part
    there, and some others by lot. Were all engines looked at, routers that are told
    the same loads some tenths of a second late would all send to the same one.
    """
    ranked = sorted(usable, key=_home_order(prompt), reverse=True)
    home = ranked[0][0]
    looked_at = ranked[:NEAR_ENGINES]
    others = ranked[NEAR_ENGINES:]
    looked_at += random.sample(others, min(LOT_ENGINES, len(others)))
    return [
        _option(prompt, known, place, home, engine, now_seconds)
        for known, place in looked_at
    ]


def option_cost(
    option: EngineOption,
    slots: int,
    hold_seconds: float,
    copy_tokens_per_second: float | None,
    objective_seconds: float,
) -> float:
    """Return what a prompt costs its caller and the others at an engine, in seconds."""
    backlog = option.place.backlog
    wait_seconds = queue_seconds(option.place, slots, hold_seconds)
    wait_seconds += backlog.read_seconds(option.unread_tokens)
    if option.copied_tokens and copy_tokens_per_second:
        wait_seconds += COPY_SETUP_SECONDS
        wait_seconds += option.copied_tokens / copy_tokens_per_second
    again_seconds = READ_AGAIN_FACTOR * backlog.read_seconds(
        option.again_tokens + option.copied_tokens
    )
    return _wait_cost(wait_seconds, objective_seconds) + again_seconds


def _option(
    prompt: Prompt,
    known: KnownTarget,
    place: Place,
    home: KnownTarget,
    engine: ServiceSettings,
    now_seconds: float,
) -> EngineOption:
    shared_tokens = sum(part.tokens for part in prompt.shared_parts)
    missing_tokens = 0 if known is home else shared_tokens
    if missing_tokens:
        for part in prompt.shared_parts:
            if not place.cache.has(part, now_seconds):
                break
            missing_tokens -= part.tokens
    own_tokens = max(prompt.prompt_tokens - shared_tokens, 0)
    if missing_tokens and engine.cache_copy_tokens_per_second:
        return EngineOption(
            known, place, own_tokens, 0, missing_tokens, home.row.address
        )
    return EngineOption(known, place, own_tokens + missing_tokens, missing_tokens)


def _home_order(
    prompt: Prompt,
) -> Callable[[tuple[KnownTarget, Place]], int]:
    """Return the order of engines for a prompt's last shared part."""
    shared = prompt.shared_parts or prompt.parts
    part_id = shared[-1].part_id if shared else 0

    def order(option: tuple[KnownTarget, Place]) -> int:
        return xxh32_intdigest(f"{part_id}/{option[0].row.target_id}".encode())

    return order


def _wait_cost(wait_seconds: float, objective_seconds: float) -> float:
    """Return what a wait costs; one that endangers the objective costs more."""
    safe_seconds = SAFE_PART * objective_seconds
    return wait_seconds + LATE_FACTOR * max(wait_seconds - safe_seconds, 0.0)
