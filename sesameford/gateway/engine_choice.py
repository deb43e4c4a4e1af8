"""At which model engine a prompt costs its caller and all others least.

An engine reads prompts one after another, so what delays a first event is the tokens
that wait to be read before it. Prompts share parts, and an engine that remembers a
part does not read it again. All routers order the engines alike for a shared part, by
a hash of both, so that a part that nobody keeps is read at few engines without anybody
agreeing on it. The first of that order is the part's home. Where a part is kept already
routers tell each other; another engine copies it from there.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from xxhash import xxh32_intdigest

from sesameford.discovery.heartbeat_table import HeartbeatEntry
from sesameford.effective import ServiceSettings
from sesameford.gateway.calls import Prompt
from sesameford.gateway.target_record import TargetRecord

# What each running request adds to the wait for a first event: a batch's step takes
# some hundredth longer for each request in it.
RUNNING_SECONDS = 0.0002
# A shared part that is read once more holds up all that comes after it at that engine
# and pushes other parts out of its memory, as a copied one does, so the time to read it
# counts this often again beside the wait of the request itself.
READ_AGAIN_FACTOR = 3.0
# Beyond this part of its objective, a wait counts more: the rest is for what the
# estimate can't see.
SAFE_PART = 0.5
LATE_FACTOR = 3.0
# An engine that fails all it is sent costs this part of the objective beside the wait.
# A failure is worse for its caller than that, but routers that hear of each other late
# would all turn to the few engines that don't fail, and make everybody late there.
FAILED_OBJECTIVES = 0.3
# Asking another engine for its copy takes so long, however short the part.
COPY_SETUP_SECONDS = 0.002
# Where nobody is known to keep a part, another router may be sending it to its home
# just now. Reading it elsewhere counts as if so much of it were read there too.
MAYBE_READ_PART = 0.25
# Engines that are looked at for a prompt: the first of its parts' order, those that
# keep most of it, and some by lot. Routers that hear of each other late and look at all
# engines would all choose the same one.
HOME_ENGINES = 1
KEEPING_ENGINES = 2
RANDOM_ENGINES = 2


@dataclass(frozen=True, slots=True)
class EngineOption:
    """One engine for one prompt.

    ``unread_tokens`` would be read there and ``copied_tokens`` copied from
    ``copy_from``; ``again_tokens`` of what is read are read at another engine too.
    """

    known: HeartbeatEntry
    place: TargetRecord
    unread_tokens: int
    again_tokens: int = 0
    copied_tokens: int = 0
    copy_from: str | None = None


@dataclass(frozen=True, slots=True)
class _Kept:
    """The engine that keeps most of a prompt, and the first of its parts' order."""

    home: HeartbeatEntry
    source: HeartbeatEntry
    tokens: int


def queue_seconds(
    place: TargetRecord, slots: int, hold_seconds: float, now_seconds: float
) -> float:
    """Return the time until an engine would begin to read one more prompt.

    Args:
        place: What is known of the engine.
        slots: Requests that it works on at once.
        hold_seconds: How long a request stays in a batch.
        now_seconds: The present time.
    """
    requests = place.all_requests(now_seconds)
    wait_seconds = place.backlog.wait_seconds(now_seconds)
    wait_seconds += RUNNING_SECONDS * requests
    if requests >= slots:
        wait_seconds += (1 + requests - slots) * hold_seconds / slots
    return wait_seconds


