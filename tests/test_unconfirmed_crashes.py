"""How many targets a request may have crashed until their probes end."""

import asyncio

from sesameford.unconfirmed_crashes import UnconfirmedCrashes

POISON, OTHER = b"poison", b"other"


async def test_exchanges_that_broke_at_one_target_are_one_crash():
    """Copies of a popular request break with one target, and each starts a probe.

    Counted as a crash each, they held the next copy back.
    """
    crashes = UnconfirmedCrashes()
    ended = asyncio.Event()
    probes = [asyncio.create_task(ended.wait()) for _ in range(3)]
    for probe, target_id in zip(probes, ["t1", "t1", "t2"], strict=True):
        crashes.add(POISON, target_id, probe)
    assert (crashes.count(POISON), crashes.count(OTHER)) == (2, 0)
    assert crashes.probes(POISON) == set(probes)
    ended.set()
    await asyncio.gather(*probes)
    await asyncio.sleep(0)
    assert crashes.count(POISON) == 0


async def test_a_completion_ends_the_unconfirmed_crashes_of_its_request_alone():
    crashes = UnconfirmedCrashes()
    ended = asyncio.Event()
    probes = [asyncio.create_task(ended.wait()) for _ in range(2)]
    crashes.add(POISON, "t1", probes[0])
    crashes.add(OTHER, "t1", probes[1])
    crashes.clear(OTHER)
    assert (crashes.count(POISON), crashes.count(OTHER)) == (1, 0)
    ended.set()
    await asyncio.gather(*probes)
