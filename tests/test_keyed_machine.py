"""Keyed requests under resends, crashes, restarts, partitions and late answers.

The real code of `sesameford.keyed` and `sesameford.claims` runs on an event loop with
virtual time. The oracle is the fake target's own count of runs.
"""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from sesameford.claims import ClaimAnswer, ClaimsMachine
from sesameford.errors import NoQuorumError, NotRunError, UnknownOutcomeError
from sesameford.keyed import (
    MAX_UNANSWERED_QUERIES,
    KeyedPorts,
    KeyedRequest,
    KeyedRequests,
    OwnerReply,
    RunEnd,
)
from sesameford.tables import Outcome

ROUTERS = ("x", "y")
REPEATABLE = {"once": False, "again": True}
TURNS = 25
PLACES = st.integers(0, 7)
FAULTS = (
    "agree_reply_under_way",
    "lose_answer",
    "owner_answers_late",
    "owner_unreachable",
    "refuse_run",
    "reply_lost",
)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time only the test advances."""

    virtual_seconds = 0.0

    def time(self) -> float:
        return self.virtual_seconds


@dataclass(eq=False)
class Process:
    """One incarnation of a router; the actions of a dead one have no effect."""

    router_id: str
    incarnation: int
    keyed: KeyedRequests | None = None
    dead: bool = False
    tasks: list[asyncio.Task] = field(default_factory=list)


@dataclass(eq=False)
class Send:
    """One request of a caller, and its reported outcome."""

    number: int
    key: str
    body: bytes
    started: int = 0
    outcome: str | None = None
    answer: ClaimAnswer | None = None


@dataclass(eq=False)
class Step:
    """A pending step that a rule completes, in any order."""

    process: Process
    future: asyncio.Future
    detail: tuple


class KeyedMachine(RuleBasedStateMachine):
    """Two routers, one log, one target."""

    def __init__(self):
        super().__init__()
        self.loop = VirtualLoop()
        self.log = ClaimsMachine()
        self.index = 0
        self.results = {}
        self.proposals, self.lost_proposals = [], []
        self.queries, self.dispatches, self.runs = [], [], []
        self.started = Counter()
        self.sends, self.bodies = [], {}
        self.processes = {}
        for router_id in ROUTERS:
            self.start(router_id, 1)

    def start(self, router_id, incarnation):
        process = Process(router_id, incarnation)
        ports = KeyedPorts(
            propose=lambda *step: self.wait_for_step(self.proposals, process, step),
            query_owner=lambda *step: self.wait_for_step(self.queries, process, step),
            sleep=asyncio.sleep,
            now_seconds=self.loop.time,
        )
        process.keyed = KeyedRequests(router_id, incarnation, ports)
        self.processes[router_id] = process

    async def wait_for_step(self, queue, process, detail):
        step = Step(process, self.loop.create_future(), detail)
        if not process.dead:
            queue.append(step)
        return await step.future

    def run_pending_tasks(self):
        async def turns():
            for _ in range(TURNS):
                await asyncio.sleep(0)

        self.loop.run_until_complete(turns())

    def open_sends(self):
        task_lists = [p.tasks for p in self.processes.values()]
        return [task for tasks in task_lists for task in tasks if not task.done()]

    def pop_step(self, queue, place):
        return queue.pop(place % len(queue)) if queue else None

    def finish_step(self, step, result=None, error=None):
        if step is None or step.future.done():
            return
        if error is not None:
            step.future.set_exception(error)
        else:
            step.future.set_result(result)
        self.run_pending_tasks()

    def commit(self, detail):
        proposal_id, _, command = detail
        if proposal_id not in self.results:
            self.index += 1
            self.results[proposal_id] = self.log.apply(self.index, command)
        return self.results[proposal_id]

    async def run(self, process, send):
        """The fake target: refuses, or starts, counts the run and ends it."""
        refused = await self.wait_for_step(self.dispatches, process, (send,))
        if refused:
            return RunEnd(Outcome.NOT_RUN)
        return await self.wait_for_step(self.runs, process, (send,))

    async def serve_caller(self, process, send):
        request = KeyedRequest(
            f"r{send.number}",
            "c",
            send.key,
            send.body,
            REPEATABLE[send.key],
            self.loop.time() + 100.0,
        )
        ends = []

        async def run():
            ends.append(await self.run(process, send))
            return ends[0]

        try:
            send.answer = await process.keyed.serve(request, run)
            send.outcome = "kept" if send.answer else ends[0].outcome.value
        except NotRunError as error:
            send.outcome = error.reason
            assert send.started == 0, "reported as not-run, but it ran"
        except UnknownOutcomeError as error:
            send.outcome = error.reason

    @precondition(lambda self: len(self.open_sends()) < 3)
    @rule(
        router=st.sampled_from(ROUTERS),
        key=st.sampled_from(list(REPEATABLE)),
        body=st.sampled_from([b"one", b"one", b"two"]),
    )
    def send(self, router, key, body):
        process = self.processes[router]
        send = Send(len(self.sends), key, body)
        self.sends.append(send)
        self.bodies.setdefault(key, set()).add(body)
        process.tasks.append(self.loop.create_task(self.serve_caller(process, send)))
        self.run_pending_tasks()

    def commit_proposal(self, place):
        step = self.pop_step(self.proposals, place)
        if step is not None:
            self.finish_step(step, self.commit(step.detail))

    @precondition(lambda self: self.open_sends())
    @rule(what=st.sampled_from(FAULTS), place=PLACES, other=PLACES)
    def fault(self, what, place, other):
        """One rule for all faults, so that most steps are progress."""
        if what == "refuse_run" and self.dispatches:
            self.refuse_run(place)
        elif what == "lose_answer" and self.runs:
            self.lose_answer(place)
        elif what == "reply_lost" and self.proposals:
            self.reply_lost(place, other % 2 == 0)
        elif what == "agree_reply_under_way" and self.proposals:
            self.agree_reply_under_way(place)
        elif what == "owner_unreachable" and self.queries:
            self.owner_unreachable(place)
        elif what == "owner_answers_late" and self.queries and self.proposals:
            self.owner_answers_late(place, other)

    def agree_reply_under_way(self, place):
        self.commit(self.proposals[place % len(self.proposals)].detail)

    def reply_lost(self, place, committed):
        step = self.pop_step(self.proposals, place)
        if committed:
            self.commit(step.detail)
        else:
            self.lost_proposals.append(step.detail)
        self.finish_step(step, error=NoQuorumError("lost"))

    def owner_answers(self, place):
        step = self.pop_step(self.queries, place)
        self.finish_step(step, self.make_reply(step))

    def owner_answers_late(self, place, other):
        """The reply is made before the next commit and arrives after it."""
        step = self.pop_step(self.queries, place)
        reply = self.make_reply(step)
        self.commit_proposal(other)
        self.finish_step(step, reply)

    def make_reply(self, step) -> OwnerReply:
        owner, claim_index = step.detail
        return self.processes[owner.router_id].keyed.report_run_state(
            owner, claim_index
        )

    def owner_unreachable(self, place):
        """An isolated router answers none of the queries."""
        step = self.pop_step(self.queries, place)
        sender, detail = step.process, step.detail
        self.finish_step(step, None)
        for _ in range(MAX_UNANSWERED_QUERIES):
            again = [
                other
                for other in self.queries
                if (other.process, other.detail) == (sender, detail)
            ]
            for other in again:
                self.queries.remove(other)
                self.finish_step(other, None)

    def start_run(self, place):
        step = self.pop_step(self.dispatches, place)
        (send,) = step.detail
        send.started += 1
        self.started[send.key] += 1
        self.finish_step(step, False)

    def refuse_run(self, place):
        self.finish_step(self.pop_step(self.dispatches, place), True)

    def answer(self, place):
        step = self.pop_step(self.runs, place)
        (send,) = step.detail
        body = send.key.encode() + b"/" + send.body
        self.finish_step(step, RunEnd(Outcome.RAN, ClaimAnswer(200, (), body)))

    def lose_answer(self, place):
        self.finish_step(self.pop_step(self.runs, place), RunEnd(Outcome.UNKNOWN))

    @precondition(lambda self: self.open_sends())
    @rule(places=st.lists(PLACES, min_size=1, max_size=4))
    def progress(self, places):
        """The usual case: the next steps succeed, in some order."""
        for place in places:
            steps = [
                *((self.proposals, self.commit_proposal) for _ in self.proposals),
                *((self.queries, self.owner_answers) for _ in self.queries),
                *((self.dispatches, self.start_run) for _ in self.dispatches),
                *((self.runs, self.answer) for _ in self.runs),
            ]
            if steps:
                _, happen = steps[place % len(steps)]
                happen(place)
            else:
                self.time_passes(0.3)

    @rule(
        what=st.sampled_from(["crash", "leave", "wait", "late", "late"]),
        router=st.sampled_from(ROUTERS),
        place=PLACES,
        seconds=st.sampled_from([0.3, 1.1, 30.0]),
    )
    def mishap(self, what, router, place, seconds):
        """One rule for all rare events, so that most steps are progress."""
        if what == "crash":
            self.crash(router)
        elif what == "leave":
            self.caller_leaves(router, place)
        elif what == "wait":
            self.time_passes(seconds)
        elif self.lost_proposals:
            self.commit(self.lost_proposals.pop(place % len(self.lost_proposals)))

    def crash(self, router):
        process = self.processes[router]
        process.dead = True
        for queue in (self.proposals, self.queries, self.dispatches, self.runs):
            queue[:] = [step for step in queue if step.process is not process]
        for task in process.tasks:
            task.cancel()
        self.run_pending_tasks()
        self.loop.run_until_complete(process.keyed.close())
        self.start(router, process.incarnation + 1)

    def caller_leaves(self, router, place):
        """Cancel a request before its run; a keyed run continues without its caller."""
        tasks = [task for task in self.processes[router].tasks if not task.done()]
        if tasks and not self.dispatches and not self.runs:
            tasks[place % len(tasks)].cancel()
            self.run_pending_tasks()

    def time_passes(self, seconds):
        self.loop.virtual_seconds += seconds
        self.run_pending_tasks()

    @invariant()
    def nothing_runs_twice(self):
        for key, repeatable in REPEATABLE.items():
            assert repeatable or self.started[key] <= 1, "ran twice"

    @invariant()
    def answers_are_the_keys_own(self):
        for send in self.sends:
            if send.answer is not None:
                assert send.answer.body == send.key.encode() + b"/" + send.body
            if send.outcome == "key-other-body":
                assert len(self.bodies[send.key]) > 1

    def teardown(self):
        """Check that every caller gets an outcome once the faults are over."""
        for _ in range(60):
            for step in [*self.proposals]:
                self.proposals.remove(step)
                self.finish_step(step, self.commit(step.detail))
            for step in [*self.queries]:
                self.queries.remove(step)
                self.finish_step(step, self.make_reply(step))
            for step in [*self.dispatches]:
                self.dispatches.remove(step)
                self.finish_step(step, True)
            for step in [*self.runs]:
                self.runs.remove(step)
                self.finish_step(step, RunEnd(Outcome.UNKNOWN))
            self.loop.virtual_seconds += 2.0
            self.run_pending_tasks()
        live_processes = [
            process for process in self.processes.values() if not process.dead
        ]
        try:
            for process in live_processes:
                assert all(task.done() for task in process.tasks), "no outcome"
                assert process.keyed.unsettled == 0, "claims are left unsettled"
                for task in process.tasks:
                    assert task.cancelled() or task.exception() is None
        finally:
            tasks = asyncio.all_tasks(self.loop)
            for task in tasks:
                task.cancel()
            self.run_pending_tasks()
            self.loop.close()


TestKeyedMachine = KeyedMachine.TestCase
TestKeyedMachine.settings = settings(
    derandomize=True,
    max_examples=200,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
