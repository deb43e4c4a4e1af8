"""The callers' port: valid requests are served, invalid ones get a clear error.

The answer to an invalid request names the reason and the outcome "not-run", and no
target has run anything.
"""

import asyncio
import json
from contextlib import asynccontextmanager

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sesameford.verbatim_request import VERBATIM_TARGET_HEADER
from tests.callers_fixture import KEY, CallersPort

GOOD_KEY = {"Authorization": f"Bearer {KEY}"}
FIELDS = ("model", "messages", "content", "role", "stream", "stream_options", "prompt")
PROMPT = {"model": "letters", "prompt": "Hello"}


@asynccontextmanager
async def open_port(**options):
    port = await CallersPort(**options).start()
    try:
        yield port
    finally:
        await port.close()


async def test_an_unstreamed_completion():
    async with open_port() as port:
        answer = await port.client.post(
            "/v1/completions", json=PROMPT, headers=GOOD_KEY
        )
        body = await answer.json()
    assert answer.status == 200
    assert answer.headers["Sesameford-Outcome"] == "ran"
    assert body["choices"][0] == {
        "index": 0,
        "text": "Dear fans",
        "finish_reason": "stop",
    }
    assert body["usage"]["completion_tokens"] == 2


async def test_a_streamed_completion():
    async with open_port() as port:
        answer = await port.client.post(
            "/v1/completions", json={**PROMPT, "stream": True}, headers=GOOD_KEY
        )
        text = await answer.text()
    assert answer.headers["Sesameford-Outcome"] == "ran"
    assert text.endswith("data: [DONE]\n\n")


async def test_a_service_call_keeps_its_path_and_query():
    async with open_port() as port:
        answer = await port.client.get(
            "/services/roster/teams%2Fold?year=2026", headers=GOOD_KEY
        )
        assert await answer.text() == "lookup"
        assert port.counts.calls == ["GET /teams%2Fold?year=2026"]


@pytest.mark.parametrize(
    "target",
    ["/a?", "/a/?", "/a;b?", "/a?x=#", "/a#b", "//a/../b", "/%7e%2F?x=%20+&y=a/b"],
)
async def test_a_service_call_reaches_its_target_byte_for_byte(target):
    """Guards against a URL library that drops an empty query or mends a path."""
    async with open_port() as port:
        reader, writer = await asyncio.open_connection("127.0.0.1", port.client.port)
        lines = [f"GET /services/roster{target} HTTP/1.1", "Host: x"]
        lines += [f"{name}: {value}" for name, value in GOOD_KEY.items()]
        lines += [f"{VERBATIM_TARGET_HEADER.lower()}: /other", "Connection: close"]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        assert (await reader.readline()).split()[1] == b"200"
        await reader.read()
        writer.close()
        assert port.counts.calls == [f"GET {target}"]


BAD = {
    "no key": ({"json": PROMPT}, 401, "no-key"),
    "a wrong key": (
        {"json": PROMPT, "headers": {"Authorization": "Bearer guess"}},
        401,
        "wrong-key",
    ),
    "a suspended customer": (
        {"json": PROMPT, "headers": {"Authorization": "Bearer other"}},
        403,
        "suspended",
    ),
    "an unknown model": (
        {"json": {"model": "none", "prompt": ""}, "headers": GOOD_KEY},
        404,
        "unknown-model",
    ),
    "no model": ({"json": {"prompt": ""}, "headers": GOOD_KEY}, 404, "unknown-model"),
    "a body too large": (
        {"data": b"x" * 200_000, "headers": GOOD_KEY},
        413,
        "body-too-large",
    ),
    "no JSON": ({"data": b"{model", "headers": GOOD_KEY}, 400, "not-json"),
    "deep JSON": ({"data": b"[" * 90_000, "headers": GOOD_KEY}, 400, "not-json"),
    "no object": ({"json": [1], "headers": GOOD_KEY}, 400, "not-json"),
    "a bad deadline": (
        {"json": PROMPT, "headers": {**GOOD_KEY, "Sesameford-Deadline-Seconds": "nan"}},
        400,
        "bad-header",
    ),
    "an idempotency key too long": (
        {"json": PROMPT, "headers": {**GOOD_KEY, "Idempotency-Key": "k" * 256}},
        400,
        "bad-idempotency-key",
    ),
}


@pytest.mark.parametrize("name", BAD)
async def test_bad_input_is_refused_and_nothing_runs(name):
    options, status, reason = BAD[name]
    async with open_port() as port:
        answer = await port.client.post("/v1/completions", **options)
        problem = json.loads(await answer.read())
        assert (answer.status, problem["reason"]) == (status, reason)
        assert answer.headers["Sesameford-Outcome"] == "not-run"
        assert answer.content_type == "application/problem+json"
        assert port.counts.completions == []
        assert port.metrics.refusals.get({"reason": reason}) == 1


