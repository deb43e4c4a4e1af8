"""A small deployment on loopback: the project's own programs as separate processes.

Stand-ins for the platform, its servers, its clients and its operator, with the standard
library alone. Each process has a loopback address of its own and a settings file like
the one in DEPLOY.md. Processes are controlled by signals from outside and nothing else.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from time import monotonic
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "desk.example"
KEY = "k7b2ex5wa5xwyhks8nbk"
TENANT = "club-anand"
HEARTBEAT_SECONDS = 1.2
OPERATOR_TIMEOUT_SECONDS = 1.0
ZONES = ("hall-a", "hall-b", "hall-c", "hall-d")
SEEDS = 3


class CannotRunError(Exception):
    """The case could not be set up, which says nothing about the rule."""


class Record:
    """The file that lists what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started = monotonic()

    def write(self, text: str) -> None:
        """Write one line with the time since the start, to the standard output too."""
        print(self.note(text), flush=True)

    def note(self, text: str) -> str:
        """Write one line with the time since the start to the file alone."""
        line = f"{monotonic() - self._started:8.3f} {text}"
        print(line, file=self._file, flush=True)
        return line


@dataclass
class Answer:
    """A complete answer, or status 0 where none came."""

    status: int
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    detail: str = ""

    def header(self, name: str) -> str | None:
        """Return the first value of a header."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return None


async def read_head(reader: asyncio.StreamReader) -> tuple[str, list[tuple[str, str]]]:
    """Read the first line and the headers of a message."""
    raw = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = raw[:-4].split("\r\n")
    headers = []
    for line in lines:
        name, _, value = line.partition(":")
        headers.append((name, value.strip()))
    return first, headers


def header_of(headers: list[tuple[str, str]], name: str) -> str | None:
    """Return the first value of a header."""
    for key, value in headers:
        if key.lower() == name.lower():
            return value
    return None


async def read_body(
    reader: asyncio.StreamReader, headers: list[tuple[str, str]]
) -> bytes:
    """Read a body with a length or in chunks."""
    if "chunked" in (header_of(headers, "Transfer-Encoding") or "").lower():
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += data[:-2]
    return await reader.readexactly(int(header_of(headers, "Content-Length") or 0))


async def call(
    address: str,
    method: str,
    path: str,
    headers: list[tuple[str, str]],
    body: bytes = b"",
    timeout_seconds: float = OPERATOR_TIMEOUT_SECONDS,
) -> Answer:
    """Send one request on a new connection and return its answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers]
            if body or method in ("POST", "PUT"):
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await writer.drain()
            first, answer_headers = await read_head(reader)
            content = await read_body(reader, answer_headers)
            return Answer(int(first.split()[1]), answer_headers, content)
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        return Answer(0, detail=type(error).__name__)
    finally:
        if writer is not None:
            writer.close()