def options_for(
    prompt: Prompt,
    usable: Sequence[tuple[HeartbeatEntry, TargetRecord]],
    engine: ServiceSettings,
    random: Random,
    permitted: frozenset[str] = frozenset(),
) -> list[EngineOption]:
    """Return what some engines would have to do for a prompt.

    Were all engines looked at, routers that are sent the same loads some tenths of a
    second late would all send to the same one.

    Args:
        prompt: What is known of it.
        usable: The engines that may have it.
        engine: The settings of their service.
        random: Draws some of them.
        permitted: Cold engines that it may be sent to, which are looked at in any case:
            a permit is for this router alone and soon worth nothing.
    """
    kept = [place.memory.kept_tokens(prompt.shared_parts) for _, place in usable]
    order = _home_order(prompt)
    ranked = sorted(
        zip(usable, kept, strict=True), key=lambda one: order(one[0]), reverse=True
    )
    looked_at = ranked[:HOME_ENGINES]
    others = sorted(ranked[HOME_ENGINES:], key=lambda one: one[1], reverse=True)
    keeping = [one for one in others[:KEEPING_ENGINES] if one[1]]
    looked_at += keeping
    others = others[len(keeping) :]
    looked_at += random.sample(others, min(RANDOM_ENGINES, len(others)))
    if permitted:
        looked_at += [
            one
            for one in others
            if one[0][0].row.target_id in permitted and one not in looked_at
        ]
    source, most_kept = max(ranked, key=lambda one: one[1])
    found = _Kept(ranked[0][0][0], source[0], most_kept)
    return [
        _option(prompt, one[0], one[1], found, engine.cache_copy_tokens_per_second)
        for one in looked_at
    ]


def option_cost(
    option: EngineOption,
    slots: int,
    hold_seconds: float,
    copy_tokens_per_second: float | None,
    objective_seconds: float,
    now_seconds: float,
) -> float:
    """Return what a prompt costs its caller and the others at an engine, in seconds."""
    backlog = option.place.backlog
    wait_seconds = queue_seconds(option.place, slots, hold_seconds, now_seconds)
    wait_seconds += backlog.read_seconds(option.unread_tokens)
    if option.copied_tokens and copy_tokens_per_second:
        wait_seconds += COPY_SETUP_SECONDS
        wait_seconds += option.copied_tokens / copy_tokens_per_second
    again_seconds = READ_AGAIN_FACTOR * backlog.read_seconds(
        option.again_tokens + option.copied_tokens
    )
    failed_seconds = FAILED_OBJECTIVES * objective_seconds * option.place.failed_part
    return _wait_cost(wait_seconds, objective_seconds) + again_seconds + failed_seconds


def _option(
    prompt: Prompt,
    engine: tuple[HeartbeatEntry, TargetRecord],
    kept_tokens: int,
    found: _Kept,
    copy_tokens_per_second: float | None,
) -> EngineOption:
    """Return what an engine that keeps some of a prompt would have to do for it."""
    known, place = engine
    shared_tokens = sum(part.tokens for part in prompt.shared_parts)
    own_tokens = max(prompt.prompt_tokens - shared_tokens, 0)
    missing_tokens = shared_tokens - kept_tokens
    elsewhere_tokens = max(found.tokens - kept_tokens, 0)
    if elsewhere_tokens and copy_tokens_per_second:
        unread_tokens = own_tokens + missing_tokens - elsewhere_tokens
        address = found.source.row.address
        return EngineOption(known, place, unread_tokens, 0, elsewhere_tokens, address)
    if not found.tokens and known is not found.home:
        elsewhere_tokens = round(MAYBE_READ_PART * missing_tokens)
    return EngineOption(known, place, own_tokens + missing_tokens, elsewhere_tokens)


def _home_order(
    prompt: Prompt,
) -> Callable[[tuple[HeartbeatEntry, TargetRecord]], int]:
    """Return the order of engines for a prompt's last shared part."""
    shared = prompt.shared_parts or prompt.parts
    part_id = shared[-1].part_id if shared else 0

    def order(option: tuple[HeartbeatEntry, TargetRecord]) -> int:
        return xxh32_intdigest(f"{part_id}/{option[0].row.target_id}".encode())

    return order


def _wait_cost(wait_seconds: float, objective_seconds: float) -> float:
    """Return what a wait costs; one that endangers the objective costs more."""
    safe_seconds = SAFE_PART * objective_seconds
    return wait_seconds + LATE_FACTOR * max(wait_seconds - safe_seconds, 0.0)
