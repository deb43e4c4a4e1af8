"""Starts and stops daemons and stand-ins as plain processes on loopback.

The demo and the benchmarks start their processes through this module, since a daemon
starts no process itself. Every process that the module ends is its own child and is
ended by its process id.
"""

import asyncio
import os
import signal
import sys
from collections.abc import Iterator, Mapping, Sequence
from contextlib import suppress
from pathlib import Path
from types import TracebackType
from typing import Any

import yaml
from aiohttp import ClientError, ClientSession, ClientTimeout

from tools.members import Keys, Member, digest_of, free_ports
from tools.relay import Relay
from tools.shapes import HOST, OPERATOR, ROOT, Shape

_READY_TIMEOUT_SECONDS = 40.0
_STOP_TIMEOUT_SECONDS = 20.0
_POLL_INTERVAL_SECONDS = 0.1
_OPEN_WORK_METRICS = ("sesameford_waiting_requests", "sesameford_running_attempts")


class FleetError(Exception):
    """A process of the fleet ended, failed or did not become ready in time."""


class Fleet:
    """The daemons, stand-ins and relays between data centres of one run.

    Args:
        shape: Processes of the deployment.
        folder: An empty folder for settings, logs, traces and data.
    """

    def __init__(self, shape: Shape, folder: Path) -> None:
        self.shape = shape
        self.folder = folder
        self.keys = Keys()
        self.instances: dict[str, Member] = {}
        self.targets: dict[str, Member] = {}
        self._relays: dict[tuple[str, str], Relay] = {}
        self._relay_ports: dict[tuple[str, str], int] = {}
        self._peer_addresses: dict[str, str] = {}
        self.exit_codes: dict[str, int] = {}

    async def __aenter__(self) -> "Fleet":
        try:
            await self.start()
        except BaseException:
            await self.reap()
            raise
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.reap()

    @property
    def environment(self) -> Mapping[str, str]:
        """Return the environment variables of every process."""
        return os.environ | {"PYTHONPATH": str(ROOT)}

    @property
    def operators_file(self) -> Path:
        """Return the file with the operator's key, for ``sesamefordctl --key-file``."""
        return self.folder / "operator.key"

    async def start(self) -> None:
        """Write all settings, then start the relays and all processes."""
        self.folder.mkdir(parents=True, exist_ok=True)
        _write_secret(self.folder / "shared.key", self.keys.shared)
        _write_secret(self.operators_file, self.keys.operator)
        self._plan_instances()
        self._plan_relays()
        for relay in self._relays.values():
            await relay.start()
        for member in self.instances.values():
            self._write_settings(member)
        self._plan_targets()
        for member in self.members():
            await self.launch(member)

    def members(self) -> Iterator[Member]:
        """Yield every daemon, then every stand-in."""
        yield from self.instances.values()
        yield from self.targets.values()

    async def launch(self, member: Member) -> None:
        """Start a member's process."""
        with member.log_file.open("ab") as log:
            member.process = await asyncio.create_subprocess_exec(
                *member.command,
                cwd=ROOT,
                env=self.environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def wait_up(self) -> None:
        """Wait until every instance answers ``/healthz``; none is ready without a tree.

        Raises:
            FleetError: An instance ended or did not answer in time; the text names
                its log file.
        """
        await self._wait_for_page(list(self.instances.values()), "healthz")

    async def wait_ready(self, members: Sequence[Member] | None = None) -> None:
        """Wait until ``/readyz`` of some instances, by default all, answers with 200.

        Raises:
            FleetError: An instance ended or was not ready in time; the text names
                its log file.
        """
        await self._wait_for_page(members or list(self.instances.values()), "readyz")

    async def _wait_for_page(self, members: Sequence[Member], page: str) -> None:
        """Wait until a page of each member answers with 200."""
        async with ClientSession(timeout=ClientTimeout(total=2)) as session:
            for member in members:
                await self._wait_for_member(session, member, page)

    async def _wait_for_member(
        self, session: ClientSession, member: Member, page: str
    ) -> None:
        """Wait until a page of one member answers with 200."""
        deadline = asyncio.get_running_loop().time() + _READY_TIMEOUT_SECONDS
        last_answer = "nothing"
        while asyncio.get_running_loop().time() < deadline:
            if not member.alive:
                raise FleetError(f"{member.member_id} ended, see {member.log_file}")
            try:
                async with session.get(f"{member.url}/{page}") as response:
                    if response.status == 200:
                        return
                    last_answer = f"{response.status} {(await response.text())[:200]}"
            except (ClientError, TimeoutError, OSError) as error:
                last_answer = str(error)
            await asyncio.sleep(_POLL_INTERVAL_SECONDS)
        raise FleetError(
            f"{member.member_id}: /{page} answered {last_answer}, see {member.log_file}"
        )

    async def kill(self, member: Member) -> None:
        """Kill a process with SIGKILL, as a crash would end it."""
        if member.alive:
            assert member.process is not None
            member.process.kill()
            await member.process.wait()

    async def stop(self, member: Member) -> int:
        """Stop a process with SIGTERM, or SIGKILL if it does not end in time.

        Returns:
            Its exit code; -9 if it was killed.
        """
        assert member.process is not None
        if member.alive:
            member.process.send_signal(signal.SIGTERM)
        try:
            code = await asyncio.wait_for(member.process.wait(), _STOP_TIMEOUT_SECONDS)
        except TimeoutError:
            await self._log_open_work(member)
            await self.kill(member)
            code = -signal.SIGKILL
        self.exit_codes[member.member_id] = code
        return code

    async def _log_open_work(self, member: Member) -> None:
        """Append the open requests of a member that does not stop to its log file."""
        open_work = "nothing to be read"
        with suppress(ClientError, TimeoutError, OSError):
            async with (
                ClientSession(timeout=ClientTimeout(total=2)) as session,
                session.get(f"{member.url}/metrics") as response,
            ):
                page = (await response.text()).splitlines()
                open_work = "; ".join(
                    line for line in page if line.startswith(_OPEN_WORK_METRICS)
                )
        with member.log_file.open("a", encoding="utf-8") as log:
            log.write(f"did not stop within {_STOP_TIMEOUT_SECONDS:g} s; {open_work}\n")

    async def stop_all(self) -> Mapping[str, int]:
        """Stop the targets, then the instances, gracefully.

        Returns:
            The exit codes of all members stopped so far, by member id.
        """
        for group in (self.targets, self.instances):
            alive = [member for member in group.values() if member.alive]
            await asyncio.gather(*(self.stop(member) for member in alive))
        return self.exit_codes

    async def restart_empty(self, member: Member, down_seconds: float) -> None:
        """Kill a member and start it again; only its files on disk survive."""
        await self.kill(member)
        await asyncio.sleep(down_seconds)
        await self.launch(member)

    async def cut(self, data_centre: str) -> None:
        """Partition a data centre from all others; connections stay open but silent."""
        for relay in self._relays_of(data_centre):
            relay.cut()
        for target in self.targets.values():
            inside = target.data_centre == data_centre
            separated_ids = [
                member.member_id
                for member in self.instances.values()
                if (member.data_centre == data_centre) != inside
            ]
            await self._post_faults(target, {"cut_off": separated_ids})

    async def heal(self, data_centre: str) -> None:
        """End the partition of a data centre."""
        for relay in self._relays_of(data_centre):
            relay.heal()
        for target in self.targets.values():
            await self._post_faults(target, {"cut_off": []})

    async def _post_faults(self, target: Member, faults: Mapping[str, Any]) -> None:
        """Set the faults that a stand-in injects."""
        async with (
            ClientSession() as session,
            session.post(f"{target.url}/faults", json=faults),
        ):
            pass

    def instances_in(self, data_centre: str) -> Sequence[Member]:
        """Return the instances of a data centre."""
        return [
            member
            for member in self.instances.values()
            if member.data_centre == data_centre
        ]

    async def reap(self) -> None:
        """Kill all processes that still run and stop the relays."""
        for member in self.members():
            await self.kill(member)
        for relay in self._relays.values():
            await relay.stop()

    def _relays_of(self, data_centre: str) -> Iterator[Relay]:
        """Yield the relays that lead into or out of a data centre."""
        for (source, destination_id), relay in self._relays.items():
            leads_into = self.instances[destination_id].data_centre == data_centre
            if source == data_centre or leads_into:
                yield relay

    def _plan_instances(self) -> None:
        """Choose names, data centres and ports of the daemons."""
        ports = iter(free_ports(3 * self.shape.instances))
        data_centres = self.shape.data_centres
        for position in range(self.shape.instances):
            data_centre = data_centres[position % len(data_centres)]
            member_id = f"r{position + 1}-{data_centre}"
            settings_file = self.folder / f"{member_id}.yaml"
            self.instances[member_id] = Member(
                member_id=member_id,
                kind="instance",
                data_centre=data_centre,
                command=(
                    sys.executable,
                    "-m",
                    "sesameford.daemon",
                    "--settings",
                    str(settings_file),
                ),
                log_file=self.folder / f"{member_id}.log",
                url=f"http://{HOST}:{next(ports)}",
                operators_url=f"http://{HOST}:{next(ports)}",
            )
            self._peer_addresses[member_id] = f"{HOST}:{next(ports)}"

    def _plan_relays(self) -> None:
        """Plan a relay to each instance from each other data centre."""
        pairs = [
            (source, member)
            for member in self.instances.values()
            for source in self.shape.data_centres
            if source != member.data_centre
        ]
        for port, (source, member) in zip(free_ports(len(pairs)), pairs, strict=True):
            host, peer_port = self._peer_addresses[member.member_id].split(":")
            self._relays[source, member.member_id] = Relay(
                HOST, port, (host, int(peer_port)), self.shape.one_way_seconds
            )
            self._relay_ports[source, member.member_id] = port

    def _write_settings(self, member: Member) -> None:
        """Write the settings file of a daemon."""
        replicas = list(self.instances)[: self.shape.replicas]
        member_id = member.member_id
        settings: dict[str, Any] = {
            "instance_id": member_id,
            "data_centre": member.data_centre,
            "listen": {
                "callers": member.url.removeprefix("http://"),
                "operators": member.operators_url.removeprefix("http://"),
                "peers": self._peer_addresses[member_id],
            },
            "peers": [
                {
                    "instance_id": peer.member_id,
                    "data_centre": peer.data_centre,
                    "peers": self._address_from(member.data_centre, peer),
                    "has_disk": peer.member_id in replicas,
                    "is_hub": self._is_hub(peer),
                }
                for peer in self.instances.values()
                if peer is not member and self._are_linked(member, peer)
            ],
            "is_hub": self._is_hub(member),
            "operators": [
                {"name": OPERATOR, "key_digest": digest_of(self.keys.operator)}
            ],
            "shared_key_file": str(self.folder / "shared.key"),
            "platform_key_digest": digest_of(self.keys.platform),
            "logging": {"level": "INFO", "format": "json"},
            "tracing": {"file": str(self.folder / f"{member_id}.spans.jsonl")},
        }
        if member_id in replicas:
            data_folder = self.folder / f"{member_id}.data"
            data_folder.mkdir()
            settings["data_folder"] = str(data_folder)
        file = self.folder / f"{member_id}.yaml"
        file.write_text(yaml.safe_dump(settings, sort_keys=False), encoding="utf-8")

    def _is_hub(self, member: Member) -> bool:
        """Return whether an instance is a hub: the first one of its data centre is."""
        return (
            self.shape.has_hubs and self.instances_in(member.data_centre)[0] is member
        )

    def _are_linked(self, one: Member, other: Member) -> bool:
        """Return whether two instances have a direct link."""
        if not self.shape.has_hubs:
            return True
        hubs = self._is_hub(one) + self._is_hub(other)
        return hubs == 2 or (hubs == 1 and one.data_centre == other.data_centre)

    def _address_from(self, data_centre: str, peer: Member) -> str:
        """Return the address at which an instance in a data centre reaches a peer."""
        if peer.data_centre == data_centre:
            return self._peer_addresses[peer.member_id]
        return f"{HOST}:{self._relay_ports[data_centre, peer.member_id]}"

    def _plan_targets(self) -> None:
        """Choose names, data centres and ports of the stand-ins."""
        shape = self.shape
        ports = iter(free_ports(shape.engines + shape.services))
        for position in range(shape.engines):
            arguments: tuple[str, ...] = (
                f"--models={','.join(shape.models)}",
                f"--capacity={shape.engine_slots}",
                f"--tokens-per-second={shape.tokens_per_second}",
            )
            self._plan_target("engine", position, next(ports), arguments)
        for position in range(shape.services):
            arguments = (
                f"--serves={','.join(shape.service_names)}",
                f"--capacity={shape.service_slots}",
            )
            self._plan_target("service", position, next(ports), arguments)

    def _plan_target(
        self, kind: str, position: int, port: int, arguments: tuple[str, ...]
    ) -> None:
        """Plan one stand-in, which announces itself in its own data centre."""
        data_centre = self.shape.data_centres[position % len(self.shape.data_centres)]
        member_id = f"{kind}{position + 1}-{data_centre}"
        announce_urls = [
            member.operators_url for member in self.instances_in(data_centre)
        ]
        self.targets[member_id] = Member(
            member_id=member_id,
            kind=kind,
            data_centre=data_centre,
            command=(
                sys.executable,
                "-m",
                f"standins.{kind}",
                f"--port={port}",
                f"--target-id={member_id}",
                f"--data-centre={data_centre}",
                f"--platform-key={self.keys.platform}",
                "--announce",
                *announce_urls,
                *arguments,
            ),
            log_file=self.folder / f"{member_id}.log",
            url=f"http://{HOST}:{port}",
        )


def _write_secret(file: Path, secret: str) -> None:
    """Write a key to a file that only this user can read."""
    file.touch(mode=0o600)
    file.write_text(secret + "\n", encoding="utf-8")
