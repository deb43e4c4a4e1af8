"""Decoding and encoding of the platform's settings, configurations and headers."""

import json

import pytest

from sesameford.errors import SettingsError
from sesameford.gateway.calls import BadCallError, SendAttempt
from sesameford.operators_http import digest_of_key
from sesameford.tree import DeclaredTree, effective_tree
from sesameford_platform.boot import daemon_settings, read_boot
from sesameford_platform.configurations import (
    BadConfigurationError,
    read_configuration,
)
from sesameford_platform.settings_watch import make_settings_watch
from sesameford_platform.wire_adapter import make_wire_adapter

BOOT = """
node_name = "front-1"
role = "router"
serves = ["front"]
ip = "10.1.0.33"
zone = "hall"
internal_port_range = [7400, 7415]
seeds = ["10.1.0.36:8785", "10.2.0.21:8785"]
bootstrap = true
heartbeat_interval_ms = 1200
a_field_of_tomorrow = 7
[listen]
front = "10.1.0.33:8783"
ready = "10.1.0.33:8780"
[bounds]
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 56
"""
ROUTE = {
    "name": "r-1",
    "host": "h.example",
    "path_prefix": "/a/",
    "route_type": "stream",
    "timeout_ms": 12000,
    "target_latency_ms": 600,
    "priority": 1,
    "service": "pool",
    "max_attempts": 2,
    "allow_anonymous": False,
    "session_affinity": True,
    "stream_resume": True,
    "gap_target_ms": 200,
}
CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE],
    "services": [
        {
            "name": "pool",
            "health_path": "/health",
            "max_connections": 240,
            "protocol": "h1",
            "engine": {"slots": 32, "kv_capacity_tokens": 661046, "stride": 7},
        },
        {"name": "desk", "max_connections": 110},
    ],
    "limits": {"max_body_bytes": 4194304, "tokens_per_s": 320000},
    "tenants": [{"name": "club", "api_keys": ["k1", "k2"], "priority": 1}],
}


def configuration_with(**fields):
    return {**CONFIGURATION, **fields}


def declare_configuration(configuration):
    return read_configuration(json.dumps(configuration).encode(), 1.0)


def test_settings_file_becomes_daemon_settings(tmp_path):
    file = tmp_path / "boot.toml"
    file.write_text(BOOT)
    settings = daemon_settings(read_boot(file))
    assert settings.instance_id == "front-1"
    assert settings.listen.peers == "10.1.0.33:7400"
    assert settings.seeds == ("10.1.0.36:7400", "10.2.0.21:7400")
    assert settings.founds
    assert settings.data_folder is None
    assert settings.retry_budget.spare_requests == 56
    assert settings.target_beat_seconds == 1.2


@pytest.mark.parametrize("text", ["", "node_name = ", BOOT.replace("ip = ", "up = ")])
def test_invalid_settings_files_are_refused(tmp_path, text):
    file = tmp_path / "boot.toml"
    file.write_text(text)
    with pytest.raises(SettingsError):
        read_boot(file)


def test_a_changed_settings_file_is_applied_and_a_broken_one_is_ignored(tmp_path):
    """The file is replaced while the process runs, once by a truncated file."""
    file = tmp_path / "boot.toml"
    file.write_text(BOOT)
    reported_settings = []
    watch = make_settings_watch(file, read_boot(file), reported_settings.append)
    watch.read()
    assert reported_settings == []
    file.write_text(BOOT.replace("10.2.0.21", "10.2.0.99"))
    watch.read()
    assert reported_settings[-1].seeds == ("10.1.0.36:7400", "10.2.0.99:7400")
    file.write_text(BOOT[:100])
    watch.read()
    assert len(reported_settings) == 1


def test_a_configuration_becomes_a_declaration():
    declaration = declare_configuration(CONFIGURATION)
    assert declaration.version == 7
    assert json.loads(declaration.text) == CONFIGURATION
    tree = effective_tree(DeclaredTree(declaration.nodes), 1)
    route = tree.routes["r-1"]
    assert (route.timeout_seconds, route.objective_seconds) == (12.0, 0.6)
    assert route.is_stream
    assert route.resumable
    assert not route.repeatable
    assert route.backends[0].service == "pool"
    assert tree.services["pool"].batch_slots == 32
    assert tree.services["desk"].batch_slots is None
    assert tree.customer_ids_by_digest[digest_of_key("k2")] == "club"
    assert tree.fleet.tokens_per_second == 320_000


def test_the_tree_contains_keys_as_digests_only():
    nodes = declare_configuration(CONFIGURATION).nodes
    assert not any(b"k1" in node for node in nodes.values())


@pytest.mark.parametrize(
    "configuration",
    [
        configuration_with(routes=[{**ROUTE, "service": "nobody"}]),
        configuration_with(
            routes=[{**ROUTE, "traffic_split": [{"service": "nobody", "weight": 1}]}]
        ),
        configuration_with(
            routes=[{**ROUTE, "traffic_split": [{"service": "pool", "weight": 0}]}]
        ),
        configuration_with(routes=[ROUTE, {**ROUTE, "name": "r-2"}]),
        configuration_with(routes=[ROUTE, {**ROUTE, "path_prefix": "/b/"}]),
        configuration_with(
            routes=[
                {
                    **ROUTE,
                    "service": None,
                    "traffic_split": [{"service": "pool", "weight": 0}],
                }
            ]
        ),
        configuration_with(routes=[{**ROUTE, "timeout_ms": 0}]),
        configuration_with(
            tenants=[
                {"name": "a", "api_keys": ["k"]},
                {"name": "b", "api_keys": ["k"]},
            ]
        ),
        {"version": 7},
        configuration_with(version="seven"),
    ],
)
def test_a_configuration_that_is_not_valid_is_refused(configuration):
    with pytest.raises(BadConfigurationError):
        declare_configuration(configuration)


