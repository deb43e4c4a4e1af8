"""Deployments beside each other have networks of their own."""

import pytest

from standins.loopback_net import LAST_NET, reserve_net


@pytest.mark.parametrize("preferred", [247, LAST_NET])
def test_two_deployments_never_share_a_network(preferred):
    """Guards against tests whose calls reach the programs of another one."""
    first = reserve_net(preferred)
    second = reserve_net(preferred)
    assert first.number != second.number
    first.give_back()
    third = reserve_net(first.number)
    assert third.number == first.number
    second.give_back()
    third.give_back()
