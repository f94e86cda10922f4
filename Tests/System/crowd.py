"""Clients that keep no rule of HTTP: raw connections that send what a test tells them."""

import asyncio
import contextlib
import dataclasses
import itertools
from collections.abc import Iterator

CHUNK_BYTES = 1 << 16


@dataclasses.dataclass
class Behaviour:
    """What each client of a crowd sends on a connection of its own."""

    name: str
    clients: int
    start: bytes = b""
    # Sent again and again after `start`, `total` bytes in all.
    repeat: bytes = b""
    total: int = 0
    # A client that doesn't read leaves all answers in the server's hands.
    reads: bool = True
    # Time between two pieces of `repeat`, which are sent whole and one by one if it is set.
    pause_s: float = 0.0
    # How long a connection stays open after the last byte.
    stays_s: float = 0.5

    def pieces(self) -> Iterator[bytes]:
        if self.start:
            yield self.start
        if not self.repeat:
            return
        if self.pause_s:
            yield from itertools.repeat(self.repeat, self.total // len(self.repeat))
            return
        piece = self.repeat * max(1, CHUNK_BYTES // len(self.repeat))
        yield from itertools.repeat(piece, self.total // len(piece))


async def _act(behaviour: Behaviour, address: str) -> None:
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port), limit=1)
    if behaviour.reads:
        drained = asyncio.create_task(_discard(reader))
    try:
        for piece in behaviour.pieces():
            writer.write(piece)
            await writer.drain()
            if behaviour.pause_s:
                await asyncio.sleep(behaviour.pause_s)
        await asyncio.sleep(behaviour.stays_s)
    finally:
        if behaviour.reads:
            drained.cancel()
        writer.transport.abort()


async def _discard(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(OSError):
        while await reader.read(CHUNK_BYTES):
            pass


async def run(behaviour: Behaviour, addresses: list[str], max_s: float) -> None:
    """Lets a crowd act at all addresses at once, each client at one of them in turn.

    Ends `max_s` later at the latest: a server may leave a connection unread or close it.
    """

    async def act(address: str) -> None:
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            async with asyncio.timeout(max_s):
                await _act(behaviour, address)

    turns = itertools.islice(itertools.cycle(addresses), behaviour.clients)
    await asyncio.gather(*(act(address) for address in turns))