def test_a_route_may_name_a_service_and_a_split():
    split = [{"service": "desk", "weight": 1}, {"service": "pool", "weight": 0}]
    declaration = declare_configuration(
        configuration_with(routes=[{**ROUTE, "traffic_split": split}])
    )
    tree = effective_tree(DeclaredTree(declaration.nodes), 1)
    assert [one.service for one in tree.routes["r-1"].backends] == ["pool"]


def test_a_truncated_configuration_is_refused():
    text = json.dumps(CONFIGURATION).encode()
    for cut in (0, 1, len(text) // 2, len(text) - 1):
        with pytest.raises(BadConfigurationError):
            read_configuration(text[:cut], 1.0)


def headers(**more):
    return {"Host": "h.example:80", "X-Sesameford-Attempt-Id": "i", **more}


def read_call_with(fields):
    return make_wire_adapter().read_call("POST", "/a/b?c", fields, list(fields.items()))


def test_a_call_is_decoded():
    call = read_call_with(
        headers(
            **{
                "X-Sesameford-Deadline-Ms": "1500",
                "X-Sesameford-Token-Usage": "1460,80",
                "X-Sesameford-Prompt-Prefix": "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
                "X-Sesameford-Length-Hint": "40",
                "Authorization": "Bearer key",
                "Connection": "close, X-Private",
                "X-Private": "1",
            }
        )
    )
    assert (call.host, call.path, call.key) == ("h.example", "/a/b", "key")
    assert call.caller_timeout_seconds == 1.5
    assert call.prompt.prompt_tokens == 1460
    assert call.prompt.cost_tokens == 1540
    assert [part.tokens for part in call.prompt.shared_parts] == [800, 410]
    names = {name for name, _ in call.headers}
    assert "X-Private" not in names
    assert "Authorization" not in names
    assert "X-Sesameford-Prompt-Prefix" in names


@pytest.mark.parametrize(
    "fields",
    [
        {"Host": "h"},
        headers(**{"X-Sesameford-Deadline-Ms": "soon"}),
        headers(**{"X-Sesameford-Deadline-Ms": "-1"}),
        headers(**{"X-Sesameford-Token-Usage": "many"}),
        headers(
            **{
                "X-Sesameford-Token-Usage": "1,1",
                "X-Sesameford-Prompt-Prefix": "xyz:1",
            }
        ),
    ],
)
def test_invalid_headers_are_refused(fields):
    with pytest.raises(BadCallError):
        read_call_with(fields)


def test_headers_to_a_target_and_of_its_answer():
    adapter = make_wire_adapter()
    call = read_call_with(headers())
    sent = dict(adapter.sent_headers(call, SendAttempt("i-7", "club", "4")))
    assert "X-Sesameford-Deadline-Ms" not in sent
    assert adapter.deadline_header(1.25) == ("X-Sesameford-Deadline-Ms", "1250")
    assert sent["X-Sesameford-Expect-Instance"] == "i-7"
    assert sent["X-Sesameford-Tenant"] == "club"
    assert sent["Last-Event-Id"] == "4"
    assert "Kv-Fetch" not in sent
    copying = SendAttempt("i-7", "club", None, "10.0.0.9:80")
    assert dict(adapter.sent_headers(call, copying))["Kv-Fetch"] == "10.0.0.9:80"
    head = adapter.read_answer(503, [("x-sesameford-not-executed", "1")])
    assert head.not_run
    assert adapter.read_answer(421, []).is_other_target


@pytest.mark.parametrize(
    ("status", "text", "retry_after_seconds", "is_unreadable"),
    [
        (503, "3", 3.0, False),
        (503, " 1.25 ", 1.25, False),
        (503, "0", 0.0, False),
        (503, None, None, False),
        (429, "3", None, False),
        (200, "3", None, False),
        (503, "soon", None, True),
        (503, "", None, True),
        (503, "-1", None, True),
        (503, "nan", None, True),
        (503, "inf", None, True),
        (503, "1_0", None, True),
        (503, "9" * 400, None, True),
        (503, "Thu, 03 Dec 2026 16:00:00 GMT", None, True),
    ],
)
def test_a_retry_after_of_a_target_is_read(
    status, text, retry_after_seconds, is_unreadable
):
    headers = [] if text is None else [("retry-after", text)]
    head = make_wire_adapter().read_answer(status, headers)
    assert head.retry_after_seconds == retry_after_seconds
    assert head.unreadable_retry_after == (text if is_unreadable else None)


def test_a_leaving_target_is_recognized():
    read_answer = make_wire_adapter().read_answer
    assert read_answer(200, [("Server-Leaving", "1")]).is_draining
    assert not read_answer(200, [("Server-Leaving", "0")]).is_draining
    assert not read_answer(200, []).is_draining
