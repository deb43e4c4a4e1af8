"""Selects the replicas that vote in the replicated log by the settings tree."""

from collections.abc import Iterable

from sesameford.effective import EffectiveTree


def desired_voters(
    tree: EffectiveTree, replica_ids: Iterable[str]
) -> frozenset[str] | None:
    """Return the instances that should vote.

    Args:
        tree: The settings in force.
        replica_ids: All instances with a disk.

    Returns:
        Their ids, or None for all. Also None if the tree would leave no voter: a log
        without voters could never accept the change that corrects the tree.
    """
    replicas = frozenset(replica_ids)
    declared = tree.instances
    non_voters = {
        replica_id
        for replica_id in replicas
        if replica_id in declared and not declared[replica_id].voter
    }
    if not non_voters or non_voters == replicas:
        return None
    return replicas - non_voters
