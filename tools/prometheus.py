"""Reads the metrics that an instance shows."""

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
        """Yield labels and value of each row of a metric."""
        for line in self.text.splitlines():
            if not line.startswith(name):
                continue
            match = _ROW.match(line)
            if match and match[1] == name:
                yield dict(_LABEL.findall(match[2] or "")), float(match[3])

    def total(self, name: str) -> float:
        """Return the sum of all rows of a metric."""
        return sum(value for _, value in self.rows(name))


async def read_metrics(session: ClientSession, url: str) -> Metrics:
    """Return the metrics of the instance whose callers' address is given."""
    async with session.get(f"{url}/metrics") as response:
        return Metrics(await response.text())
