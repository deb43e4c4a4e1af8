"""Keyed requests under resends, crashes, restarts, partitions and late answers.

The real code of `sesameford.keyed` and `sesameford.claims` runs on a loop with
virtual time. The oracle is the fake target's own count of what ran.
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
    """An event loop whose time moves only when it is told."""

    virtual_seconds = 0.0

    def time(self) -> float:
        return self.virtual_seconds


@dataclass(eq=False)
class Process:
    """One life of a router; what a dead one still does reaches nobody."""

    router_id: str
    incarnation: int
    keyed: KeyedRequests | None = None
    dead: bool = False
    tasks: list[asyncio.Task] = field(default_factory=list)


@dataclass(eq=False)
class Send:
    """One sending by a caller, and what it was told."""

    number: int
    key: str
    body: bytes
    started: int = 0
    told: str | None = None
    answer: ClaimAnswer | None = None


@dataclass(eq=False)
class Step:
    """Something under way that a rule lets happen, in any order."""

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
        self.proposals, self.stray = [], []
        self.questions, self.dispatches, self.runs = [], [], []
        self.started = Counter()
        self.sends, self.bodies = [], {}
        self.processes = {}
        for router_id in ROUTERS:
            self.start(router_id, 1)

    def start(self, router_id, incarnation):
        process = Process(router_id, incarnation)
        ports = KeyedPorts(
            propose=lambda *step: self.under_way(self.proposals, process, step),
            query_owner=lambda *step: self.under_way(self.questions, process, step),
            sleep=asyncio.sleep,
            now_seconds=self.loop.time,
        )
        process.keyed = KeyedRequests(router_id, incarnation, ports)
        self.processes[router_id] = process

    async def under_way(self, queue, process, detail):
        step = Step(process, self.loop.create_future(), detail)
        if not process.dead:
            queue.append(step)
        return await step.future

    def spin(self):
        async def turns():
            for _ in range(TURNS):
                await asyncio.sleep(0)

        self.loop.run_until_complete(turns())

    def open_sends(self):
        living = [p.tasks for p in self.processes.values()]
        return [task for tasks in living for task in tasks if not task.done()]

    def take(self, queue, place):
        return queue.pop(place % len(queue)) if queue else None

    def finish(self, step, result=None, error=None):
        if step is None or step.future.done():
            return
        if error is not None:
            step.future.set_exception(error)
        else:
            step.future.set_result(result)
        self.spin()

    def commit(self, detail):
        proposal_id, _, command = detail
        if proposal_id not in self.results:
            self.index += 1
            self.results[proposal_id] = self.log.apply(self.index, command)
        return self.results[proposal_id]

    async def run(self, process, send):
        """The fake target: refuses, or starts and counts, and ends some way."""
        refused = await self.under_way(self.dispatches, process, (send,))
        if refused:
            return RunEnd(Outcome.NOT_RUN)
        return await self.under_way(self.runs, process, (send,))

    async def caller(self, process, send):
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
            send.told = "kept" if send.answer else ends[0].outcome.value
        except NotRunError as error:
            send.told = error.reason
            assert send.started == 0, "told not-run, and it ran"
        except UnknownOutcomeError as error:
            send.told = error.reason

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
        process.tasks.append(self.loop.create_task(self.caller(process, send)))
        self.spin()

    def agree(self, place):
        step = self.take(self.proposals, place)
        if step is not None:
            self.finish(step, self.commit(step.detail))

    @precondition(lambda self: self.open_sends())
    @rule(what=st.sampled_from(FAULTS), place=PLACES, other=PLACES)
    def fault(self, what, place, other):
        """One rule for what goes wrong on the way, so that most steps are progress."""
        if what == "refuse_run" and self.dispatches:
            self.refuse_run(place)
        elif what == "lose_answer" and self.runs:
            self.lose_answer(place)
        elif what == "reply_lost" and self.proposals:
            self.reply_lost(place, other % 2 == 0)
        elif what == "agree_reply_under_way" and self.proposals:
            self.agree_reply_under_way(place)
        elif what == "owner_unreachable" and self.questions:
            self.owner_unreachable(place)
        elif what == "owner_answers_late" and self.questions and self.proposals:
            self.owner_answers_late(place, other)

    def agree_reply_under_way(self, place):
        self.commit(self.proposals[place % len(self.proposals)].detail)

    def reply_lost(self, place, committed):
        step = self.take(self.proposals, place)
        if committed:
            self.commit(step.detail)
        else:
            self.stray.append(step.detail)
        self.finish(step, error=NoQuorumError("lost"))

    def owner_answers(self, place):
        step = self.take(self.questions, place)
        self.finish(step, self.word(step))

    def owner_answers_late(self, place, other):
        """The word is from before what happens next, and arrives after it."""
        step = self.take(self.questions, place)
        word = self.word(step)
        self.agree(other)
        self.finish(step, word)

    def word(self, step) -> OwnerReply:
        owner, claim_index = step.detail
        return self.processes[owner.router_id].keyed.report_run_state(
            owner, claim_index
        )

    def owner_unreachable(self, place):
        """A router that is cut off answers none of the questions."""
        step = self.take(self.questions, place)
        asker, detail = step.process, step.detail
        self.finish(step, None)
        for _ in range(MAX_UNANSWERED_QUERIES):
            again = [
                other
                for other in self.questions
                if (other.process, other.detail) == (asker, detail)
            ]
            for other in again:
                self.questions.remove(other)
                self.finish(other, None)

    def start_run(self, place):
        step = self.take(self.dispatches, place)
        (send,) = step.detail
        send.started += 1
        self.started[send.key] += 1
        self.finish(step, False)

    def refuse_run(self, place):
        self.finish(self.take(self.dispatches, place), True)

    def answer(self, place):
        step = self.take(self.runs, place)
        (send,) = step.detail
        body = send.key.encode() + b"/" + send.body
        self.finish(step, RunEnd(Outcome.RAN, ClaimAnswer(200, (), body)))

    def lose_answer(self, place):
        self.finish(self.take(self.runs, place), RunEnd(Outcome.UNKNOWN))

    @precondition(lambda self: self.open_sends())
    @rule(places=st.lists(PLACES, min_size=1, max_size=4))
    def progress(self, places):
        """What mostly happens: the next steps succeed, in some order."""
        for place in places:
            steps = [
                *((self.proposals, self.agree) for _ in self.proposals),
                *((self.questions, self.owner_answers) for _ in self.questions),
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
        """One rule for what is rare, so that most steps are progress."""
        if what == "crash":
            self.crash(router)
        elif what == "leave":
            self.caller_leaves(router, place)
        elif what == "wait":
            self.time_passes(seconds)
        elif self.stray:
            self.commit(self.stray.pop(place % len(self.stray)))

    def crash(self, router):
        process = self.processes[router]
        process.dead = True
        for queue in (self.proposals, self.questions, self.dispatches, self.runs):
            queue[:] = [step for step in queue if step.process is not process]
        for task in process.tasks:
            task.cancel()
        self.spin()
        self.loop.run_until_complete(process.keyed.close())
        self.start(router, process.incarnation + 1)

    def caller_leaves(self, router, place):
        """Before the run; a run under a key goes on without its caller."""
        tasks = [task for task in self.processes[router].tasks if not task.done()]
        if tasks and not self.dispatches and not self.runs:
            tasks[place % len(tasks)].cancel()
            self.spin()

    def time_passes(self, seconds):
        self.loop.virtual_seconds += seconds
        self.spin()

    @invariant()
    def nothing_runs_twice(self):
        for key, repeatable in REPEATABLE.items():
            assert repeatable or self.started[key] <= 1, "ran twice"

    @invariant()
    def answers_are_the_keys_own(self):
        for send in self.sends:
            if send.answer is not None:
                assert send.answer.body == send.key.encode() + b"/" + send.body
            if send.told == "key-other-body":
                assert len(self.bodies[send.key]) > 1

    def teardown(self):
        """With all faults over, every caller is told something."""
        for _ in range(60):
            for step in [*self.proposals]:
                self.proposals.remove(step)
                self.finish(step, self.commit(step.detail))
            for step in [*self.questions]:
                self.questions.remove(step)
                self.finish(step, self.word(step))
            for step in [*self.dispatches]:
                self.dispatches.remove(step)
                self.finish(step, True)
            for step in [*self.runs]:
                self.runs.remove(step)
                self.finish(step, RunEnd(Outcome.UNKNOWN))
            self.loop.virtual_seconds += 2.0
            self.spin()
        living = [process for process in self.processes.values() if not process.dead]
        try:
            for process in living:
                assert all(task.done() for task in process.tasks), "never told"
                assert process.keyed.unsettled == 0, "the log never heard the end"
                for task in process.tasks:
                    assert task.cancelled() or task.exception() is None
        finally:
            tasks = asyncio.all_tasks(self.loop)
            for task in tasks:
                task.cancel()
            self.spin()
            self.loop.close()


TestKeyedMachine = KeyedMachine.TestCase
TestKeyedMachine.settings = settings(
    derandomize=True,
    max_examples=200,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
