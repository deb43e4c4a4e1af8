"""Processes of a fleet, their keys and their ports."""

import asyncio
import os
import secrets
import socket
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from hashlib import sha256
from itertools import count
from pathlib import Path

from tools.shapes import HOST

# Linux chooses the ports of outgoing connections from 32,768 on.
_LOWEST_PORT, _PORT_COUNT = 10_000, 22_000
_PORTS_PER_PROCESS = 200
_port_offsets = count(os.getpid() * _PORTS_PER_PROCESS)


@dataclass(slots=True)
class Member:
    """A process of the fleet, its addresses and its log file."""

    member_id: str
    kind: str
    data_centre: str
    command: tuple[str, ...]
    log_file: Path
    url: str
    operators_url: str = ""
    process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """Return the process id of the running process."""
        assert self.process is not None
        return self.process.pid

    @property
    def alive(self) -> bool:
        """Return whether the process was started and has not ended."""
        return self.process is not None and self.process.returncode is None


@dataclass(frozen=True, slots=True)
class Keys:
    """Random keys for one run."""

    operator: str = field(default_factory=lambda: secrets.token_hex(16))
    platform: str = field(default_factory=lambda: secrets.token_hex(16))
    shared: str = field(default_factory=lambda: secrets.token_hex(32))


def digest_of(key: str) -> str:
    """Return the SHA-256 digest of a key, in hex, as settings and trees list it."""
    return sha256(key.encode()).hexdigest()


def free_ports(port_count: int) -> Sequence[int]:
    """Return ports on which no process listens now.

    They lie below the range that the kernel uses for outgoing connections, and each
    process starts the search at another port: a port that the kernel chose could be
    taken by another run or a connection before the daemon listens on it.
    """
    ports: list[int] = []
    while len(ports) < port_count:
        port = _LOWEST_PORT + next(_port_offsets) % _PORT_COUNT
        with socket.socket() as probe, suppress(OSError):
            probe.bind((HOST, port))
            ports.append(port)
    return ports
