"""A deployment of the platform on loopback: the real programs, servers, an operator.

Each process has an IP number of its own and a settings file, as on the platform. What
happens to processes happens from outside, by signals and by their disk folders.
"""

import asyncio
import json
import os
import shutil
import signal
import sys
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from time import monotonic
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout

from standins.fault_proxy import FaultProxy
from standins.platform_server import PlatformServer, make_platform_server

ROOT = Path(__file__).resolve().parent.parent
LINKS_PORT = 7400
METRICS_PORT = 7415
CONTROL_PORT = 8785
FRONT_PORT = 8783
READY_PORT = 8780
REPLICAS = 3
# Servers stand in them by turns; all processes are in the first.
DATA_CENTRES = ("a", "b")
BEAT_SECONDS = 0.4
HOST = "desk.example"
KEY = "the-clubs-key"
CONTROL_TIMEOUT_SECONDS = 1.0
STOP_SECONDS = 10.0


@dataclass(slots=True)
class Program:
    """One process and where it listens; ``starts`` counts its incarnations."""

    name: str
    role: str
    ip: str
    folder: Path
    process: asyncio.subprocess.Process | None = None
    starts: int = 0
    asked_to_end: bool = False

    @property
    def front(self) -> str:
        """Return where a router takes callers."""
        return f"{self.ip}:{FRONT_PORT}"

    @property
    def ready(self) -> str:
        """Return where a router says whether it takes callers."""
        return f"{self.ip}:{READY_PORT}"

    @property
    def control(self) -> str:
        """Return where a replica takes heartbeats and configurations."""
        return f"{self.ip}:{CONTROL_PORT}"

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process still runs.

        By a descriptor of the process: the library's own way waits for its end at the
        same time, and takes the exit code from whoever is to see it.
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
class BeatingServer:
    """A server behind a proxy, and its heartbeats."""

    server: PlatformServer
    proxy: FaultProxy
    address: str
    data_centre: str = "a"
    state: str = "ready"
    sequence: int = 0
    drained_at_seconds: float | None = None


