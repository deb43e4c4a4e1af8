"""The limits on the connections of a listener, by a process's file descriptors."""

from dataclasses import dataclass
from resource import RLIM_INFINITY, RLIMIT_NOFILE, getrlimit


@dataclass(frozen=True, slots=True)
class GuardLimits:
    """The connection limits of a listener.

    ``per_address`` bounds the connections from one IP address; a balancer with all
    callers behind its one address needs as many as the whole listener.
    ``head_timeout_seconds`` bounds the time from the first byte of a head to its end,
    ``first_byte_timeout_seconds`` that before it on a new connection.
    ``evicts_answers`` lets a new connection take the place of one whose answer is being
    made, where that changes nothing.
    """

    connections: int = 20_000
    per_address: int = 20_000
    head_timeout_seconds: float = 10.0
    first_byte_timeout_seconds: float = 60.0
    evicts_answers: bool = False


# The platform reserves these of a process's descriptors for files.
RESERVED_DESCRIPTORS = 200
# The other descriptors are for targets, links and probes.
CALLER_DESCRIPTOR_FRACTION = 0.735
# A process with fewer descriptors than are reserved still serves somebody.
MIN_CONNECTIONS = 16
# A balancer's probes, and whoever reads the metrics, need a connection each.
MAX_PROBE_CONNECTIONS = 64


def limits_of_descriptors(max_descriptors: int | None, ports: int) -> GuardLimits:
    """Return the limits of a port whose callers leave room for all other sockets.

    Args:
        max_descriptors: The files and sockets of the process, None for what the system
            allows.
        ports: How many ports with such callers it has.
    """
    if max_descriptors is None:
        max_descriptors = getrlimit(RLIMIT_NOFILE)[0]
    if max_descriptors == RLIM_INFINITY:
        return GuardLimits()
    spare_descriptors = max_descriptors - RESERVED_DESCRIPTORS
    connections = int(CALLER_DESCRIPTOR_FRACTION * spare_descriptors) // ports
    connections = min(max(connections, MIN_CONNECTIONS), GuardLimits().connections)
    return GuardLimits(connections, connections)


def probe_limits() -> GuardLimits:
    """Return the limits of a port for probes."""
    return GuardLimits(
        MAX_PROBE_CONNECTIONS, MAX_PROBE_CONNECTIONS, evicts_answers=True
    )
