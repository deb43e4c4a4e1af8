"""Orders to engines: which are needed, when a model is unloaded, ids and retries."""

import asyncio
from dataclasses import replace
from hashlib import sha256

from aiohttp import ClientSession, web
from aiohttp.test_utils import TestServer
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace as replace_fields

from sesameford.effective import EffectiveTree, TargetSettings
from sesameford.errors import NoQuorumError
from sesameford.messages import ModelUse
from sesameford.order_service import OrderDeps, make_order_service
from sesameford.orders import (
    RETRY_DELAY_SECONDS,
    Order,
    OrderKind,
    OrderTable,
    needed_orders,
)
from sesameford.tables import InstanceRow, InstanceState, Target, TargetKind
from tests.test_instance import apply_tree, make_settings, running

ENGINE = Target("g", 1, TargetKind.MODEL, ("m1",), "http://g", "a", 4, 1e9)
UNLOAD = Order("g", 1, OrderKind.UNLOAD, "m1")
_MODELS = st.sets(st.sampled_from(("m1", "m2", "m3", "m4")))


@settings(derandomize=True, max_examples=200)
@given(_MODELS, _MODELS.filter(bool))
def test_orders_bring_an_engine_to_its_declared_models(serves, models):
    engine = replace(ENGINE, serves=tuple(sorted(serves)))
    declared = TargetSettings("g", models=tuple(sorted(models)))
    for _ in range(10):
        orders = needed_orders(declared, engine)
        if not orders:
            break
        kinds = {OrderKind.LOAD: set.add, OrderKind.UNLOAD: set.discard}
        present = set(engine.serves)
        for order in orders:
            kinds[order.kind](present, order.subject)
        assert present, "an engine is never left without any model"
        engine = replace(engine, serves=tuple(sorted(present)))
    assert set(engine.serves) == models


def test_a_model_is_unloaded_only_after_its_last_running_request():
    """The tree removes a model from an engine while it still writes answers.

    If the model were unloaded at once, the callers would get truncated answers.
    """
    table = OrderTable()
    declared = {"g": TargetSettings("g", models=("m2",))}
    engine = replace(ENGINE, serves=("m1", "m2"))
    assert table.collect_due(declared, [engine], 0.0) == [UNLOAD]
    processes = [("e1", 1), ("e2", 7)]
    assert not table.can_unload(UNLOAD, declared["g"], processes, 1.0)
    table.record_use(("e1", 1), "g", "m1", 0)
    table.record_use(("e2", 7), "g", "m1", 2)
    assert not table.can_unload(UNLOAD, declared["g"], processes, 1.0)
    table.record_use(("e2", 7), "g", "m1", 0)
    assert table.can_unload(UNLOAD, declared["g"], processes, 2.0)
    restarted = [("e1", 1), ("e2", 8)]
    assert not table.can_unload(UNLOAD, declared["g"], restarted, 2.0)
    with_deadline = replace(declared["g"], unload_deadline_seconds=30.0)
    assert not table.can_unload(UNLOAD, with_deadline, restarted, 29.0)
    assert table.can_unload(UNLOAD, with_deadline, restarted, 30.0)


def test_a_failed_order_is_retried_under_its_id_and_a_new_need_gets_a_new_id():
    """An engine recognises an order by its id.

    Under the old id the load of a model that was removed and declared again would be
    answered as done already, and the model would never be loaded.
    """
    table = OrderTable()
    declared = {"g": TargetSettings("g", models=("m1", "m2"))}
    (order,) = table.collect_due(declared, [ENGINE], 0.0)
    first_id = table.record_start(order, 5)
    assert table.collect_due(declared, [ENGINE], 0.0) == []
    table.record_end(order, False, 1.0)
    assert table.collect_due(declared, [ENGINE], 1.0 + RETRY_DELAY_SECONDS / 2) == []
    assert table.collect_due(declared, [ENGINE], 1.0 + RETRY_DELAY_SECONDS) == [order]
    assert table.record_start(order, 5) == first_id
    table.record_end(order, True, 7.0)
    assert table.collect_due(declared, [ENGINE], 8.0) == []
    loaded = replace(ENGINE, serves=("m1", "m2"))
    assert table.collect_due(declared, [loaded], 9.0) == []
    assert table.collect_due(declared, [ENGINE], 10.0) == [order]
    assert table.record_start(order, 5) != first_id