@dataclass(slots=True)
class PlatformFleet:
    """Processes, servers and the operator of one deployment."""

    folder: Path
    net: int
    session: ClientSession
    routers: list[Program] = field(default_factory=list)
    replicas: list[Program] = field(default_factory=list)
    servers: list[BeatingServer] = field(default_factory=list)
    ended_by_itself: list[str] = field(default_factory=list)
    is_new: bool = True
    _beats: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    _watches: set[asyncio.Task[None]] = field(default_factory=set)
    _server_number: int = 0

    @property
    def programs(self) -> list[Program]:
        """Return all processes."""
        return self.replicas + self.routers

    def add(self, role: str, number: int) -> Program:
        """Add a process that is not started yet."""
        name = f"{role}-{number}"
        host = number if role == "replica" else 100 + number
        program = Program(name, role, f"127.{self.net}.0.{host}", self.folder / name)
        (self.replicas if role == "replica" else self.routers).append(program)
        return program

    async def start(self, program: Program) -> None:
        """Start a process with the settings that are right now."""
        program.folder.mkdir(parents=True, exist_ok=True)
        self.write_settings(program)
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT),
            "SESAMEFORD_CONFIG": str(program.folder / "boot.toml"),
        }
        program.starts += 1
        program.asked_to_end = False
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
        watch = asyncio.create_task(self._watch(program, program.process))
        self._watches.add(watch)
        watch.add_done_callback(self._watches.discard)

    async def _watch(
        self, program: Program, process: asyncio.subprocess.Process
    ) -> None:
        code = await process.wait()
        if not program.asked_to_end:
            self.ended_by_itself.append(f"{program.name} ended with {code}")

    def write_settings(self, program: Program, seeds: list[str] | None = None) -> None:
        """Write the settings file of a process."""
        known = seeds or [one.control for one in self.replicas[:REPLICAS]]
        listen = {"control": program.control}
        if program.role == "router":
            listen = {"front": program.front, "ready": program.ready}
        lines = [
            f'node_name = "{program.name}"',
            f'role = "{program.role}"',
            f'ip = "{program.ip}"',
            f'zone = "{DATA_CENTRES[0]}"',
            f"internal_port_range = [{LINKS_PORT}, {METRICS_PORT}]",
            f"seeds = {json.dumps(known)}",
            f"bootstrap = {str(self.is_new).lower()}",
            f"heartbeat_interval_ms = {BEAT_SECONDS * 1000:.0f}",
        ]
        if program.role == "replica":
            lines.append(f'data_dir = "{program.folder / "data"}"')
        lines.append("[zones]")
        lines.extend(f'{name} = "region"' for name in DATA_CENTRES)
        lines.append("[listen]")
        lines.extend(f'{name} = "{address}"' for name, address in listen.items())
        (program.folder / "boot.toml").write_text("\n".join(lines) + "\n")

    async def kill(self, program: Program, lose_disk: bool = False) -> None:
        """End a process at once, with its disk if asked."""
        program.asked_to_end = True
        program.signal(signal.SIGKILL)
        await self._ended(program)
        if lose_disk:
            shutil.rmtree(program.folder / "data", ignore_errors=True)

    async def stop(self, program: Program) -> int | None:
        """End a process as planned; return its exit code, None if it was killed."""
        program.asked_to_end = True
        program.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_SECONDS):
                return await self._ended(program)
        except TimeoutError:
            await self.kill(program)
            return None

    async def _ended(self, program: Program) -> int:
        assert program.process is not None
        return await program.process.wait()

    async def add_server(self) -> BeatingServer:
        """Start a server behind a proxy; it announces itself from now on."""
        self._server_number += 1
        server = make_platform_server(f"i-{self._server_number}")
        await server.start()
        host, _, port = server.address.rpartition(":")
        proxy = FaultProxy(host, int(port))
        proxy_port = await proxy.start()
        place = DATA_CENTRES[self._server_number % len(DATA_CENTRES)]
        one = BeatingServer(server, proxy, f"127.0.0.1:{proxy_port}", place)
        self.servers.append(one)
        self._beats[server.target_id] = asyncio.create_task(self._beat(one))
        return one

    async def crash_server(self, one: BeatingServer) -> None:
        """End a server without a word."""
        self.servers.remove(one)
        self._beats.pop(one.server.target_id).cancel()
        await one.proxy.stop()
        await one.server.stop()

    async def drain_server(self, one: BeatingServer) -> bool:
        """Let a server say that it drains; return whether that was acknowledged."""
        one.state = "draining"
        for _ in range(10):
            if await self._tell(one):
                one.drained_at_seconds = monotonic()
                return True
        return False

    async def _beat(self, one: BeatingServer) -> None:
        while True:
            await self._tell(one)
            await asyncio.sleep(BEAT_SECONDS)

    async def _tell(self, one: BeatingServer) -> bool:
        one.sequence += 1
        body = {
            "service": "pool",
            "address": one.address,
            "zone": one.data_centre,
            "version": "v1",
            "slots": 16,
            "state": one.state,
            "sequence": one.sequence,
        }
        path = f"/v1/instances/{one.server.target_id}"
        for replica in self.replicas[one.sequence % REPLICAS :] + self.replicas:
            status, _ = await self.call(replica.control, "PUT", path, body)
            if status == 200:
                return True
        return False

    async def declare(self, replica: Program, version: int, added: bool) -> int:
        """Send a configuration; return the status, 0 where no answer came."""
        body = _configuration(version, added)
        status, _ = await self.call(replica.control, "PUT", "/v1/config", body)
        return status

    async def evacuate(
        self, replica: Program, data_centre: str, evacuated: bool
    ) -> int:
        """Order a data centre to be evacuated, or restored; return the status."""
        method = "POST" if evacuated else "DELETE"
        path = f"/v1/evacuations/{data_centre}"
        return (await self.call(replica.control, method, path))[0]

    async def declared_version(self, replica: Program) -> int | None:
        """Return the version that a replica reads back, None where it has none."""
        status, text = await self.call(replica.control, "GET", "/v1/config")
        return json.loads(text)["version"] if status == 200 else None

    async def is_ready(self, router: Program) -> bool:
        """Return whether a router says that it takes callers."""
        status, _ = await self.call(router.ready, "GET", "/v1/readiness")
        return status == 200

    async def call(
        self, address: str, method: str, path: str, body: Any = None
    ) -> tuple[int, bytes]:
        """Call an address of a process; status 0 stands for no answer."""
        try:
            async with self.session.request(
                method,
                f"http://{address}{path}",
                data=None if body is None else json.dumps(body),
                timeout=ClientTimeout(total=CONTROL_TIMEOUT_SECONDS),
            ) as answer:
                return answer.status, await answer.read()
        except (ClientError, OSError, TimeoutError):
            # No answer is an outcome that callers of this count, not an error.
            return 0, b""

    async def close(self) -> None:
        """End all that was started, by its id."""
        for task in self._beats.values():
            task.cancel()
        for program in self.programs:
            if program.process is not None and program.process.returncode is None:
                program.signal(signal.SIGCONT)
                await self.kill(program)
        for one in self.servers:
            await one.proxy.stop()
            await one.server.stop()


def request_headers(request_id: str, deadline_seconds: float) -> dict[str, str]:
    """Return the headers of a caller's request."""
    return {
        "Host": HOST,
        "X-Sesameford-Attempt-Id": request_id,
        "X-Sesameford-Deadline-Ms": f"{deadline_seconds * 1000:.0f}",
        "Authorization": f"Bearer {KEY}",
    }


def _configuration(version: int, added: bool) -> dict[str, Any]:
    route: dict[str, Any] = {
        "host": HOST,
        "timeout_ms": 4000,
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
            {**route, **one, "max_attempts": 2}
            if one["route_type"] == "safe" or one.get("stream_resume")
            else {**route, **one}
            for one in routes
        ],
        "services": [{"name": "pool", "health_path": "/health"}],
        "limits": {},
        "tenants": [{"name": "club", "api_keys": [KEY]}],
    }


def make_platform_fleet(
    folder: Path, net: int, session: ClientSession
) -> PlatformFleet:
    """Return a deployment without processes.

    Args:
        folder: For settings, disks and logs.
        net: The second number of all IP numbers, 1 to 254.
        session: For calls to control.
    """
    return PlatformFleet(folder, net, session)
