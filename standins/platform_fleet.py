"""A deployment of the platform on loopback: the real programs, servers, an operator.

Each process has its own IP number and settings file, as on the platform. Processes are
controlled from outside only, by signals and through their disk folders.
"""

import asyncio
import json
import os
import shutil
import signal
import sys
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from time import monotonic
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout

from sesameford.settings import RetryBudgetSettings
from standins.fault_proxy import FaultProxy
from standins.loopback_net import LoopbackNet, reserve_net
from standins.platform_server import PlatformServer, make_platform_server

ROOT = Path(__file__).resolve().parent.parent
LINKS_PORT = 7400
METRICS_PORT = 7415
CONTROL_PORT = 8785
FRONT_PORT = 8783
READY_PORT = 8780
REPLICAS = 3
# Servers are spread over them in turn; all processes are in the first.
DATA_CENTRES = ("a", "b")
HEARTBEAT_SECONDS = 0.4
HOST = "desk.example"
# The id of a prompt's own part; the parts that prompts share have smaller ones.
OWN_PART_BASE = 0x100000
KEY = "the-clubs-key"
CONTROL_TIMEOUT_SECONDS = 1.0
STOP_SECONDS = 10.0


@dataclass(slots=True)
class Program:
    """One process and its addresses; ``starts`` counts its incarnations."""

    name: str
    role: str
    ip: str
    folder: Path
    process: asyncio.subprocess.Process | None = None
    starts: int = 0
    is_end_requested: bool = False

    @property
    def front(self) -> str:
        """Return the address at which a router serves callers."""
        return f"{self.ip}:{FRONT_PORT}"

    @property
    def ready(self) -> str:
        """Return the address of a router's readiness probe."""
        return f"{self.ip}:{READY_PORT}"

    @property
    def control(self) -> str:
        """Return the address for a replica's heartbeats and configurations."""
        return f"{self.ip}:{CONTROL_PORT}"

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process still runs.

        The signal goes through a pidfd: the library's own method also reaps the
        process, and the exit code is lost for the task that waits for it.
        """
        if self.process is None or self.process.returncode is not None:
            return
        with suppress(ProcessLookupError):
            descriptor = os.pidfd_open(self.process.pid)
            try:
                signal.pidfd_send_signal(descriptor, number)
            finally:
                os.close(descriptor)


@dataclass(slots=True)
class HeartbeatServer:
    """A server behind a proxy and the state of its heartbeats."""

    server: PlatformServer
    proxy: FaultProxy
    address: str
    data_centre: str = "a"
    state: str = "ready"
    sequence: int = 0
    drained_at_seconds: float | None = None


@dataclass(slots=True)
class PlatformFleet:
    """Processes, servers and the operator of one deployment.

    ``unplanned_exits`` lists the processes that ended without a request to do so.
    ``bounds`` and ``limits`` are those of the processes' settings that differ from the
    defaults, ``keys`` is each customer's key, and ``route_timeout_seconds`` that of all
    routes.
    """

    folder: Path
    net: LoopbackNet
    session: ClientSession
    routers: list[Program] = field(default_factory=list)
    replicas: list[Program] = field(default_factory=list)
    servers: list[HeartbeatServer] = field(default_factory=list)
    unplanned_exits: list[str] = field(default_factory=list)
    bounds: dict[str, float] = field(default_factory=dict)
    limits: dict[str, float] = field(default_factory=dict)
    keys: dict[str, str] = field(default_factory=lambda: {"club": KEY})
    route_timeout_seconds: float = 4.0
    is_new: bool = True
    _heartbeat_tasks: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    _watch_tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _server_number: int = 0

    @property
    def programs(self) -> list[Program]:
        """Return all processes."""
        return self.replicas + self.routers

    def add(self, role: str, number: int) -> Program:
        """Add a process that is not started yet."""
        name = f"{role}-{number}"
        host = number if role == "replica" else 100 + number
        program = Program(
            name, role, f"127.{self.net.number}.0.{host}", self.folder / name
        )
        (self.replicas if role == "replica" else self.routers).append(program)
        return program

    def add_programs(self, routers: int) -> None:
        """Add the replicas and some routers, none of them started yet."""
        for number in range(1, REPLICAS + 1):
            self.add("replica", number)
        for number in range(1, routers + 1):
            self.add("router", number)

    async def found(self, programs: Sequence[Program]) -> None:
        """Start the processes of a deployment that is new, in the given order."""
        for program in programs:
            await self.start(program)
        self.is_new = False

    async def declare_first(self) -> None:
        """Send the first configuration until a replica accepts it."""
        while await self.declare(self.replicas[0], 2, False) != 200:
            await asyncio.sleep(0.1)

    async def wait_until_ready(self) -> None:
        """Send the first configuration, and wait until all routers serve."""
        await self.declare_first()
        for router in self.routers:
            while not await self.is_ready(router):
                await asyncio.sleep(0.05)

    def set_retry_budget(self, budget: RetryBudgetSettings) -> None:
        """Set the retry budget of processes that start from now on."""
        self.bounds |= {
            "retry_budget_ratio": budget.fraction,
            "budget_window_s": budget.window_seconds,
            "budget_slack": budget.spare_requests,
        }

    async def start(self, program: Program) -> None:
        """Start a process with the current settings."""
        program.folder.mkdir(parents=True, exist_ok=True)
        self.write_settings(program)
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT),
            "SESAMEFORD_CONFIG": str(program.folder / "boot.toml"),
        }
        program.starts += 1
        program.is_end_requested = False
        with (program.folder / f"{program.starts}.log").open("wb") as log:
            program.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "platform" / "start.py"),
                program.role,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        watch = asyncio.create_task(
            self._record_unplanned_exit(program, program.process)
        )
        self._watch_tasks.add(watch)
        watch.add_done_callback(self._watch_tasks.discard)

    async def _record_unplanned_exit(
        self, program: Program, process: asyncio.subprocess.Process
    ) -> None:
        code = await process.wait()
        if not program.is_end_requested:
            self.unplanned_exits.append(f"{program.name} ended with {code}")

    def write_settings(self, program: Program, seeds: list[str] | None = None) -> None:
        """Write the settings file of a process."""
        seed_addresses = seeds or [
            replica.control for replica in self.replicas[:REPLICAS]
        ]
        listen = {"control": program.control}
        if program.role == "router":
            listen = {"front": program.front, "ready": program.ready}
        lines = [
            f'node_name = "{program.name}"',
            f'role = "{program.role}"',
            f'ip = "{program.ip}"',
            f'zone = "{DATA_CENTRES[0]}"',
            f"internal_port_range = [{LINKS_PORT}, {METRICS_PORT}]",
            f"seeds = {json.dumps(seed_addresses)}",
            f"bootstrap = {str(self.is_new).lower()}",
            f"heartbeat_interval_ms = {HEARTBEAT_SECONDS * 1000:.0f}",
        ]
        if program.role == "replica":
            lines.append(f'data_dir = "{program.folder / "data"}"')
        lines.append("[zones]")
        lines.extend(f'{name} = "region"' for name in DATA_CENTRES)
        lines.append("[bounds]")
        lines.extend(f"{name} = {value}" for name, value in self.bounds.items())
        lines.append("[limits]")
        lines.extend(f"{name} = {value}" for name, value in self.limits.items())
        lines.append("[listen]")
        lines.extend(f'{name} = "{address}"' for name, address in listen.items())
        (program.folder / "boot.toml").write_text("\n".join(lines) + "\n")

    async def kill(self, program: Program, lose_disk: bool = False) -> None:
        """Kill a process, and remove its disk if requested."""
        program.is_end_requested = True
        program.signal(signal.SIGKILL)
        await self._wait_for_exit(program)
        if lose_disk:
            shutil.rmtree(program.folder / "data", ignore_errors=True)

    async def kill_and_start(self, programs: Sequence[Program]) -> None:
        """Kill some processes at once, and start them again."""
        for program in programs:
            await self.kill(program)
        for program in programs:
            await self.start(program)

    async def stop(self, program: Program) -> int | None:
        """Stop a process gracefully; return its exit code, None if it was killed.

        It is killed after the grace of its settings.
        """
        program.is_end_requested = True
        program.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(self.bounds.get("grace_s", STOP_SECONDS)):
                return await self._wait_for_exit(program)
        except TimeoutError:
            await self.kill(program)
            return None

    async def _wait_for_exit(self, program: Program) -> int:
        assert program.process is not None
        return await program.process.wait()

    async def add_server(self, software_version: str = "v1") -> HeartbeatServer:
        """Start a server behind a proxy, and its heartbeats."""
        self._server_number += 1
        server = make_platform_server(f"i-{self._server_number}")
        server.software_version = software_version
        await server.start()
        host, _, port = server.address.rpartition(":")
        proxy = FaultProxy(host, int(port))
        proxy_port = await proxy.start()
        data_centre = DATA_CENTRES[self._server_number % len(DATA_CENTRES)]
        heartbeat_server = HeartbeatServer(
            server, proxy, f"127.0.0.1:{proxy_port}", data_centre
        )
        self.servers.append(heartbeat_server)
        self._heartbeat_tasks[server.target_id] = asyncio.create_task(
            self._send_heartbeats(heartbeat_server)
        )
        return heartbeat_server

    async def crash_server(self, heartbeat_server: HeartbeatServer) -> None:
        """Stop a server and its heartbeats without a drain."""
        self.servers.remove(heartbeat_server)
        self._heartbeat_tasks.pop(heartbeat_server.server.target_id).cancel()
        await heartbeat_server.proxy.stop()
        await heartbeat_server.server.stop()

    async def remove_server(self, heartbeat_server: HeartbeatServer) -> None:
        """End a server after it has announced that it leaves."""
        path = f"/v1/instances/{heartbeat_server.server.target_id}"
        for replica in self.replicas:
            status, _ = await self.call(replica.control, "DELETE", path)
            if status == 200:
                break
        await self.crash_server(heartbeat_server)

    async def drain_server(self, heartbeat_server: HeartbeatServer) -> bool:
        """Announce that a server drains; return whether that was acknowledged."""
        heartbeat_server.state = "draining"
        for _ in range(10):
            if await self._send_heartbeat(heartbeat_server):
                heartbeat_server.drained_at_seconds = monotonic()
                return True
        return False

    async def _send_heartbeats(self, heartbeat_server: HeartbeatServer) -> None:
        while True:
            await self._send_heartbeat(heartbeat_server)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _send_heartbeat(self, heartbeat_server: HeartbeatServer) -> bool:
        heartbeat_server.sequence += 1
        body = {
            "service": "pool",
            "address": heartbeat_server.address,
            "zone": heartbeat_server.data_centre,
            "version": heartbeat_server.server.software_version,
            "slots": 16,
            "state": heartbeat_server.state,
            "sequence": heartbeat_server.sequence,
        }
        path = f"/v1/instances/{heartbeat_server.server.target_id}"
        for replica in (
            self.replicas[heartbeat_server.sequence % REPLICAS :] + self.replicas
        ):
            status, _ = await self.call(replica.control, "PUT", path, body)
            if status == 200:
                return True
        return False

    async def declare(self, replica: Program, version: int, added: bool) -> int:
        """Send a configuration; return the status, 0 if no answer arrived."""
        body = _configuration(version, added, self.keys, self.route_timeout_seconds)
        status, _ = await self.call(replica.control, "PUT", "/v1/config", body)
        return status

    async def evacuate(
        self, replica: Program, data_centre: str, evacuated: bool
    ) -> int:
        """Order a data centre to be evacuated or restored; return the status."""
        method = "POST" if evacuated else "DELETE"
        path = f"/v1/evacuations/{data_centre}"
        return (await self.call(replica.control, method, path))[0]

    async def declared_version(self, replica: Program) -> int | None:
        """Return the version that a replica reads back, None if it has none."""
        status, text = await self.call(replica.control, "GET", "/v1/config")
        return json.loads(text)["version"] if status == 200 else None

    async def is_ready(self, router: Program) -> bool:
        """Return whether a router reports that it serves callers."""
        status, _ = await self.call(router.ready, "GET", "/v1/readiness")
        return status == 200

    async def call(
        self, address: str, method: str, path: str, body: Any = None
    ) -> tuple[int, bytes]:
        """Call an address of a process; status 0 means no answer."""
        try:
            async with self.session.request(
                method,
                f"http://{address}{path}",
                data=None if body is None else json.dumps(body),
                timeout=ClientTimeout(total=CONTROL_TIMEOUT_SECONDS),
            ) as answer:
                return answer.status, await answer.read()
        except (ClientError, OSError, TimeoutError):
            # No answer is an outcome that the callers of this method count.
            return 0, b""

    async def close(self) -> None:
        """Stop all tasks, processes and servers that this fleet started."""
        for task in self._heartbeat_tasks.values():
            task.cancel()
        for program in self.programs:
            if program.process is not None and program.process.returncode is None:
                program.signal(signal.SIGCONT)
                await self.kill(program)
        for heartbeat_server in self.servers:
            await heartbeat_server.proxy.stop()
            await heartbeat_server.server.stop()
        self.net.give_back()


def request_headers(
    request_id: str, deadline_seconds: float, key: str = KEY
) -> dict[str, str]:
    """Return the headers of a caller's request."""
    return {
        "Host": HOST,
        "X-Sesameford-Attempt-Id": request_id,
        "X-Sesameford-Deadline-Ms": f"{deadline_seconds * 1000:.0f}",
        "Authorization": f"Bearer {key}",
    }


