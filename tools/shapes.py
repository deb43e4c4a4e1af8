"""Shapes of the deployments of the demo and the benchmarks."""

from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
OPERATOR = "demo"


@dataclass(frozen=True, slots=True)
class Shape:
    """The processes of a deployment.

    Instances and targets are assigned to the data centres round-robin; the first
    ``replicas`` instances are replicas. ``engine_slots`` and ``service_slots`` are the
    parallel requests of one target, ``one_way_seconds`` is the delay between data
    centres.
    """

    name: str
    data_centres: tuple[str, ...]
    instances: int
    replicas: int
    engines: int
    services: int
    models: tuple[str, ...] = ("letters",)
    service_names: tuple[str, ...] = ("roster",)
    one_way_seconds: float = 0.001
    engine_slots: int = 8
    tokens_per_second: float = 200.0
    service_slots: int = 8
    has_hubs: bool = False


DESK = Shape("desk", ("a", "b", "c"), 8, 3, 9, 3, one_way_seconds=0.0012)
CONSORTIUM = Shape(
    "consortium",
    ("a", "b", "c", "d"),
    8,
    5,
    6,
    4,
    models=("summaries",),
    service_names=("records",),
    one_way_seconds=0.0005,
)
