"""A small TCP proxy on loopback that does to connections what networks do.

It stands between two ends and forwards bytes. Each fault is set by name on the
running proxy and counts for new connections, for old ones, or for both.
"""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from time import monotonic

READ_BYTES = 65_536


@dataclass(slots=True)
class Faults:
    """What the proxy does to bytes and connections at present.

    Attributes:
        delay_seconds: Added to each piece of bytes, in both directions.
        refuse: New connections are closed at once.
        cut_answer_after_bytes: A connection is reset once so much of the
            answers has passed.
        half_close_answer_after_bytes: As above, but with an ordinary end.
        hold_answers: Answers are kept back until it is False again.
    """

    delay_seconds: float = 0.0
    refuse: bool = False
    cut_answer_after_bytes: int | None = None
    half_close_answer_after_bytes: int | None = None
    hold_answers: bool = False


@dataclass(slots=True, eq=False)
class _Flow:
    caller: asyncio.StreamWriter
    target: asyncio.StreamWriter
    silent: bool = False
    asked: bool = False
    answered_bytes: int = 0


class FaultProxy:
    """Forwards connections to one address, with faults.

    Args:
        target_host: Where to forward to.
        target_port: The port there.
    """

    def __init__(self, target_host: str, target_port: int) -> None:
        self.faults = Faults()
        self.connections = 0
        self.requests_at_seconds: list[float] = []
        self._target = (target_host, target_port)
        self._flows: list[_Flow] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._released = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> int:
        """Listen, and return the port."""
        self._server = await asyncio.start_server(self._accept, host, port)
        bound: int = self._server.sockets[0].getsockname()[1]
        return bound

    async def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        self.reset_all()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def silence_open_flows(self) -> int:
        """Let all open connections go silent for good; new ones work.

        Nothing is closed and no error comes: the bytes just never arrive.
        """
        for flow in self._flows:
            flow.silent = True
        return len(self._flows)

    async def die(self) -> None:
        """Reset everything and refuse new connections, as a crashed target does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset_all()

    def reset_all(self) -> int:
        """Reset all open connections."""
        flows = list(self._flows)
        for flow in flows:
            flow.caller.transport.abort()
            flow.target.transport.abort()
        return len(flows)

    def release_answers(self) -> None:
        """Let the answers go that were held."""
        self.faults.hold_answers = False
        self._released.set()
        self._released = asyncio.Event()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        if self.faults.refuse:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        flow = _Flow(writer, target_writer)
        self._flows.append(flow)
        there = self._spawn(self._copy(reader, target_writer, flow, self._pass_request))
        back = self._spawn(self._copy(target_reader, writer, flow, self._pass_answer))
        try:
            await asyncio.wait([there, back])
        except asyncio.CancelledError:
            # The loop is closing with flows that are silent; asyncio's own callback
            # would print the cancellation of each.
            return
        finally:
            self._flows.remove(flow)
            for end in (writer, target_writer):
                end.close()

    def _spawn(self, work: Awaitable[None]) -> "asyncio.Task[None]":
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        flow: _Flow,
        pass_on: Callable[[asyncio.StreamWriter, _Flow, bytes], Awaitable[bool]],
    ) -> None:
        """Copy one direction until its end; a silent flow swallows everything."""
        with suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if flow.silent:
                    continue
                if self.faults.delay_seconds:
                    await asyncio.sleep(self.faults.delay_seconds)
                if not await pass_on(writer, flow, data):
                    return
            if not flow.silent and writer.can_write_eof():
                writer.write_eof()
        if flow.silent:
            await asyncio.Event().wait()

    async def _pass_request(
        self, writer: asyncio.StreamWriter, flow: _Flow, data: bytes
    ) -> bool:
        if not flow.asked:
            flow.asked = True
            self.requests_at_seconds.append(monotonic())
        writer.write(data)
        await writer.drain()
        return True

    async def _pass_answer(
        self, writer: asyncio.StreamWriter, flow: _Flow, data: bytes
    ) -> bool:
        while self.faults.hold_answers:
            await self._released.wait()
        if flow.silent:
            return True
        limits = (
            self.faults.cut_answer_after_bytes,
            self.faults.half_close_answer_after_bytes,
        )
        limit = min((bound for bound in limits if bound is not None), default=None)
        if limit is not None and flow.answered_bytes + len(data) > limit:
            writer.write(data[: limit - flow.answered_bytes])
            await self._end_early(writer, flow)
            return False
        flow.answered_bytes += len(data)
        writer.write(data)
        await writer.drain()
        return True

    async def _end_early(self, writer: asyncio.StreamWriter, flow: _Flow) -> None:
        await writer.drain()
        if self.faults.cut_answer_after_bytes is not None:
            writer.transport.abort()
            flow.target.transport.abort()
            return
        writer.write_eof()
