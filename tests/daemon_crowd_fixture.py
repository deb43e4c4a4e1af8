"""A real daemon with lowered limits, before which crowds are played."""

import asyncio
import sys
from contextlib import asynccontextmanager
from dataclasses import dataclass
from ssl import SSLContext, create_default_context

import yaml
from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector
from msgspec import to_builtins
from msgspec.structs import replace as replace_fields

from sesameford.operators_http import digest_of_key
from sesameford.settings import Listen
from tests.authority import Authority
from tests.crowd_fixture import CALL_SECONDS, START_SECONDS
from tests.test_instance import OPERATOR, make_settings

STOP_SECONDS = 10.0
CALLERS_KEY = "the-clubs-key"
TREE = f"""
customers: {{children: {{club: {{key_digests: [{digest_of_key(CALLERS_KEY)}]}}}}}}
services: {{children: {{roster: {{}}}}}}
"""
CALLERS_PORT, OPERATORS_PORT, PEERS_PORT = 8700, 8701, 8702


@dataclass
class Daemon:
    """A daemon's process and addresses; ``context`` is for clients if it has TLS."""

    ip: str
    process: asyncio.subprocess.Process
    context: SSLContext | None

    def address_of(self, port):
        """Return the address for callers, operators or peers."""
        ports = {"callers": CALLERS_PORT, "operators": OPERATORS_PORT}
        ports["peers"] = PEERS_PORT
        return f"{self.ip}:{ports[port]}"

    async def ask(self, port):
        """Send an ordinary request on a new connection; return its status.

        Where peers are, nobody asks; it goes to the port for callers then.
        """
        if port == "operators":
            return await self.call("GET", port, "/tree")
        return await self.call("GET", "callers", "/healthz")

    async def call(self, method, port, path, body=None):
        """Send a request on a new connection; return its status, or 0."""
        scheme = "http" if self.context is None else "https"
        url = f"{scheme}://{self.address_of(port)}{path}"
        timeout = ClientTimeout(total=CALL_SECONDS)
        connector = TCPConnector(ssl=self.context or True)
        async with ClientSession(connector=connector, timeout=timeout) as session:
            try:
                async with session.request(
                    method, url, json=body, headers=OPERATOR
                ) as answer:
                    await answer.read()
                    return answer.status
            except (ClientError, OSError, TimeoutError):
                # No answer is an outcome that the tests count.
                return 0

    async def apply_tree(self):
        """Send the tree until it is accepted."""
        change = {"change_id": "c1", "base_revision": 0, "declared": TREE}
        while await self.call("POST", "operators", "/tree/changes", change) != 200:
            await asyncio.sleep(0.1)


@asynccontextmanager
async def open_daemon(folder, net, has_tls, log=None, **limits):
    """Start a daemon that has accepted a tree, with lowered limits.

    It logs to a file, or to a descriptor.
    """
    ip = f"127.{net}.1.1"
    listen = Listen(
        f"{ip}:{CALLERS_PORT}", f"{ip}:{OPERATORS_PORT}", f"{ip}:{PEERS_PORT}"
    )
    (settings,) = make_settings(folder, 1, 1, **limits)
    settings = replace_fields(settings, listen=listen)
    context = None
    if has_tls:
        authority = Authority(folder, "ours")
        settings = replace_fields(settings, tls=authority.identity("e0"))
        context = create_default_context(cafile=str(authority.file))
        context.check_hostname = False
    file = folder / "daemon.yaml"
    file.write_text(yaml.safe_dump(to_builtins(settings)))
    with (folder / "daemon.log").open("wb") as log_file:
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "sesameford.daemon", "--settings", str(file)),
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log or log_file,
            stderr=log or log_file,
        )
    daemon = Daemon(ip, process, context)
    try:
        async with asyncio.timeout(START_SECONDS):
            await daemon.apply_tree()
        yield daemon
    finally:
        await _stop(process)


async def _stop(process):
    """Stop a process as planned, and kill it if it doesn't end in time."""
    if process.returncode is not None:
        return
    process.terminate()
    try:
        async with asyncio.timeout(STOP_SECONDS):
            await process.wait()
    except TimeoutError:
        process.kill()
        await process.wait()
        raise
