"""Routing by host and path prefix, and the rejection of invalid routes."""

from collections import Counter

import pytest

from sesameford.effective import BackendSettings, HttpRouteSettings
from sesameford.errors import TreeError
from sesameford.gateway.route_table import choose_service, make_route_table
from sesameford.tree import effective_tree, parse_tree

SERVICES = "services: {children: {x: {}, y: {}}}"


def routes(text):
    return effective_tree(parse_tree(f"{SERVICES}\nroutes: {text}", "t"), 1)


def table():
    return make_route_table(
        routes(
            """
  host: h
  backends: [{service: x, weight: 1}]
  children:
    all: {path_prefix: /}
    a: {path_prefix: /a/}
    ab: {path_prefix: /a/b/, backends: [{service: y, weight: 1}]}
    other: {host: i, path_prefix: /a/}
"""
        )
    )


@pytest.mark.parametrize(
    ("host", "path", "route_id"),
    [
        ("h", "/", "all"),
        ("h", "/a", "all"),
        ("h", "/a/", "a"),
        ("h", "/a/b", "a"),
        ("h", "/a/b/", "ab"),
        ("h", "/a/b/c/d", "ab"),
        ("h", "/a/bc/", "a"),
        ("i", "/a/x", "other"),
        ("i", "/", None),
        ("j", "/a/", None),
    ],
)
def test_the_longest_prefix_of_the_host_wins(host, path, route_id):
    found = table().find(host, path)
    assert (found.route_id if found else None) == route_id


def test_routes_inherit_and_override_settings():
    tree = routes(
        """
  backends: [{service: x, weight: 1}]
  timeout_seconds: 7
  children:
    slow: {path_prefix: /s/, timeout_seconds: 9}
    group:
      attempts: 3
      children: {one: {path_prefix: /o/}}
"""
    )
    assert tree.routes["slow"].timeout_seconds == 9.0
    assert tree.routes["group/one"].timeout_seconds == 7.0
    assert tree.routes["group/one"].attempts == 3


def test_traffic_is_split_by_weight():
    backends = (BackendSettings("x", 90), BackendSettings("y", 10))
    route = HttpRouteSettings("r", backends=backends)
    drawn = Counter(choose_service(route, number / 1000) for number in range(1000))
    assert drawn == {"x": 900, "y": 100}


def test_a_service_of_weight_zero_gets_no_requests():
    backends = (BackendSettings("x", 0), BackendSettings("y", 1))
    route = HttpRouteSettings("r", backends=backends)
    assert {choose_service(route, n / 100) for n in range(100)} == {"y"}


@pytest.mark.parametrize(
    "text",
    [
        "{children: {a: {backends: [{service: z, weight: 1}]}}}",
        "{children: {a: {backends: [{service: x, weight: 0}]}}}",
        "{children: {a: {backends: []}}}",
        "{backends: [{service: x, weight: 1}], children: {a: {}, b: {}}}",
        "{children: {a: {timeout_seconds: 0, backends: [{service: x, weight: 1}]}}}",
        "{children: {a: {path_prefix: a, backends: [{service: x, weight: 1}]}}}",
        "{children: {a: {backends: [{service: x}]}}}",
    ],
)
def test_routes_that_conflict_or_have_no_service_are_rejected(text):
    """An operator declares a route that could serve no request.

    In force, it would make the router refuse all calls of the route.
    """
    with pytest.raises(TreeError):
        parse_tree(f"{SERVICES}\nroutes: {text}", "t")