@dataclass
class Program:
    """One process of the project's and its addresses."""

    name: str
    role: str
    zone: str
    ip: str
    ports: "Ports"
    folder: Path
    process: asyncio.subprocess.Process | None = None
    starts: int = 0

    @property
    def front(self) -> str:
        """The address for clients."""
        return f"{self.ip}:{self.ports.front}"

    @property
    def ready(self) -> str:
        """The address of the readiness probe."""
        return f"{self.ip}:{self.ports.ready}"

    @property
    def control(self) -> str:
        """The address for servers and the operator."""
        return f"{self.ip}:{self.ports.control}"

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process."""
        if self.process is not None and self.process.returncode is None:
            with suppress(ProcessLookupError):
                os.kill(self.process.pid, number)


@dataclass(frozen=True)
class Ports:
    """The ports, the same on all addresses."""

    links: int
    front: int
    ready: int
    control: int

    @property
    def metrics(self) -> int:
        """The last port of the internal range."""
        return self.links + 15


def _free_ports(ips: list[str]) -> Ports:
    """Return ports that are free on all addresses."""
    for _ in range(200):
        base = random.randrange(20_000, 32_000, 20)
        ports = Ports(base, base + 16, base + 17, base + 18)
        sockets = []
        try:
            for ip in ips:
                for port in range(base, base + 19):
                    one = socket.socket()
                    sockets.append(one)
                    one.bind((ip, port))
            return ports
        except OSError:
            continue
        finally:
            for one in sockets:
                one.close()
    raise CannotRunError("no free ports")


@dataclass
class Server:
    """A server of a service: answers, counts runs by request id, and sends heartbeats.

    ``answer`` may be replaced by a case; it returns False to close the connection.
    """

    server_id: str
    service: str
    zone: str
    record: Record
    slots: int = 6
    runs: dict[str, int] = field(default_factory=dict)
    bodies: dict[str, bytes] = field(default_factory=dict)
    heads: dict[str, tuple[str, list[tuple[str, str]]]] = field(default_factory=dict)
    address: str = ""
    sequence: int = 0
    work_seconds: float = 0.045
    answer: Any = None
    last_run_at: float = 0.0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Close the port and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()

    def heartbeat(self) -> bytes:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return json.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "cold_remaining_ms": 0,
                "sequence": self.sequence,
            }
        ).encode()

    def count_run(self, request_id: str, first: str, headers: Any, body: bytes) -> None:
        """Count a run of a request."""
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self.bodies[request_id] = body
        self.heads[request_id] = (first, headers)
        self.last_run_at = monotonic()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                answer = self.answer or default_answer
                if not await answer(self, first, headers, body, writer):
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()


def encode_answer(
    server: Server,
    status: int,
    request_id: str,
    body: bytes = b"",
    extra: list[tuple[str, str]] | None = None,
) -> bytes:
    """Return an answer of a server."""
    lines = [
        f"HTTP/1.1 {status} Said",
        f"X-Sesameford-Attempt-Id: {request_id}",
        f"X-Sesameford-Response-Signature: sig.{server.server_id}.{request_id}",
        *(f"{name}: {value}" for name, value in extra or []),
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


async def default_answer(
    server: Server,
    first: str,
    headers: list[tuple[str, str]],
    body: bytes,
    writer: asyncio.StreamWriter,
) -> bool:
    """Run a request and answer it, as a sound server does."""
    request_id = header_of(headers, "X-Sesameford-Attempt-Id") or ""
    expected = header_of(headers, "X-Sesameford-Expect-Instance")
    if expected not in (None, server.server_id):
        extra = [("X-Sesameford-Not-Executed", "1")]
        writer.write(encode_answer(server, 421, request_id, extra=extra))
        return True
    server.count_run(request_id, first, headers, body)
    server.record.note(f"server {server.server_id} runs {request_id} ({first})")
    await asyncio.sleep(server.work_seconds)
    writer.write(encode_answer(server, 200, request_id, b"done " + request_id.encode()))
    await writer.drain()
    return True


class Fleet:
    """Some replicas and routers, their servers and their operator."""

    def __init__(self, record: Record, routers: int = 2, replicas: int = 3) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="sesameford-review-"))
        net = random.randrange(10, 250)
        ips = [f"127.{net}.1.{n + 1}" for n in range(replicas)]
        router_ips = [f"127.{net}.2.{n + 1}" for n in range(routers)]
        ports = _free_ports(ips + router_ips)
        self.replicas = [
            self._program(f"core-{ZONES[n]}-1", "replica", ZONES[n], ip, ports)
            for n, ip in enumerate(ips)
        ]
        self.routers = [
            self._program(
                f"front-{ZONES[n % 3]}-{n + 1}", "router", ZONES[n % 3], ip, ports
            )
            for n, ip in enumerate(router_ips)
        ]
        self.servers: list[Server] = []
        self._tasks: list[asyncio.Task[None]] = []
        self.is_new = True

    def _program(
        self, name: str, role: str, zone: str, ip: str, ports: Ports
    ) -> Program:
        return Program(name, role, zone, ip, ports, self.folder / name)

    async def start(self, program: Program) -> None:
        """Start a process as the deploy file says."""
        program.folder.mkdir(parents=True, exist_ok=True)
        settings = program.folder / "boot.toml"
        settings.write_text(self._settings(program), encoding="utf-8")
        deps = ROOT / "target" / "deps"
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(deps),
            "PYTHONDONTWRITEBYTECODE": "1",
            "SESAMEFORD_CONFIG": str(settings),
        }
        program.starts += 1
        with (program.folder / f"{program.starts}.log").open("wb") as log:
            program.process = await asyncio.create_subprocess_exec(
                "python3",
                "platform/start.py",
                program.role,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.record.write(f"platform starts {program.name}")

    def _settings(self, program: Program) -> str:
        core = program.role == "replica"
        listen = {"control": program.control}
        if not core:
            listen = {"front": program.front, "ready": program.ready}
        seeds = json.dumps([one.control for one in self.replicas[:SEEDS]])
        lines = [
            f'node_name = "{program.name}"',
            f'role = "{program.role}"',
            f'machine_class = "{"core" if core else "front"}"',
            f'serves = ["{"control" if core else "front"}"]',
            f'ip = "{program.ip}"',
            f'zone = "{program.zone}"',
            'region = "gandhinagar"',
            f"internal_port_range = [{program.ports.links}, {program.ports.metrics}]",
            f"seeds = {seeds}",
            f"bootstrap = {str(self.is_new).lower()}",
            f"in_tolerance = {str(core).lower()}",
            'discovery = "registration"',
            'entry = "vip"',
            f"heartbeat_interval_ms = {int(HEARTBEAT_SECONDS * 1000)}",
            'config_mode = "highest"',
        ]
        if core:
            lines.append(f'data_dir = "{program.folder / "data"}"')
        lines.append("[zones]")
        lines += [f'{zone} = "gandhinagar"' for zone in ZONES]
        lines.append("[listen]")
        lines += [f'{name} = "{address}"' for name, address in listen.items()]
        lines += [
            "[limits]",
            "memory_mb = 300",
            "max_fds = 4100",
            "[fault_tolerance]",
            "machines = 1",
            "zones = 1",
            "regions = 0",
            "[bounds]",
            "contact_ms = 3000",
            "ack_timeout_ms = 4000",
            "drain_period_ms = 2000",
            "grace_s = 8",
            "config_propagation_ms = 2000",
            "retry_budget_ratio = 0.2",
            "budget_window_s = 10",
            "budget_slack = 56",
        ]
        return "\n".join(lines) + "\n"

    async def start_all(self, configuration: dict[str, Any]) -> None:
        """Start all processes, servers and heartbeats, and wait until routers serve."""
        for program in self.replicas + self.routers:
            await self.start(program)
        for server in self.servers:
            await server.start()
            self._tasks.append(asyncio.create_task(self._send_heartbeats(server)))
        await self.wait_for(
            lambda: self.operate("PUT", "/v1/config", configuration),
            30,
            "configuration",
        )
        self.is_new = False
        for router in self.routers:
            await self.wait_for(lambda r=router: self._is_ready(r), 20, router.name)
        await asyncio.sleep(2 * HEARTBEAT_SECONDS)

    async def wait_for(self, act: Any, seconds: float, what: str) -> None:
        """Repeat an act until it returns true."""
        until = monotonic() + seconds
        while not await act():
            if monotonic() > until:
                raise CannotRunError(f"{what} did not come about")
            await asyncio.sleep(0.2)

    async def _is_ready(self, router: Program) -> bool:
        answer = await call(router.ready, "GET", "/v1/readiness", [("Host", "x")])
        return answer.status == 200

    async def operate(
        self, method: str, path: str, body: Any = None, at: Program | None = None
    ) -> bool:
        """Send an order as the operator does; return whether it was acknowledged."""
        program = at or random.choice(self.replicas)
        encoded = b"" if body is None else json.dumps(body).encode()
        headers = [("Host", program.control), ("Content-Type", "application/json")]
        answer = await call(program.control, method, path, headers, encoded)
        said = f"{answer.status}" if answer.status else f"no answer ({answer.detail})"
        self.record.write(f"operator {method} {path} at {program.name}: {said}")
        return 200 <= answer.status < 300

    async def _send_heartbeats(self, server: Server) -> None:
        while True:
            body = server.heartbeat()
            path = f"/v1/instances/{server.server_id}"
            headers = [("Host", "control"), ("Content-Type", "application/json")]
            for replica in random.sample(self.replicas, len(self.replicas)):
                answer = await call(replica.control, "PUT", path, headers, body)
                if 200 <= answer.status < 300:
                    break
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def leader(self) -> str:
        """Return the replica that seems to lead, as the replicas' own logs say."""
        newest = ("", "")
        for program in self.replicas:
            for log in sorted(program.folder.glob("*.log")):
                for line in log.read_text(encoding="utf-8").splitlines():
                    if '"leader changed"' in line:
                        fields = json.loads(line)
                        if fields["leader"] != "None":
                            newest = max(newest, (fields["at"], fields["leader"]))
        return newest[1]

    async def lose_disk(self, program: Program) -> None:
        """Kill a process whose machine loses its disk."""
        program.signal(signal.SIGKILL)
        assert program.process is not None
        await program.process.wait()
        shutil.rmtree(program.folder / "data")

    async def close(self) -> None:
        """End all that this fleet started."""
        for task in self._tasks:
            task.cancel()
        for program in self.replicas + self.routers:
            process = program.process
            if process is not None and process.returncode is None:
                program.signal(signal.SIGCONT)
                program.signal(signal.SIGKILL)
                await process.wait()
        for server in self.servers:
            await server.stop()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def client_headers(
    request_id: str, deadline_ms: int = 2500, key: str = KEY
) -> list[tuple[str, str]]:
    """Return the headers of a client's request."""
    return [
        ("Host", HOST),
        ("X-Sesameford-Attempt-Id", request_id),
        ("X-Sesameford-Deadline-Ms", str(deadline_ms)),
        ("Authorization", f"Bearer {key}"),
    ]