async def test_a_wrong_content_length_is_refused():
    """A caller sends fewer bytes than its Content-Length, then closes.

    The truncated body may be valid by chance and would run as another request.
    """
    async with open_port() as port:
        reader, writer = await asyncio.open_connection("127.0.0.1", port.client.port)
        body = json.dumps(PROMPT).encode()
        head = (
            "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
            f"Authorization: Bearer {KEY}\r\nContent-Length: {len(body) + 5}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        writer.write_eof()
        await reader.read()
        writer.close()
        assert port.counts.completions == []
        assert port.router.scheduler.waiting_requests() == 0


async def test_a_slow_body_is_refused():
    """A caller sends its head and then hardly any bytes of its body.

    Many such callers would hold the buffers and sockets that others need.
    """
    async with open_port(body_timeout_seconds=0.05) as port:
        reader, writer = await asyncio.open_connection("127.0.0.1", port.client.port)
        head = (
            "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
            f"Authorization: Bearer {KEY}\r\nContent-Length: 100\r\n\r\n"
        )
        writer.write(head.encode() + b"{")
        answer = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        assert b" 408 " in answer
        assert b"Sesameford-Outcome: not-run" in answer
        assert port.counts.completions == []


async def test_an_unknown_service_is_refused():
    async with open_port() as port:
        answer = await port.client.get("/services/none/x", headers=GOOD_KEY)
        assert (answer.status, (await answer.json())["reason"]) == (
            404,
            "unknown-service",
        )
        assert port.counts.calls == []


async def test_a_stopping_instance_says_not_run():
    async with open_port() as port:
        port.is_open = False
        answer = await port.client.post(
            "/v1/completions", json=PROMPT, headers=GOOD_KEY
        )
        assert (await answer.json())["reason"] == "stopping"
        assert answer.headers["Retry-After"]
        assert port.counts.completions == []


async def test_only_authenticated_customers_list_the_models():
    async with open_port() as port:
        refused = await port.client.get("/v1/models")
        listed = await port.client.get("/v1/models", headers=GOOD_KEY)
        assert refused.status == 401
        assert [row["id"] for row in (await listed.json())["data"]] == ["letters"]


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(FIELDS), inner, max_size=4)
    ),
    max_leaves=8,
)
BODIES = st.binary(max_size=60) | JSON_VALUES.map(
    lambda value: json.dumps(value).encode()
)


async def test_arbitrary_bodies_get_a_valid_answer():
    """A caller with a valid key sends arbitrary bytes.

    Each body gets an answer of the API or a problem document, never an internal
    error.
    """
    bodies = []

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(BODIES)
    def collect(body):
        bodies.append(body)

    collect()
    async with open_port() as port:
        for body in bodies:
            answer = await port.client.post(
                "/v1/chat/completions", data=body, headers=GOOD_KEY
            )
            await answer.read()
            assert answer.status in (200, 400, 404), (body, answer.status)
            assert answer.headers["Sesameford-Outcome"] in ("ran", "not-run")


async def test_a_service_that_requests_backoff_gets_no_more_calls():
    """An overloaded service rejects calls and states for how long.

    All calls were still sent there, some of them twice. A caller whose deadline is
    before the end of the backoff must not wait for it.
    """
    async with open_port() as port:
        port.rejection = {"X-Not-Started": "true", "Retry-After": "1.5"}
        headers = {**GOOD_KEY, "Sesameford-Deadline-Seconds": "1"}
        for _ in range(3):
            answer = await port.client.get("/services/roster/teams", headers=headers)
            assert answer.status == 503
            assert answer.headers["Sesameford-Outcome"] == "not-run"
            assert answer.headers["Retry-After"] == "2"
        assert len(port.counts.calls) == 1
        port.rejection = None
        await asyncio.sleep(1.5)
        port.router.tick()
        answer = await port.client.get("/services/roster/teams", headers=headers)
        assert answer.status == 200


async def test_a_caller_waits_for_the_end_of_a_backoff_that_its_deadline_allows():
    async with open_port() as port:
        port.rejection = {"X-Not-Started": "true", "Retry-After": "0.3"}
        asking = asyncio.create_task(
            port.client.get("/services/roster/teams", headers=GOOD_KEY)
        )
        await asyncio.sleep(0.1)
        port.rejection = None
        await asyncio.sleep(0.4)
        port.router.tick()
        assert (await asking).status == 200
        assert len(port.counts.calls) == 2
