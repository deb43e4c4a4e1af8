"""Counts and timing of the stand-ins, which the bench and other tests rely on."""

from argparse import Namespace

from aiohttp.test_utils import TestClient, TestServer
from hypothesis import given, settings
from hypothesis import strategies as st

from standins.batch import Batch, LaggingLoad, PrefixCache
from standins.engine import Engine
from standins.marks import answer_text, read_marks
from standins.service import Service


@settings(derandomize=True, max_examples=60)
@given(
    st.lists(st.tuples(st.integers(0, 500), st.integers(1, 60)), max_size=12),
    st.integers(1, 4),
)
def test_a_batch_runs_everything_once_and_never_over_capacity(runs, capacity):
    batch = Batch(capacity, tokens_per_second=100.0)
    for position, (uncached, output) in enumerate(runs):
        batch.submit(str(position), uncached, output, 0.0)
    finished: dict[str, int] = {}
    now_seconds = 0.0
    while (due_seconds := batch.next_due_seconds()) is not None:
        now_seconds = max(now_seconds, due_seconds)
        for progress in batch.advance(now_seconds):
            if progress.finished:
                assert progress.attempt_id not in finished
                finished[progress.attempt_id] = progress.output_tokens
        assert batch.running <= capacity
    assert finished == {str(n): output for n, (_, output) in enumerate(runs)}
    needed = sum(uncached / 20_000 + output / 100 for uncached, output in runs)
    assert abs(batch.busy_slot_seconds - needed) < 1e-6


def test_a_cancelled_run_frees_its_slot():
    batch = Batch(1, tokens_per_second=10.0)
    batch.submit("a", 0, 1000, 0.0)
    batch.submit("b", 0, 10, 0.0)
    assert batch.cancel("a", 1.0)
    assert not batch.cancel("a", 1.0)
    assert batch.advance(2.0)[-1].attempt_id == "b"


def test_a_prefix_is_cached_until_evicted_and_events_come_late_with_gaps():
    cache = PrefixCache(capacity_blocks=4, event_lag_seconds=1.0)
    assert cache.use("x" * 128, 0.0) == 0
    assert cache.use("x" * 128, 0.0) == 32
    assert cache.events(0, 0.5) == []
    for letter in "abcdefgh":
        cache.use(letter * 128, 1.0)
    assert cache.use("x" * 128, 1.0) == 0
    sequences = [event.sequence for event in cache.events(0, 9.0)]
    assert 9 in sequences
    assert 10 not in sequences


def test_a_load_report_lags():
    load = LaggingLoad(lag_seconds=1.0)
    for tenth in range(30):
        load.record(tenth, 0, tenth / 10)
    running, _, age = load.report(2.9)
    assert running == 19
    assert 0.99 < age < 1.11


def _engine_options(**changes):
    options = {
        "models": "m1",
        "capacity": 2,
        "tokens_per_second": 5_000.0,
        "prompt_tokens_per_second": 1e6,
        "event_seconds": 0.001,
        "cache_blocks": 64,
        "load_lag_seconds": 0.0,
        "waiting_limit": 8,
        "checks_fencing": True,
        "load_seconds": 0.0,
    }
    return Namespace(**(options | changes))


async def test_an_engine_streams_resumes_counts_and_checks_fencing():
    async with TestClient(TestServer(Engine(_engine_options()).make_app())) as client:
        body = {"model": "m1", "prompt": "#mark=q7 #tokens=37 #customer=c1"}
        headers = {"X-Attempt-Id": "t1"}
        response = await client.post("/v1/completions", json=body, headers=headers)
        whole = await response.text()
        assert whole.endswith("data: [DONE]\n\n")
        assert "q7:36 " in whole
        events = whole.split("\n\n")
        resumed = await client.get("/v1/streams/t1", headers={"Last-Event-ID": "0"})
        assert await resumed.text() == "\n\n".join(events[1:])
        again = await client.post("/v1/completions", json=body, headers=headers)
        assert again.status == 409
        counts = await (await client.get("/counts")).json()
        assert counts["marks"] == {"q7": {"started": 1, "completed": 1}}
        assert counts["service"]["c1"]["output_tokens"] == 37
        refused = await client.post(
            "/v1/completions", json={"model": "m1", "prompt": "#refuse"}
        )
        assert (refused.status, refused.headers["X-Not-Started"]) == (503, "true")
        order = {"order_id": "o1", "kind": "load", "subject": "m2"}
        done = await client.post("/orders", json=order | {"fencing_number": 5})
        assert done.status == 200
        old = {"order_id": "o2", "kind": "unload", "subject": "m1", "fencing_number": 4}
        late = await client.post("/orders", json=old)
        assert (late.status, late.headers["X-Refused"]) == (409, "fencing")


async def test_a_service_echoes_and_counts_each_mailing():
    service = Service(Namespace(capacity=2, waiting_limit=4))
    async with TestClient(TestServer(service.make_app())) as client:
        answer = await client.post("/mailing?mark=m1&customer=c1", data="hello")
        assert (await answer.json())["body"] == "hello"
        await client.post("/faults", json={"refuse_next": 1})
        refused = await client.get("/roster?mark=m2")
        assert refused.headers["X-Not-Started"] == "true"
        counts = await (await client.get("/counts")).json()
        assert counts["mailings"] == ["m1"]
        assert counts["marks"] == {"m1": {"started": 1, "completed": 1}}


def test_marks_name_the_request_and_its_answer():
    marks = read_marks("#tokens=3 #crash and text", None)
    assert marks.output_tokens == 3
    assert marks.flags == {"crash"}
    assert len(marks.mark) == 12
    assert answer_text("k", 1, 3) == "k:1 k:2 "
