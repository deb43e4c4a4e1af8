"""Estimates at which model engine a prompt costs its caller and all others least.

An engine reads prompts one after another, so a first event is delayed by the tokens
that wait to be read before it. Prompts share parts, and an engine that has a part
cached does not read it again. All routers order the engines identically for a shared
part, by a hash of both (rendezvous hashing), so that a part that no engine has cached
is read at few engines without coordination. The first engine of that order is the
part's home. Routers report to each other where a part is cached; another engine can
copy it from there.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from xxhash import xxh32_intdigest

from sesameford.discovery.heartbeat_table import HeartbeatEntry
from sesameford.effective import ServiceSettings
from sesameford.gateway.calls import Prompt
from sesameford.gateway.target_record import TargetRecord

# What each running request adds to the wait for a first event: each request in a batch
# makes its step about a hundredth longer.
WAIT_SECONDS_PER_RUNNING_REQUEST = 0.0002
# Reading a shared part again delays all later prompts at that engine and evicts other
# parts from its memory, as copying one does. So its reading time counts this many times
# in addition to the wait of the request itself.
REREAD_COST_FACTOR = 3.0
# A wait beyond this fraction of its objective counts more: the rest is a reserve for
# delays that the estimate does not include.
SAFE_OBJECTIVE_FRACTION = 0.5
LATE_WAIT_FACTOR = 3.0
# The cost of an engine that fails all its requests, in objectives, added to the wait.
# A failure is worse for its caller than that. But with a higher cost routers, whose
# information about each other is late, would all choose the few engines that do not
# fail, and make all answers there late.
FAILURE_COST_OBJECTIVES = 0.3
# The fixed delay of copying from another engine, however short the part.
COPY_SETUP_SECONDS = 0.002
# If no engine is known to have a part cached, another router may be sending it to its
# home at this time. Reading it elsewhere counts as if this fraction were read again.
POSSIBLE_REREAD_FRACTION = 0.25
# The numbers of engines considered for a prompt: the first in its home order, those
# that have most of it cached, and a random sample. Routers have late information about
# each other; if they considered all engines, all of them would choose the same one.
HOME_ENGINES = 1
CACHING_ENGINES = 2
RANDOM_ENGINES = 2
# The cost of an engine in another data centre, in seconds of wait: more than the way
# there and back, so that links between data centres carry only what another one can
# begin sooner.
REMOTE_COST_SECONDS = 0.02
# Engines of other data centres in the random sample.
RANDOM_REMOTE_ENGINES = 1
# While an engine reads a prompt, the answers that it generates hardly advance. Each of
# these counts as this part of a wait of the same time: most callers bear a pause that
# is shorter than their objective for it.
DELAYED_ANSWER_PART = 0.05


@dataclass(frozen=True, slots=True)
class ChoiceRules:
    """What counts in the choice of an engine besides the wait of its caller.

    Engines of ``near_data_centre`` are preferred, None if distance does not count.
    ``spares_answers`` says that the delay of answers in progress counts.
    """

    near_data_centre: str | None = None
    spares_answers: bool = False

    def is_near(self, entry: HeartbeatEntry) -> bool:
        """Return whether an engine is as near as any."""
        return self.near_data_centre in (None, entry.row.data_centre)


@dataclass(frozen=True, slots=True)
class EngineOption:
    """One engine as an option for one prompt.

    ``unread_tokens`` would be read there and ``copied_tokens`` copied from the address
    ``copy_from``; ``reread_tokens`` of those read are read at another engine too.
    """

    entry: HeartbeatEntry
    record: TargetRecord
    unread_tokens: int
    reread_tokens: int = 0
    copied_tokens: int = 0
    copy_from: str | None = None


class _Candidate(NamedTuple):
    """An engine that a prompt may be sent to; some tens are made for each prompt."""

    entry: HeartbeatEntry
    record: TargetRecord
    cached_tokens: int
    is_near: bool


@dataclass(frozen=True, slots=True)
class _PartHolders:
    """The home engine of a prompt, and the engine of a version with most of it cached.

    ``source`` has ``tokens`` of the prompt cached.
    """

    home: HeartbeatEntry
    source: HeartbeatEntry
    tokens: int


def queue_seconds(
    record: TargetRecord, slots: int, hold_seconds: float, now_seconds: float
) -> float:
    """Return the seconds until an engine would start to read one more prompt.

    Args:
        record: The record of the engine.
        slots: The number of requests that it processes at once.
        hold_seconds: How long a request occupies a batch slot.
        now_seconds: The present time.
    """
    requests = record.all_requests(now_seconds)
    wait_seconds = record.backlog.wait_seconds(now_seconds)
    wait_seconds += WAIT_SECONDS_PER_RUNNING_REQUEST * requests
    if requests >= slots:
        wait_seconds += (1 + requests - slots) * hold_seconds / slots / record.speed
    return wait_seconds


def options_for(
    prompt: Prompt,
    usable: Sequence[tuple[HeartbeatEntry, TargetRecord]],
    engine: ServiceSettings,
    random: Random,
    permitted: frozenset[str] = frozenset(),
    rules: ChoiceRules = ChoiceRules(),
) -> list[EngineOption]:
    """Return the options for a prompt, at a selection of the engines.

    If all engines were considered, routers that receive the same loads some tenths of
    a second late would all send to the same one.

    Args:
        prompt: The prompt.
        usable: The engines that it may be sent to.
        engine: The settings of their service.
        random: Selects the random sample.
        permitted: Cold engines that it may be sent to. They are always considered, as a
            permit is for this router alone and expires soon.
        rules: What counts besides the wait.
    """
    shared_parts = prompt.shared_parts
    candidates = [
        _Candidate(
            entry,
            record,
            record.memory.cached_tokens(shared_parts),
            rules.is_near(entry),
        )
        for entry, record in usable
    ]
    near = [candidate for candidate in candidates if candidate.is_near]
    homes = sorted(near or candidates, key=_make_home_order(prompt), reverse=True)
    considered = homes[:HOME_ENGINES]
    considered += _most_caching(candidates, _ids(considered))
    chosen_ids = _ids(considered)
    others = [
        candidate
        for candidate in candidates
        if candidate.entry.row.target_id not in chosen_ids
    ]
    near = [candidate for candidate in others if candidate.is_near]
    remote = [candidate for candidate in others if not candidate.is_near]
    considered += random.sample(near, min(RANDOM_ENGINES, len(near)))
    considered += random.sample(remote, min(RANDOM_REMOTE_ENGINES, len(remote)))
    if permitted:
        missing_ids = permitted - _ids(considered)
        considered += [
            candidate
            for candidate in others
            if candidate.entry.row.target_id in missing_ids
        ]
    holders = _holders_by_version(homes[0].entry, candidates)
    copy_tokens_per_second = engine.cache_copy_tokens_per_second
    return [
        _option(
            prompt,
            candidate,
            holders[candidate.entry.row.software_version],
            copy_tokens_per_second,
        )
        for candidate in considered
    ]


def _holders_by_version(
    home: HeartbeatEntry, candidates: Sequence[_Candidate]
) -> dict[str, _PartHolders]:
    """Return who has most of a prompt cached for engines of each software version.

    What another version wrote is of no use, and an unknown version may be another.
    """
    holders: dict[str, _PartHolders] = {}
    for candidate in candidates:
        version = candidate.entry.row.software_version
        tokens = candidate.cached_tokens if version else 0
        best = holders.get(version)
        if best is None or tokens > best.tokens:
            holders[version] = _PartHolders(home, candidate.entry, tokens)
    return holders


def _ids(candidates: Sequence[_Candidate]) -> frozenset[str]:
    return frozenset(candidate.entry.row.target_id for candidate in candidates)


def _most_caching(
    candidates: Sequence[_Candidate], without_ids: frozenset[str]
) -> list[_Candidate]:
    """Return the engines with most of a prompt cached, near ones first if equal."""
    caching = [
        candidate
        for candidate in candidates
        if candidate.cached_tokens and candidate.entry.row.target_id not in without_ids
    ]
    caching.sort(key=lambda one: (one.cached_tokens, one.is_near), reverse=True)
    return caching[:CACHING_ENGINES]


def option_cost(
    option: EngineOption,
    slots: int,
    hold_seconds: float,
    copy_tokens_per_second: float | None,
    objective_seconds: float,
    now_seconds: float,
    rules: ChoiceRules = ChoiceRules(),
) -> float:
    """Return the cost in seconds of a prompt at an engine, for caller and others."""
    backlog = option.record.backlog
    wait_seconds = queue_seconds(option.record, slots, hold_seconds, now_seconds)
    wait_seconds += backlog.read_seconds(option.unread_tokens)
    if option.copied_tokens and copy_tokens_per_second:
        wait_seconds += COPY_SETUP_SECONDS
        wait_seconds += option.copied_tokens / copy_tokens_per_second
    reread_seconds = REREAD_COST_FACTOR * backlog.read_seconds(
        option.reread_tokens + option.copied_tokens
    )
    failed_seconds = (
        FAILURE_COST_OBJECTIVES * objective_seconds * option.record.failed_part
    )
    others_seconds = 0.0
    if rules.spares_answers:
        answers = option.record.all_requests(now_seconds)
        others_seconds = (
            DELAYED_ANSWER_PART * answers * backlog.read_seconds(option.unread_tokens)
        )
    remote_seconds = 0.0 if rules.is_near(option.entry) else REMOTE_COST_SECONDS
    return (
        _wait_cost(wait_seconds, objective_seconds)
        + reread_seconds
        + failed_seconds
        + others_seconds
        + remote_seconds
    )


def _option(
    prompt: Prompt,
    candidate: _Candidate,
    holders: _PartHolders,
    copy_tokens_per_second: float | None,
) -> EngineOption:
    """Return the option of one engine that has some tokens of a prompt cached."""
    entry, record, cached_tokens, _ = candidate
    shared_tokens = sum(part.tokens for part in prompt.shared_parts)
    own_tokens = max(prompt.prompt_tokens - shared_tokens, 0)
    missing_tokens = shared_tokens - cached_tokens
    elsewhere_tokens = max(holders.tokens - cached_tokens, 0)
    if elsewhere_tokens and copy_tokens_per_second:
        unread_tokens = own_tokens + missing_tokens - elsewhere_tokens
        address = holders.source.row.address
        return EngineOption(entry, record, unread_tokens, 0, elsewhere_tokens, address)
    if not holders.tokens and entry is not holders.home:
        elsewhere_tokens = round(POSSIBLE_REREAD_FRACTION * missing_tokens)
    return EngineOption(entry, record, own_tokens + missing_tokens, elsewhere_tokens)


def _make_home_order(prompt: Prompt) -> Callable[[_Candidate], int]:
    """Return the sort key of engines for a prompt's last shared part."""
    shared = prompt.shared_parts or prompt.parts
    part_id = shared[-1].part_id if shared else 0

    def order(candidate: _Candidate) -> int:
        text = f"{part_id}/{candidate.entry.row.target_id}"
        return xxh32_intdigest(text.encode())

    return order


def _wait_cost(wait_seconds: float, objective_seconds: float) -> float:
    """Return the cost of a wait; the part that endangers the objective costs more."""
    safe_seconds = SAFE_OBJECTIVE_FRACTION * objective_seconds
    return wait_seconds + LATE_WAIT_FACTOR * max(wait_seconds - safe_seconds, 0.0)
