"""A fleet with fault injection: journals of the stand-ins and proxies before some."""

from collections.abc import Callable
from pathlib import Path

from standins.fault_proxy import FaultProxy
from tools.fleet import Fleet
from tools.members import free_ports
from tools.shapes import HOST, Shape


class FaultyFleet(Fleet):
    """A `Fleet` whose stand-ins write journals, with fault proxies before some of them.

    Args:
        shape: Processes of the deployment.
        folder: An empty folder for settings, logs, traces, data and journals.
        is_proxied: Returns whether the target at a position, counted from 0 among
            those of its kind, gets a fault proxy.
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
        fault_arguments = [f"--journal={self.folder / name}.journal"]
        if self._is_proxied(position):
            (proxy_port,) = free_ports(1)
            self.proxies[name] = FaultProxy(HOST, port)
            self._proxy_ports[name] = proxy_port
            fault_arguments.append(f"--announced-url=http://{HOST}:{proxy_port}")
        super()._plan_target(kind, position, port, (*arguments, *fault_arguments))

    async def start(self) -> None:
        """Start the fleet, then the fault proxies."""
        await super().start()
        for name, proxy in self.proxies.items():
            await proxy.start(HOST, self._proxy_ports[name])

    async def reap(self) -> None:
        """Kill the fleet's processes, then stop the fault proxies."""
        await super().reap()
        for proxy in self.proxies.values():
            await proxy.stop()

    def silence(self) -> int:
        """Stop the traffic on all open connections of the proxies without closing them.

        Returns:
            The number of connections silenced.
        """
        return sum(proxy.silence_open_flows() for proxy in self.proxies.values())
