"""Which route a request takes: by its host, and the longest prefix of its path."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from sesameford.effective import EffectiveTree, HttpRouteSettings


@dataclass(frozen=True, slots=True)
class RouteTable:
    """All routes in force, by host and prefix."""

    by_host: Mapping[str, Mapping[str, HttpRouteSettings]] = field(default_factory=dict)

    def find(self, host: str, path: str) -> HttpRouteSettings | None:
        """Return the route of a request, or None.

        Args:
            host: The host that the request names, without a port.
            path: Its path, without the query.
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
    """Return the routes of a tree."""
    by_host: dict[str, dict[str, HttpRouteSettings]] = {}
    for route in tree.routes.values():
        by_host.setdefault(route.host, {})[route.path_prefix] = route
    return RouteTable(by_host)


def choose_service(route: HttpRouteSettings, draw: float) -> str:
    """Return the service for one request, by the weights of the route.

    Args:
        route: The route.
        draw: A random number from 0 to below 1.
    """
    total = sum(backend.weight for backend in route.backends)
    left = draw * total
    for backend in route.backends:
        left -= backend.weight
        if left < 0:
            return backend.service
    return route.backends[-1].service
