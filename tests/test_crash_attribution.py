"""Which request a crash is attributed to: innocent ones are not quarantined."""

import asyncio

from aiohttp import web

from sesameford.suspects import Suspects, SuspectTreatment
from tests.faults_fixture import GOOD_KEY, open_world

TARGETS = 3
POISON, INNOCENT = b"customerpoison", b"customerinnocent"


def make_suspects_on_trial_together():
    """Two targets crash, and a suspect of each is then on trial at a third one."""
    suspects = Suspects(300.0)
    suspects.record_crash("t/1", [POISON, b"customerone"], 0.0, trials=[])
    suspects.record_crash("t/2", [INNOCENT, b"customertwo"], 0.0, trials=[])
    both = [POISON, INNOCENT]
    suspects.record_crash("t/3", [*both, b"customerthree"], 1.0, trials=both)
    return suspects


def test_suspects_of_different_crashes_on_trial_together_run_once_more():
    """Routers try a suspect each at the same target, and one of them crashes it.

    Both were refused for minutes, though one of them had crashed nothing.
    """
    suspects = make_suspects_on_trial_together()
    for digest in (POISON, INNOCENT):
        assert suspects.treatment(digest, 1.0) is SuspectTreatment.SUSPECT
    suspects.record_completion(INNOCENT, 2.0)
    assert suspects.treatment(INNOCENT, 2.0) is SuspectTreatment.CLEAR
    assert suspects.treatment(POISON, 2.0) is SuspectTreatment.QUARANTINED


def test_a_suspect_that_was_on_trial_with_another_is_refused_after_a_third_crash():
    suspects = make_suspects_on_trial_together()
    suspects.record_crash("t/4", [POISON, b"customerfour"], 2.0, trials=[POISON])
    assert suspects.treatment(POISON, 2.0) is SuspectTreatment.QUARANTINED
    assert suspects.treatment(INNOCENT, 2.0) is SuspectTreatment.SUSPECT


def test_a_suspect_alone_on_trial_is_refused_beside_first_suspects():
    suspects = Suspects(300.0)
    suspects.record_crash("t/1", [POISON, INNOCENT], 0.0, trials=[])
    suspects.record_crash("t/2", [POISON, b"customertwo"], 1.0, trials=[POISON])
    assert suspects.treatment(POISON, 1.0) is SuspectTreatment.QUARANTINED
    assert suspects.treatment(INNOCENT, 1.0) is SuspectTreatment.SUSPECT


def test_only_quarantines_that_last_are_reported():
    """The updates on two requests that were on trial together arrive one by one.

    Operators saw a quarantine of each, and one of them was no reason to look further.
    """
    router = make_suspects_on_trial_together()
    instance = Suspects(300.0)
    for update in router.make_due_updates(1.0):
        instance.merge_update(update, 1.0)
    assert not instance.pop_newly_quarantined()
    instance.record_completion(INNOCENT, 2.0)
    (row,) = instance.pop_newly_quarantined()
    assert row.request_digest == POISON
    assert instance.quarantine_left_seconds(POISON, 2.0) == 300.0


async def test_a_popular_request_is_served_after_a_rack_failed():
    """Copies of one request run on all targets of a rack when it loses power.

    Each copy counted as a trial, so the request was refused for minutes.
    """
    async with open_world() as world:
        router = world.routers[0]
        running, rack_failed = [], asyncio.Event()

        async def run(http):
            running.append(http.url.port)
            await rack_failed.wait()
            return web.Response(text="done")

        def send():
            return router.client.get(
                "/services/roster/x?mark=popular", headers=GOOD_KEY
            )

        for number in range(TARGETS):
            await world.add_handler(f"s{number}", run)
        copies = [asyncio.create_task(send()) for _ in range(TARGETS)]
        async with asyncio.timeout(5):
            while len(set(running)) < TARGETS:
                await asyncio.sleep(0.01)
        rack = list(world.targets)
        await world.add_handler("elsewhere", run)
        rack_failed.set()
        for target in rack:
            await target.proxy.crash()
        for copy in copies:
            answer = await copy
            assert answer.headers["Sesameford-Outcome"] == "ran"
        assert (await send()).headers["Sesameford-Outcome"] == "ran"
