"""A TCP relay on loopback that simulates delay and partition between data centres."""

import asyncio
from contextlib import suppress

_CHUNK_BYTES = 65_536


class Relay:
    """Forwards TCP connections to a destination with a delay, and can be cut.

    While the relay is cut, connections stay open and new ones are accepted, but no
    byte is forwarded. Both ends see a network partition that way; a relay that closed
    its connections instead would never show a silent loss.

    Args:
        host: IP address to listen on.
        port: Port to listen on.
        destination: Host and port to forward to.
        delay_seconds: One-way delay.
    """

    def __init__(
        self, host: str, port: int, destination: tuple[str, int], delay_seconds: float
    ) -> None:
        self._host = host
        self._port = port
        self._destination = destination
        self._delay_seconds = delay_seconds
        self._is_connected = asyncio.Event()
        self._is_connected.set()
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        self.passed_bytes = 0

    async def start(self) -> None:
        """Listen for connections."""
        self._server = await asyncio.start_server(self._accept, self._host, self._port)

    async def stop(self) -> None:
        """Close the listener and every connection."""
        if self._server is not None:
            self._server.close()
        for task in list(self._connections):
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    def cut(self) -> None:
        """Stop forwarding in both directions without closing connections."""
        self._is_connected.clear()

    def heal(self) -> None:
        """Forward again; the bytes that waited during the cut arrive late."""
        self._is_connected.set()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Connect to the destination and forward both ways until both ends close."""
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        try:
            await self._is_connected.wait()
            destination_reader, destination_writer = await asyncio.open_connection(
                *self._destination
            )
            try:
                await asyncio.gather(
                    self._forward(reader, destination_writer),
                    self._forward(destination_reader, writer),
                )
            finally:
                destination_writer.close()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            self._connections.discard(task)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward bytes in one direction until the sender closes."""
        while chunk := await reader.read(_CHUNK_BYTES):
            await asyncio.sleep(self._delay_seconds)
            await self._is_connected.wait()
            self.passed_bytes += len(chunk)
            writer.write(chunk)
            await writer.drain()
        with suppress(OSError):
            if writer.can_write_eof():
                writer.write_eof()
