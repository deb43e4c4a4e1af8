"""Configurations of a small deployment, as the operator's pages show them."""

import json

from small_fleet import HOST, KEY, TENANT

POOL, DESK = "huvo11a", "wuno96b"


def make_config(
    version: int, more_routes: int = 0, *, changes: dict[str, dict] | None = None
) -> bytes:
    """Return a configuration.

    Args:
        version: Its version.
        more_routes: How many routes it has beside those of the customers.
        changes: Fields of routes, by the name of the route, that differ.
    """
    routes = [
        _route("long", "/long/", "stream", 12000, POOL, gap_target_ms=200),
        _route(
            "reply",
            "/reply/",
            "stream",
            10000,
            POOL,
            gap_target_ms=200,
            stream_resume=True,
            max_attempts=2,
        ),
        _route("permit", "/permit/", "unsafe", 2500, DESK, priority=2),
        _route("lookup", "/lookup/", "safe", 2500, DESK, priority=2, max_attempts=2),
    ]
    for route in routes:
        route.update((changes or {}).get(route["name"], {}))
    # Each version changes something in each of these, as versions do on the pages.
    routes += [
        _route(
            f"r-{number:04d}idle",
            f"/idle{number:04d}/",
            "safe",
            1000 + (version + number) % 500,
            DESK,
        )
        for number in range(more_routes)
    ]
    engine = {
        "slots": 64,
        "kv_capacity_tokens": 527652,
        "kv_token_bytes": 327680,
        "link_mbps": 1100000.0,
        "models": [{"name": "m"}],
    }
    return json.dumps(
        {
            "version": version,
            "routes": routes,
            "services": [
                {
                    "name": POOL,
                    "health_path": "/health",
                    "max_connections": 360,
                    "protocol": "h1",
                    "tls": False,
                    "engine": engine,
                },
                {
                    "name": DESK,
                    "health_path": "/health",
                    "max_connections": 96,
                    "protocol": "h1",
                    "tls": False,
                },
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
                "tokens_per_s": 240000,
            },
            "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
        },
        separators=(",", ":"),
    ).encode()


def _route(
    name: str, prefix: str, kind: str, timeout_ms: int, service: str, **fields: object
) -> dict:
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 400,
        "priority": 1,
        "service": service,
        "max_attempts": 1,
        "allow_anonymous": False,
        "session_affinity": kind == "stream",
        "stream_resume": False,
        **fields,
    }
