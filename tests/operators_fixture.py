"""The operators' port of one instance with a tree state machine, for tests."""

from hashlib import sha256

from aiohttp import web
from aiohttp.test_utils import TestServer

from sesameford.errors import NoQuorumError
from sesameford.operators import OperatorsDeps, make_operators_routes
from sesameford.settings import OperatorKey
from sesameford.status import InstanceStatus, StatusReport
from sesameford.tables import InstanceState
from sesameford.tree_changes import TreeMachine

KEY = "operator-key"
PLATFORM_KEY = "platform-key"


def digest(key: str) -> str:
    return sha256(key.encode()).hexdigest()


class FakeInstance:
    """One instance; tests inject failures by ``quorum`` and ``lose_answers``."""

    def __init__(self, machine: TreeMachine | None = None) -> None:
        self.machine = machine or TreeMachine(lambda _: None)
        self.quorum = True
        self.log_error = None
        self.lose_answers = 0
        self.lagging = False
        self.proposals = 0
        self.announced = []
        self.newest = {}
        self.server = None

    async def propose(self, proposal_id, machine, command):
        assert machine == "tree"
        if self.log_error is not None:
            raise self.log_error
        if not self.quorum:
            raise NoQuorumError("1 of 3 answers")
        self.proposals += 1
        return self.machine.apply(self.proposals, command)

    async def wait_for_revision(self, revision, seconds):
        return self.machine.store.revision >= revision

    def status(self):
        revision = self.machine.store.revision - self.lagging
        rows = (
            InstanceStatus("e1", "a", InstanceState.READY, revision, 0.0, True),
            InstanceStatus("e2", "b", InstanceState.READY, 0, 99.0, False),
        )
        return StatusReport("e1", "a", InstanceState.READY, revision, rows)

    def announce(self, announcement):
        newest = self.newest.get(announcement.target_id, (-1, -1))
        if (announcement.incarnation, announcement.announcement_sequence) <= newest:
            return False
        self.newest[announcement.target_id] = (
            announcement.incarnation,
            announcement.announcement_sequence,
        )
        self.announced.append(announcement)
        return True

    def leave(self, target_id, incarnation, sequence):
        return (incarnation, sequence) > self.newest.get(target_id, (-1, -1))

    def deps(self) -> OperatorsDeps:
        return OperatorsDeps(
            operators=(
                OperatorKey("meera", digest(KEY)),
                OperatorKey("salim", digest("other")),
            ),
            platform_key_digest=digest(PLATFORM_KEY),
            store=lambda: self.machine.store,
            propose=self.propose,
            wait_for_revision=self.wait_for_revision,
            local_history=lambda before: self.machine.history(before),
            status=self.status,
            announce=self.announce,
            leave=self.leave,
            now=lambda: 1000.0,
            wall_seconds=lambda: 1000.0,
        )

    async def start(self, ssl=None) -> "FakeInstance":
        @web.middleware
        async def lose_some_answers(request, handler):
            response = await handler(request)
            if self.lose_answers and request.path == "/tree/changes":
                self.lose_answers -= 1
                request.transport.abort()
            return response

        app = web.Application(middlewares=[lose_some_answers])
        app.add_routes(make_operators_routes(self.deps()))
        self.server = TestServer(app, scheme="https" if ssl else "http")
        await self.server.start_server(ssl=ssl)
        return self

    @property
    def url(self) -> str:
        return str(self.server.make_url("")).rstrip("/")
