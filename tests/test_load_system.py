"""Loads and shares at one instance, without a network."""

import logging
from random import Random

from sesameford.discovery.heartbeat_table import make_heartbeat_table
from sesameford.gateway.call_context import make_gateway_state
from sesameford.gateway.calls import Prompt, PromptPart
from sesameford.gateway.fleet_sums import LiveInstances
from sesameford.gateway.load_report import AT_LEAST_SECONDS, REPORT_SECONDS
from sesameford.gateway.load_system import make_load_system
from sesameford.gateway.placement import make_placement
from sesameford.load_messages import CustomerRates, FleetLoad, RouterLoad, ShareRow
from sesameford.messages import HeartbeatRow
from sesameford.tables import TargetState
from sesameford.tree import effective_tree, parse_tree

TREE = """
fleet: {tokens_per_second: 100000}
services: {children: {pool: {batch_slots: 4}}}
routes:
  host: h.example
  objective_seconds: 0.25
  backends: [{service: pool, weight: 1}]
  children:
    stream: {path_prefix: /s/, is_stream: true}
"""
TICK_SECONDS = 0.05


class Router:
    """A router before one engine; ``replicas`` are those that it hears."""

    def __init__(self):
        self.replicas = []
        self.sent = []
        self.state = make_gateway_state(effective_tree(parse_tree(TREE, "t"), 1))
        table = make_heartbeat_table()
        row = HeartbeatRow("e0", 1, "pool", "e0:1", "a", 4, TargetState.READY)
        table.handle_heartbeat(row, 0.0)
        self.placement = make_placement(table, "a", 1e6, Random(1))
        self.load = make_load_system(
            False,
            self.placement,
            lambda: self.state,
            LiveInstances(
                lambda now_seconds, within_seconds: self.replicas,
                lambda now_seconds, within_seconds: (),
                lambda now_seconds, within_seconds: 0,
            ),
            self.sent.append,
            Random(1),
        )

    def flood(self, seconds, begin_seconds=0.0):
        """Let one customer ask for ten times what all engines can do."""
        engine = self.state.tree.services["pool"]
        for step in range(int(seconds / TICK_SECONDS)):
            now_seconds = begin_seconds + step * TICK_SECONDS
            for number in range(5):
                parts = (PromptPart(step * 5 + number, 10_000),)
                prompt = Prompt("m", 10_000, 0, parts)
                if self.load.gate.admits("flood", "stream", prompt.cost_tokens):
                    self.placement.choose(
                        "pool", prompt, engine, 0.25, frozenset(), now_seconds
                    )
            self.load.tick(now_seconds)
        return begin_seconds + seconds


def test_a_router_that_is_cut_off_limits_who_asks_too_much():
    """A router hears no replica while one customer floods it.

    It is sent no shares. Were it to let everything in, all others would wait behind
    the flood, at this router and at all that share its engines.
    """
    router = Router()
    router.flood(3.0)
    assert router.load.gate.fractions["flood"] < 0.5
    assert router.sent == []


def test_what_a_replica_sends_goes_before_what_is_asked_here():
    """The cut is over; the replica knows what all routers are asked."""
    router = Router()
    now_seconds = router.flood(3.0)
    router.replicas = ["replica-2", "replica-1"]
    shares = (ShareRow("other", 0.25),)
    router.load.heard("replica-1", FleetLoad((), 3, shares), now_seconds)
    router.load.tick(now_seconds + AT_LEAST_SECONDS)
    assert router.load.gate.fractions == {"other": 0.25}
    (reported,) = router.sent
    assert reported.receiver_id == "replica-1"
    assert isinstance(reported.message, RouterLoad)
    assert reported.message.target_loads[0].unread_tokens > 0


def test_a_router_of_a_large_fleet_is_not_heard_more_often_than_the_replica_can_read():
    """Three hundred and sixty routers have nothing new to tell.

    If each reported five times a second, the replica that adds up would get 1,800
    messages a second, where it can take some five hundred beside its other work.
    """
    router = Router()
    router.replicas = ["replica-1"]
    now_seconds = 0.0
    while now_seconds < 4.0:
        router.load.heard(
            "replica-1", FleetLoad((), 360, direct_routers=360), now_seconds
        )
        router.load.tick(now_seconds)
        now_seconds += REPORT_SECONDS
    assert 360 * len(router.sent) / 4.0 < 550


def test_a_router_logs_by_what_each_customer_was_served(caplog):
    """A customer complains that it got less than its rival.

    Its refusals alone can't show it: at a flooded router most of them are not written,
    and what the rival got by room at engines looks like any other answer.
    """
    caplog.set_level(logging.INFO)
    router = Router()
    router.replicas = ["replica-1"]
    gate = router.load.gate
    router.load.tick(1.0)
    shares = (ShareRow("by-share", 0.5), ShareRow("by-room", 0.5))
    router.load.heard("replica-1", FleetLoad((), 3, shares), 1.0)
    for _ in range(10):
        gate.admits("by-share", "stream", 1_000)
        gate.admits("by-room", "stream", 300, lambda: True)
        gate.admits("open", "stream", 2_000)
    gate.record_start("by-share", 4_000)
    router.load.log_shares(1.5)
    (line,) = [one for one in caplog.records if one.message == "shares served"]
    assert line.replica == "replica-1"
    assert line.age_seconds == 0.5
    assert line.customers == (
        "open:1.00:10:20.0:20.0:0.0:0.0:0.0 "
        "by-share:0.50:10:10.0:0.0:5.0:0.0:4.0 "
        "by-room:0.50:10:3.0:0.0:1.5:1.5:0.0"
    )
    assert gate.account.totals["refused"] == 5_000