def new_id() -> str:
    """Return the id of a client attempt."""
    return f"{random.getrandbits(64):016x}"


def configuration(version: int = 1) -> dict[str, Any]:
    """Return a configuration like that of a small deployment, for its desk service."""
    route = {
        "host": HOST,
        "timeout_ms": 1200,
        "target_latency_ms": 150,
        "priority": 2,
        "service": "club-desk",
        "allow_anonymous": False,
    }
    return {
        "version": version,
        "routes": [
            {
                "name": "roster-fetch",
                "path_prefix": "/roster/",
                "route_type": "unsafe",
                "max_attempts": 1,
                **route,
            },
            {
                "name": "proof-fetch",
                "path_prefix": "/proof/",
                "route_type": "safe",
                "max_attempts": 2,
                **route,
            },
        ],
        "services": [
            {"name": "club-desk", "health_path": "/health", "max_connections": 110}
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


def run_case(case: Any, folder: Path) -> None:
    """Run a case; exit with 1 if the rule broke, 0 if it held, 2 if it couldn't run.

    Args:
        case: Takes the record and whether there is trouble; returns whether the rule
            was broken.
        folder: Where ``record.txt`` goes.
    """
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(_bounded(case, record, trouble))
    except (CannotRunError, OSError, TimeoutError) as error:
        record.write(f"could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    record.write("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)


async def _bounded(case: Any, record: Record, trouble: bool) -> bool:
    async with asyncio.timeout(110):
        return await case(record, trouble)
