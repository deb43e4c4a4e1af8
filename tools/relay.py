"""A TCP relay on loopback that stands for a link between two data centres."""

import asyncio
from contextlib import suppress

_CHUNK_BYTES = 65_536


class Relay:
    """Passes bytes between two ports, with a delay, until it is cut.

    A cut link says nothing: connections stay open, new ones are taken, and no byte
    passes. That is what a network partition looks like from either end, and a relay
    that closed its connections instead would never show a silent loss.

    Args:
        host: IP number to listen on.
        port: Port to listen on.
        destination: Host and port at the other end.
        delay_seconds: One-way delay.
    """

    def __init__(
        self, host: str, port: int, destination: tuple[str, int], delay_seconds: float
    ) -> None:
        self._host = host
        self._port = port
        self._destination = destination
        self._delay_seconds = delay_seconds
        self._whole = asyncio.Event()
        self._whole.set()
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        self.passed_bytes = 0

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._accept, self._host, self._port)

    async def stop(self) -> None:
        """Close the port and every connection."""
        if self._server is not None:
            self._server.close()
        for task in list(self._connections):
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    def cut(self) -> None:
        """Let nothing pass from now on."""
        self._whole.clear()

    def heal(self) -> None:
        """Let bytes pass again; what was held back arrives late."""
        self._whole.set()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Join a new connection to one to the destination."""
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        try:
            await self._whole.wait()
            far_reader, far_writer = await asyncio.open_connection(*self._destination)
            try:
                await asyncio.gather(
                    self._pump(reader, far_writer), self._pump(far_reader, writer)
                )
            finally:
                far_writer.close()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            self._connections.discard(task)

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass bytes one way until the sender closes."""
        while chunk := await reader.read(_CHUNK_BYTES):
            await asyncio.sleep(self._delay_seconds)
            await self._whole.wait()
            self.passed_bytes += len(chunk)
            writer.write(chunk)
            await writer.drain()
        with suppress(OSError):
            if writer.can_write_eof():
                writer.write_eof()
