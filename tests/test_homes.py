"""Calls that may run only in certain home regions, in a fleet of two regions."""

from random import Random

import pytest

from sesameford.discovery.heartbeat_table import make_heartbeat_table
from sesameford.effective import ServiceSettings
from sesameford.gateway.calls import Prompt, PromptPart
from sesameford.gateway.candidates import NoTargetReason
from sesameford.gateway.placement import make_placement
from sesameford.messages import HeartbeatRow
from sesameford.operators_http import digest_of_key
from sesameford.tables import TargetState
from sesameford.tree import effective_tree, parse_tree
from tests.gateway_fixture import KEY, open_desk

ENGINE = ServiceSettings("pool", batch_slots=4, cache_copy_tokens_per_second=4e5)
REGIONS = {"a": "west", "b": "west", "c": "east"}
WEST = frozenset({"west"})
EAST = frozenset({"east"})
TREE = f"""
customers:
  children:
    club: {{key_digests: [{digest_of_key(KEY)}], home_regions: [west]}}
services: {{children: {{pool: {{}}}}}}
routes:
  host: desk.example
  backends: [{{service: pool, weight: 1}}]
  children:
    both: {{path_prefix: /both/, home_regions: [west, east]}}
    other: {{path_prefix: /other/, home_regions: [east]}}
"""


def make_fleet_placement():
    """Return a placement over two engines in each of three data centres."""
    table = make_heartbeat_table()
    for data_centre in REGIONS:
        for number in range(2):
            name = f"{data_centre}{number}"
            ready = TargetState.READY
            table.handle_heartbeat(
                HeartbeatRow(name, 1, "pool", f"{name}:1", data_centre, 4, ready), 0.0
            )
    return make_placement(table, "a", 1000.0, Random(1), REGIONS)


def choose(placement, homes, now=1.0, tried=frozenset()):
    prompt = Prompt("m", 6_000, 50, (PromptPart(7, 5_000), PromptPart(99, 1_000)))
    return placement.choose("pool", prompt, ENGINE, 0.3, tried, now, homes)


def test_a_call_stays_in_its_home_regions_however_full_its_engines_are():
    placement = make_fleet_placement()
    for _ in range(40):
        assert choose(placement, EAST).target_id[0] == "c"
        assert choose(placement, WEST).target_id[0] in "ab"


def test_a_retried_call_stays_in_its_home_regions():
    placement = make_fleet_placement()
    assert choose(placement, EAST, tried=frozenset({"c0"})).target_id == "c1"
    assert choose(placement, EAST, tried=frozenset({"c0", "c1"})) is None


def test_nothing_is_copied_from_an_engine_of_another_region():
    """The prompt's parts are cached only in the other region."""
    placement = make_fleet_placement()
    choose(placement, EAST)
    assert choose(placement, WEST, now=2.0).copy_from is None


def test_a_data_centre_of_an_unknown_region_is_in_no_home_region():
    placement = make_fleet_placement()
    unknown_homes = frozenset({"north"})
    assert choose(placement, unknown_homes) is None
    reason = placement.candidates.no_target_reason(
        "pool", frozenset(), 1.0, unknown_homes
    )
    assert reason is NoTargetReason.NOT_AT_HOME


@pytest.mark.parametrize(
    ("path", "status"), [("/both/x", 503), ("/other/x", 403), ("/none/x", 404)]
)
async def test_calls_without_a_common_home_or_a_target_there_are_refused(path, status):
    """The desk's server is in a data centre whose region is unknown."""
    tree = effective_tree(parse_tree(TREE, "t"), 1)
    async with open_desk("", tree=tree) as desk:
        assert (await desk.ask(path))[0] == status
        assert desk.runs == 0
