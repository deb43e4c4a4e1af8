"""A short seeded run of the soak with the real programs, and its own checks."""

import asyncio
from contextlib import asynccontextmanager
from pathlib import Path
from signal import Signals

import pytest
from aiohttp import ClientSession

from standins.platform_fleet import make_platform_fleet
from tools.platform_soak import play
from tools.platform_soak_verdict import Records, Sent, Span, findings

SEEDS = (3,)
# Each seed that ever failed, its seconds and its cause; played by `make platform-soak`
# with SEEDS, because each takes half a minute.
# 5 and 8, 15 s: SIGHUP ended a router that was still loading its modules, and 8 again,
# one that had stopped as planned and was about to exit; the tests of signals in the
# first and the last moment below are the short forms.
SECONDS = 5.0


async def until_signal_is(treatment, number, program):
    """Wait until a process ignores (SigIgn) or handles (SigCgt) a signal."""
    file = Path(f"/proc/{program.process.pid}/status")
    async with asyncio.timeout(20.0):
        while True:
            lines = file.read_text().split("\n")
            mask = next(line for line in lines if line.startswith(treatment))
            if int(mask.split()[1], 16) >> (number - 1) & 1:
                return
            await asyncio.sleep(0.005)


@asynccontextmanager
async def started_router(folder, net):
    """Start a router process that has no peers, and end it afterwards."""
    async with ClientSession() as session:
        fleet = make_platform_fleet(folder, net, session)
        router = fleet.add("router", 1)
        try:
            await fleet.start(router)
            yield fleet, router
        finally:
            await fleet.close()


def test_a_signal_in_the_first_moment_does_not_end_a_process(tmp_path):
    """The settings change while a process still loads its modules.

    The signal that tells of it would end the process; callers would find nobody at
    that address until it is started again.
    """

    async def start_and_signal():
        async with started_router(tmp_path, 241) as (fleet, router):
            await until_signal_is("SigIgn", Signals.SIGHUP, router)
            router.signal(Signals.SIGHUP)
            await until_signal_is("SigCgt", Signals.SIGTERM, router)
            return await fleet.stop(router), fleet.unplanned_exits

    assert asyncio.run(start_and_signal()) == (0, [])


def test_signals_in_the_last_moment_don_t_spoil_a_planned_stop(tmp_path):
    """The settings change again and again while a process stops as planned.

    Ended by the signal, it would look like one that failed, and an operator would
    look for a fault that is none.
    """

    async def stop_under_signals():
        async with started_router(tmp_path, 242) as (fleet, router):
            await until_signal_is("SigCgt", Signals.SIGHUP, router)
            stop = asyncio.create_task(fleet.stop(router))
            while not stop.done():
                router.signal(Signals.SIGHUP)
                await asyncio.sleep(0.001)
            return stop.result()

    assert asyncio.run(stop_under_signals()) == 0


@pytest.mark.parametrize("seed", SEEDS)
def test_no_promise_is_broken_under_the_faults_of_a_seed(seed):
    """Processes, servers and connections fail one over the other, as drawn by a seed.

    Callers would see doubled, crossed or cut answers, or a refusal of work that ran.
    """
    assert asyncio.run(play(seed, SECONDS, 240)) == []


class Fleet:
    unplanned_exits: tuple[str, ...] = ()


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
    under = Sent("1", "new", "r", 0.0, status=404, settled_version=8)
    assert "under version 8" in found(under)[0]
    removed = Sent("1", "new", "r", 0.0, settled_version=9, **answered)
    assert "under version 9" in found(removed, runs=1)[0]


@pytest.mark.parametrize(
    ("at_seconds", "is_found"), [(11.0, False), (13.0, True), (21.0, False)]
)
def test_the_check_sees_work_in_an_evacuated_data_centre(at_seconds, is_found):
    """The order was acknowledged at 10 s and its opposite sent at 20 s."""
    server = Beating({})
    server.data_centre = "b"
    server.server.arrivals_seconds = [at_seconds]
    records = Records(servers=[server], evacuations=[Span("b", 10.0, 20.0)])
    assert bool(findings(records, Fleet())) is is_found
    records.faults.append(Span("core", 9.0, 12.0))
    assert findings(records, Fleet()) == []


def test_a_version_is_settled_once_no_change_can_be_in_force_beside_it():
    records = Records()
    assert records.settled_version(0.0) is None
    records.acknowledged(4, 10.0)
    assert records.settled_version(11.0) is None
    assert records.settled_version(14.0) == 4
    records.changes_under_way = 1
    assert records.settled_version(14.0) is None
    records.changes_under_way = 0
    records.is_unsure = True
    assert records.settled_version(14.0) is None
    records.acknowledged(6, 15.0)
    assert records.settled_version(19.0) == 6
