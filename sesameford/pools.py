"""Groups resources into pools: resources that share targets belong to one pool.

Resources also belong to one pool if they are connected over other resources. A
customer has one account for each pool, whichever models it requests. Two customers
that can both wait for the same target are always in one pool, so the service gap
between them is defined.
"""

from collections.abc import Iterable, Mapping

from sesameford.tables import Target


def find_pools(targets: Iterable[Target]) -> Mapping[str, str]:
    """Return the pool of each resource that some target serves.

    Args:
        targets: All targets that may receive requests.

    Returns:
        Pool names by resource; a pool has the name of its first resource.
    """
    parents: dict[str, str] = {}

    def find(resource: str) -> str:
        while parents[resource] != resource:
            resource = parents[resource]
        return resource

    for target in targets:
        for resource in target.serves:
            parents.setdefault(resource, resource)
        for resource in target.serves[1:]:
            first, second = sorted((find(target.serves[0]), find(resource)))
            parents[second] = first
    return {resource: find(resource) for resource in parents}