def test_sums_of_a_few_routers_don_t_replace_those_of_all():
    """A replica has just begun to add up and has heard three routers of seventy.

    By its sums nobody asks too much; taken for those of the fleet, they would let the
    whole flood in.
    """
    router = Router()
    router.replicas = ["replica-1"]
    whole = FleetLoad((), 70, (ShareRow("flood", 0.1),))
    router.load.heard("replica-1", whole, 1.0)
    router.load.heard("replica-1", FleetLoad((), 3, (), is_whole=False), 1.1)
    assert router.load.gate.fractions == {"flood": 0.1}
    assert router.load.report.routers == 70


def test_old_sums_of_all_routers_give_way_to_new_ones_of_a_few():
    """All replicas are killed and start again in a flood that has just begun.

    None knows all routers yet. Shares from before the flood would let it in for as
    long as that lasts.
    """
    router = Router()
    router.load.heard("replica-1", FleetLoad((), 70, ()), 1.0)
    part = FleetLoad((), 3, (ShareRow("flood", 0.1),), is_whole=False)
    router.load.heard("replica-1", part, 2.5)
    assert router.load.gate.fractions == {}
    router.load.heard("replica-1", part, 2.7)
    assert router.load.gate.fractions == {"flood": 0.1}


def test_a_router_that_knows_nothing_takes_the_sums_of_a_few():
    """All machines have lost power; whoever comes first is better than nothing."""
    router = Router()
    part = FleetLoad((), 3, (ShareRow("flood", 0.1),), is_whole=False)
    router.load.heard("replica-1", part, 1.0)
    assert router.load.gate.fractions == {"flood": 0.1}


def test_a_replica_that_gets_no_reports_from_here_decides_nothing_here():
    """A router has passed a slow replica over; that one still sends it sums.

    By turns with those of the other replica they would drop the shares of the one and
    then of the other.
    """
    router = Router()
    router.replicas = ["replica-1", "replica-2"]
    router.load.tick(1.0)
    router.load.heard("replica-1", FleetLoad((), 3, (ShareRow("a", 0.1),)), 1.01)
    router.load.heard("replica-2", FleetLoad((), 3, ()), 1.02)
    assert router.load.gate.fractions == {"a": 0.1}


class Replica:
    """A replica that adds up; it knows of the routers that it has heard."""

    def __init__(self):
        self.sent = []
        self.heard = set()
        state = make_gateway_state(effective_tree(parse_tree(TREE, "t"), 1))
        self.load = make_load_system(
            True,
            make_placement(make_heartbeat_table(), "a", 1e6, Random(1)),
            lambda: state,
            LiveInstances(
                lambda now_seconds, within_seconds: (),
                lambda now_seconds, within_seconds: (),
                lambda now_seconds, within_seconds: len(self.heard),
            ),
            self.sent.append,
            Random(1),
        )

    def reported_by(self, routers, now_seconds):
        """Let routers report, and return whether it answers with whole sums."""
        for number in routers:
            self.heard.add(number)
            customers = (CustomerRates("flood", 40_000),)
            load = RouterLoad((), customers)
            self.load.received(f"r{number}", load, now_seconds)
        self.sent.clear()
        self.load.tick(now_seconds)
        return all(one.message.is_whole for one in self.sent)

    def add_up(self, from_seconds, to_seconds):
        """Add up all of seventy routers for a while; return whether all is told."""
        whole = False
        for step in range(round((to_seconds - from_seconds) / 0.2)):
            whole = self.reported_by(range(70), from_seconds + 0.2 * step)
        return whole


def test_a_replica_that_has_woken_does_not_take_the_first_routers_for_all():
    """The replica with the lowest id stood still for seconds and wakes in a flood.

    Its links come back one after the other, so it has heard of no more routers than
    those that report to it. By sums of the first few nobody is limited; taken for
    those of all, they let 3,200 thousand tokens in within a second, and prompts waited
    for three seconds.
    """
    replica = Replica()
    assert replica.add_up(1.0, 4.0)
    replica.heard.clear()
    assert not replica.reported_by(range(1), 11.0)
    assert not replica.reported_by(range(20), 11.2)
    assert not replica.reported_by(range(50), 11.4)
    assert replica.add_up(11.6, 13.2)


def test_a_replica_that_has_started_does_not_take_the_first_routers_for_all():
    replica = Replica()
    assert not replica.reported_by(range(3), 1.0)
    assert not replica.reported_by(range(30), 1.2)
    assert replica.add_up(1.4, 3.0)
