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

_LOWEST_PORT, _PORTS = 10_000, 22_000
_PORTS_OF_A_PROCESS = 200
_port_numbers = count(os.getpid() * _PORTS_OF_A_PROCESS)


@dataclass(slots=True)
class Member:
    """A process of the fleet and how to reach it."""

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
        """Return whether its process runs."""
        return self.process is not None and self.process.returncode is None


@dataclass(frozen=True, slots=True)
class Keys:
    """Keys made for one run."""

    operator: str = field(default_factory=lambda: secrets.token_hex(16))
    platform: str = field(default_factory=lambda: secrets.token_hex(16))
    shared: str = field(default_factory=lambda: secrets.token_hex(32))


def digest_of(key: str) -> str:
    """Return the digest under which a key stands in settings."""
    return sha256(key.encode()).hexdigest()


def free_ports(wanted: int) -> Sequence[int]:
    """Return ports that nobody listens on now.

    They lie below those that the kernel gives to outgoing connections, and each
    process begins elsewhere: ports that the kernel chose would be taken again by
    another run, or by a connection, before the daemon could listen on them.
    """
    ports: list[int] = []
    while len(ports) < wanted:
        port = _LOWEST_PORT + next(_port_numbers) % _PORTS
        with socket.socket() as one, suppress(OSError):
            one.bind((HOST, port))
            ports.append(port)
    return ports
