"""A small TCP proxy on loopback that injects network faults.

It forwards bytes between two ends. Each fault is set by name on the running proxy and
applies to new connections, to open ones, or to both.
"""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from time import monotonic

READ_BYTES = 65_536


@dataclass(slots=True)
class Faults:
    """The faults that the proxy applies to bytes and connections.

    Attributes:
        delay_seconds: Added to each chunk of bytes, in both directions.
        refuse: New connections are closed at once.
        refuse_after_seconds: How long a refused connection stays open, as at a
            forwarder that tries its dead target first.
        cut_answer_after_bytes: A connection is reset after this many bytes of its
            answers.
        half_close_answer_after_bytes: As above, but with an orderly end.
        hold_answers: Answers are held back until it is False again.
    """

    delay_seconds: float = 0.0
    refuse: bool = False
    refuse_after_seconds: float = 0.0
    cut_answer_after_bytes: int | None = None
    half_close_answer_after_bytes: int | None = None
    hold_answers: bool = False


@dataclass(slots=True, eq=False)
class _Flow:
    caller: asyncio.StreamWriter
    target: asyncio.StreamWriter
    silent: bool = False
    has_request: bool = False
    answered_bytes: int = 0


class FaultProxy:
    """Forwards connections to one address, with faults.

    Args:
        target_host: The host to forward to.
        target_port: The port on that host.
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
        """Silence all open connections permanently; new ones work.

        Nothing is closed and no error is raised: the bytes never arrive.
        """
        for flow in self._flows:
            flow.silent = True
        return len(self._flows)

    async def crash(self) -> None:
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
        """Forward the answers that were held back."""
        self.faults.hold_answers = False
        self._released.set()
        self._released = asyncio.Event()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        if self.faults.refuse:
            await asyncio.sleep(self.faults.refuse_after_seconds)
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        flow = _Flow(writer, target_writer)
        self._flows.append(flow)
        request_task = self._spawn(
            self._copy(reader, target_writer, flow, self._forward_request)
        )
        answer_task = self._spawn(
            self._copy(target_reader, writer, flow, self._forward_answer)
        )
        try:
            await asyncio.wait([request_task, answer_task])
        except asyncio.CancelledError:
            # The loop closes while flows are silent; asyncio's own callback would
            # print the cancellation of each.
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
        forward: Callable[[asyncio.StreamWriter, _Flow, bytes], Awaitable[bool]],
    ) -> None:
        """Copy one direction until its end; a silent flow discards all bytes."""
        with suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if flow.silent:
                    continue
                if self.faults.delay_seconds:
                    await asyncio.sleep(self.faults.delay_seconds)
                if not await forward(writer, flow, data):
                    return
            if not flow.silent and writer.can_write_eof():
                writer.write_eof()
        if flow.silent:
            await asyncio.Event().wait()

    async def _forward_request(
        self, writer: asyncio.StreamWriter, flow: _Flow, data: bytes
    ) -> bool:
        if not flow.has_request:
            flow.has_request = True
            self.requests_at_seconds.append(monotonic())
        writer.write(data)
        await writer.drain()
        return True

    async def _forward_answer(
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
            await self._cut_answer(writer, flow)
            return False
        flow.answered_bytes += len(data)
        writer.write(data)
        await writer.drain()
        return True

    async def _cut_answer(self, writer: asyncio.StreamWriter, flow: _Flow) -> None:
        await writer.drain()
        if self.faults.cut_answer_after_bytes is not None:
            writer.transport.abort()
            flow.target.transport.abort()
            return
        writer.write_eof()
