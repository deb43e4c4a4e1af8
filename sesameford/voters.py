"""Which replicas operators want to vote in the replicated log."""

from collections.abc import Iterable

from sesameford.effective import EffectiveTree


def desired_voters(
    tree: EffectiveTree, replica_ids: Iterable[str]
) -> frozenset[str] | None:
    """Return the instances that are to vote.

    Args:
        tree: The settings in force.
        replica_ids: All instances with a disk.

    Returns:
        Their ids, or None for all. All too where the tree would leave no voter:
        a log without voters could never accept the change that mends the tree.
    """
    replicas = frozenset(replica_ids)
    declared = tree.instances
    unwanted = {one for one in replicas if one in declared and not declared[one].voter}
    if not unwanted or unwanted == replicas:
        return None
    return replicas - unwanted
