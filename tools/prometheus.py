"""Reads and parses the Prometheus metrics page of an instance."""

import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from aiohttp import ClientSession

_ROW = re.compile(r"^(\w+)(?:\{(.*)\})? (\S+)$")
_LABEL = re.compile(r'(\w+)="((?:[^"\\]|\\.)*)"')


@dataclass(frozen=True, slots=True)
class Metrics:
    """The text of a metrics page."""

    text: str

    def rows(self, name: str) -> Iterator[tuple[Mapping[str, str], float]]:
        """Yield the labels and the value of each sample of a metric."""
        for line in self.text.splitlines():
            if not line.startswith(name):
                continue
            match = _ROW.match(line)
            if match and match[1] == name:
                yield dict(_LABEL.findall(match[2] or "")), float(match[3])

    def total(self, name: str) -> float:
        """Return the sum of all samples of a metric."""
        return sum(value for _, value in self.rows(name))


async def read_metrics(session: ClientSession, url: str) -> Metrics:
    """Return the metrics of an instance.

    Args:
        session: HTTP client session.
        url: Base URL of the instance's listener for callers.
    """
    async with session.get(f"{url}/metrics") as response:
        return Metrics(await response.text())