def prompt_headers(parts: Sequence[str], number: int) -> dict[str, str]:
    """Return the headers of a prompt with shared parts and one of its own.

    Args:
        parts: The ids of the parts that other prompts share.
        number: Tells the own parts of prompts apart.
    """
    entries = [*parts, f"{OWN_PART_BASE + number:x}"]
    return {
        "X-Sesameford-Model": "m",
        "X-Sesameford-Token-Usage": f"{100 * len(entries)},40",
        "X-Sesameford-Prompt-Prefix": ",".join(f"{one}:100" for one in entries),
    }


def _configuration(
    version: int, added: bool, keys: dict[str, str], timeout_seconds: float
) -> dict[str, Any]:
    route: dict[str, Any] = {
        "host": HOST,
        "timeout_ms": round(timeout_seconds * 1000),
        "target_latency_ms": 400,
        "service": "pool",
        "max_attempts": 1,
    }
    routes: list[dict[str, Any]] = [
        {"name": "safe", "path_prefix": "/safe/", "route_type": "safe"},
        {"name": "unsafe", "path_prefix": "/unsafe/", "route_type": "unsafe"},
        {"name": "stream", "path_prefix": "/stream/", "route_type": "stream"},
        {
            "name": "resumed",
            "path_prefix": "/stream/resumed/",
            "route_type": "stream",
            "stream_resume": True,
        },
    ]
    if added:
        routes.append({"name": "new", "path_prefix": "/new/", "route_type": "safe"})
    return {
        "version": version,
        "routes": [
            {**route, **fields, "max_attempts": 2}
            if fields["route_type"] == "safe" or fields.get("stream_resume")
            else {**route, **fields}
            for fields in routes
        ],
        "services": [{"name": "pool", "health_path": "/health"}],
        "limits": {},
        "tenants": [
            {"name": customer, "api_keys": [key]} for customer, key in keys.items()
        ],
    }


def make_platform_fleet(
    folder: Path, net: int, session: ClientSession
) -> PlatformFleet:
    """Return a deployment without processes.

    Args:
        folder: The folder for settings, disks and logs.
        net: The preferred second number of all IP numbers, 2 to 254.
        session: The session for calls to control addresses.
    """
    return PlatformFleet(folder, reserve_net(net), session)
