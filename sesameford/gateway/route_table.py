"""Routing of requests by host and longest path prefix."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from sesameford.effective import EffectiveTree, HttpRouteSettings


@dataclass(frozen=True, slots=True)
class RouteTable:
    """The routes in force, by host and path prefix."""

    by_host: Mapping[str, Mapping[str, HttpRouteSettings]] = field(default_factory=dict)

    def find(self, host: str, path: str) -> HttpRouteSettings | None:
        """Return the route of a request, None if no route matches.

        Args:
            host: The host without a port.
            path: The path without the query.
        """
        prefixes = self.by_host.get(host)
        if prefixes is None:
            return None
        # Prefixes end with a slash, so only the path up to each slash can be one.
        end = len(path)
        while end > 0:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None


def make_route_table(tree: EffectiveTree) -> RouteTable:
    """Return the route table of a tree."""
    by_host: dict[str, dict[str, HttpRouteSettings]] = {}
    for route in tree.routes.values():
        by_host.setdefault(route.host, {})[route.path_prefix] = route
    return RouteTable(by_host)


def choose_service(route: HttpRouteSettings, draw: float) -> str:
    """Choose the service for one request by the weights of its route.

    Args:
        route: The route.
        draw: A random number, at least 0 and below 1.
    """
    total = sum(backend.weight for backend in route.backends)
    left = draw * total
    for backend in route.backends:
        left -= backend.weight
        if left < 0:
            return backend.service
    return route.backends[-1].service
