"""A fleet whose stand-ins keep journals; some stand behind fault proxies."""

from collections.abc import Callable
from pathlib import Path

from standins.fault_proxy import FaultProxy
from tools.fleet import Fleet
from tools.members import free_ports
from tools.shapes import HOST, Shape


class FaultyFleet(Fleet):
    """Starts what `Fleet` starts, with faults to hand.

    Args:
        shape: What to start.
        folder: An empty folder; the journals stand there too.
        is_proxied: Whether the target at a position of its kind gets a proxy.
    """

    def __init__(
        self,
        shape: Shape,
        folder: Path,
        is_proxied: Callable[[int], bool] = lambda position: position % 3 == 0,
    ) -> None:
        super().__init__(shape, folder)
        self.proxies: dict[str, FaultProxy] = {}
        self._is_proxied = is_proxied
        self._proxy_ports: dict[str, int] = {}

    def _plan_target(
        self, kind: str, position: int, port: int, arguments: tuple[str, ...]
    ) -> None:
        name = f"{kind}{position + 1}"
        more = [f"--journal={self.folder / name}.journal"]
        if self._is_proxied(position):
            (proxy_port,) = free_ports(1)
            self.proxies[name] = FaultProxy(HOST, port)
            self._proxy_ports[name] = proxy_port
            more.append(f"--announced-url=http://{HOST}:{proxy_port}")
        super()._plan_target(kind, position, port, (*arguments, *more))

    async def start(self) -> None:
        """Start the proxies besides."""
        await super().start()
        for name, proxy in self.proxies.items():
            await proxy.start(HOST, self._proxy_ports[name])

    async def reap(self) -> None:
        """End the proxies besides."""
        await super().reap()
        for proxy in self.proxies.values():
            await proxy.stop()

    def silence(self) -> int:
        """Let all open connections to the targets behind proxies go silent."""
        return sum(proxy.silence_open_flows() for proxy in self.proxies.values())