async def test_a_report_from_an_older_tree_does_not_allow_an_unload():
    """A model is removed, declared again and removed again, and an instance's report
    for the first removal arrives after the second.

    If it counted, the model would be unloaded while it still writes answers.
    """
    declared = {"g": TargetSettings("g", models=("m2",))}
    other = InstanceRow("e2", 7, "a", InstanceState.DRAINING, 3, 0.0)
    engine = replace(ENGINE, serves=("m1", "m2"))

    async def propose(proposal_id, machine, command):
        raise NoQuorumError("nothing is agreed in this test")

    service = make_order_service(
        OrderDeps(
            "e1",
            1,
            "a",
            propose,
            lambda: None,
            lambda outgoing: None,
            lambda: {"e2": other},
            lambda: {"g": engine},
            lambda: True,
            lambda target_id, model: 0,
            lambda: EffectiveTree(3, targets=declared),
            lambda: 10.0,
        )
    )
    service.tick()
    processes = [("e1", 1), ("e2", 7)]
    table, settings_ = service._table, declared["g"]
    service.handle_model_use("e2", 7, ModelUse("g", "m1", 1, 0))
    assert not table.can_unload(UNLOAD, settings_, processes, 10.0)
    service.handle_model_use("e2", 7, ModelUse("g", "m1", 3, 0))
    assert table.can_unload(UNLOAD, settings_, processes, 10.0)
    await service.close()


class FakeEngine:
    """An engine that carries out every order and streams one completion."""

    def __init__(self):
        self.serves = ["m1", "m2"]
        self.orders = []
        self.finish_answer = asyncio.Event()

    async def handle_order(self, http):
        order = await http.json()
        self.orders.append(order)
        change = {"load": self.serves.append, "unload": self.serves.remove}
        change[order["kind"]](order["subject"])
        return web.json_response({"status": "done"})

    async def complete(self, http):
        answer = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await answer.prepare(http)
        await answer.write(b'id: 0\ndata: {"choices":[{"text":"a"}]}\n\n')
        await self.finish_answer.wait()
        usage = b'{"choices":[],"usage":{"prompt_tokens":1,"completion_tokens":1}}'
        await answer.write(b"id: 1\ndata: " + usage + b"\n\n")
        await answer.write(b"id: 2\ndata: [DONE]\n\n")
        return answer

    async def announce(self, session, server, instances, sequence):
        body = {
            "target_id": "g",
            "incarnation": 1,
            "sequence": sequence,
            "kind": "model",
            "serves": self.serves,
            "url": str(server.make_url("")).rstrip("/"),
            "data_centre": "a",
            "capacity_slots": 4,
            "lease_seconds": 3.0,
            "checks_fencing": True,
        }
        url = f"http://{instances[0].listen.operators}/targets/announce"
        headers = {"Authorization": "Bearer platform"}
        async with session.post(url, json=body, headers=headers) as answer:
            assert answer.status == 200


def tree_with(models):
    key = sha256(b"key").hexdigest()
    return (
        f"customers: {{children: {{club: {{key_digests: [{key}]}}}}}}\n"
        "models: {children: {m1: {}, m2: {}, m3: {}}}\n"
        f"targets: {{children: {{g: {{models: [{models}]}}}}}}\n"
    )


async def test_the_tree_loads_and_unloads_models_of_a_real_instance(tmp_path):
    """An operator replaces a model in the tree while a caller reads its answer."""
    digest = sha256(b"platform").hexdigest()
    (settings_,) = make_settings(tmp_path, 1, 1)
    settings_ = replace_fields(settings_, platform_key_digest=digest)
    engine = FakeEngine()
    app = web.Application()
    app.router.add_post("/orders", engine.handle_order)
    app.router.add_post("/v1/completions", engine.complete)
    server = TestServer(app)
    await server.start_server()
    async with running([settings_]), ClientSession() as session:
        announcing = asyncio.create_task(
            _announce_repeatedly(engine, session, server, [settings_])
        )
        await apply_tree(session, settings_, "c1", 0, tree_with("m1, m2"))
        url = f"http://{settings_.listen.callers}/v1/completions"
        headers = {"Authorization": "Bearer key"}
        body = {"model": "m1", "prompt": "x", "stream": True}
        async with asyncio.timeout(30):
            async with session.post(url, json=body, headers=headers) as answer:
                assert answer.status == 200
                await answer.content.readuntil(b"\n\n")
                await apply_tree(session, settings_, "c2", 1, tree_with("m2, m3"))
                await _until(lambda: "m3" in engine.serves)
                await asyncio.sleep(1.5)
                assert "m1" in engine.serves, "an answer of it is still under way"
                engine.finish_answer.set()
                assert (await answer.read()).endswith(b"data: [DONE]\n\n")
            await _until(lambda: "m1" not in engine.serves)
        announcing.cancel()
        await asyncio.gather(announcing, return_exceptions=True)
    await server.close()
    assert [one["kind"] for one in engine.orders] == ["load", "unload"]
    assert all(one["fencing_number"] > 0 for one in engine.orders)


async def _announce_repeatedly(engine, session, server, instances):
    sequence = 0
    while True:
        sequence += 1
        await engine.announce(session, server, instances, sequence)
        await asyncio.sleep(0.3)


async def _until(condition):
    while not condition():
        await asyncio.sleep(0.02)
