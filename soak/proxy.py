"""A loopback proxy whose links can be delayed, reset, refused, or cut in one or both directions."""

import asyncio
import re
import socket
import struct

CHUNK_BYTES = 65_536
LINGER_NOTHING = struct.pack("ii", 1, 0)
# A node names itself in the first request on a link to a peer.
NODE_NAME = re.compile(rb"X-Peridot-Incarnation: (\S+)-[0-9a-f]+\r\n", re.IGNORECASE)
# How often a channel that waits for its first request to pass looks whether its client has gone.
LOOK_S = 0.1
# How long the other end of a channel is kept after one end has closed it.
KEPT_END_S = 35.0


class Channel:
    """An open connection through a link."""

    def __init__(self, writer, name_client):
        self._name_client = name_client
        self._named = False
        self._client = None
        self.writers = [writer]
        self.first_data = b""
        self.silent = False
        # Whether the answer to the last request is to be lost.
        self.breaks = False

    @property
    def client(self):
        """Name of the program that opened it; None if it isn't known.

        Looked for when a fault asks for it, since that may take long.
        """
        if not self._named and self.first_data:
            self._named = True
            self._client = self._name()
        return self._client

    def _name(self):
        if self._name_client is not None:
            peer = self.writers[0].get_extra_info("peername")
            return self._name_client(peer[1]) if peer else None
        name = NODE_NAME.search(self.first_data)
        return name.group(1).decode() if name else None

    def reset(self):
        for writer in self.writers:
            sock = writer.get_extra_info("socket")
            if sock is not None and sock.fileno() != -1:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NOTHING)
            writer.transport.abort()


class Block:
    """A lasting fault of a link, for the named clients, or for all if `clients` is None.

    Directions that are false are cut. `refuses` resets open connections, and refuses new ones; if
    clients are named, new ones are reset at their first request, which names the client.
    """

    def __init__(self, clients=None, forwards=True, returns=True, refuses=False):
        self.clients = None if clients is None else frozenset(clients)
        self.forwards, self.returns, self.refuses = forwards, returns, refuses

    def covers(self, channel):
        return self.clients is None or channel.client in self.clients


class Link:
    """Forwards one listening port to another. Faults apply to open connections, too.

    `name_client` returns the name of the program that has a local port, for faults that affect
    only some programs. Without it, nodes are known by their first request.
    """

    def __init__(self, listen_port, target_port, name_client=None):
        self.listen_port = listen_port
        self.target_port = target_port
        self._name_client = name_client
        self.delay_s = 0.0
        self.forwards = True
        self.returns = True
        self.cut_clients = set()
        # Resets and refuses instead of returning the answer to the next request that has this.
        self.breaks_after = None
        self._blocks = set()
        self._changed = asyncio.Event()
        self._channels = set()
        self._serving = set()
        self._server = None

    async def start(self):
        if self._server is None and not any(
                block.refuses and block.clients is None for block in self._blocks):
            self._server = await asyncio.start_server(
                self._accept, "127.0.0.1", self.listen_port)

    async def stop(self):
        self.refuse()
        for task in list(self._serving):
            task.cancel()
        await asyncio.gather(*self._serving, return_exceptions=True)

    def heal(self):
        """Ends delays and cuts, but not blocks."""
        self.delay_s, self.forwards, self.returns = 0.0, True, True
        self.cut_clients = set()
        self._notify()

    def cut(self, forwards, returns):
        """Blocks the directions that are false. Data waits until `heal`, as in a partition."""
        self.forwards, self.returns = forwards, returns
        self._notify()

    def cut_from(self, clients):
        """Blocks the connections of some programs until `heal`."""
        self.cut_clients = set(clients)
        self._notify()

    def block(self, block):
        self._blocks.add(block)
        if block.refuses:
            if block.clients is None:
                self.refuse()
            for channel in list(self._channels):
                if block.covers(channel):
                    channel.reset()
        self._notify()

    async def lift(self, block):
        """Ends a block. Connections are accepted again unless another block refuses them."""
        self._blocks.discard(block)
        self._notify()
        await self.start()

    async def lift_all(self):
        for block in list(self._blocks):
            await self.lift(block)

    def silence(self):
        """Stops the open connections for good, without a reset. New ones work."""
        for channel in self._channels:
            channel.silent = True

    def reset(self):
        """Resets all open connections."""
        for channel in list(self._channels):
            channel.reset()

    def refuse(self):
        """Resets all open connections and refuses new ones until `start`."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset()

    def _notify(self):
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _accept(self, reader, writer):
        task = asyncio.ensure_future(self._serve(reader, writer))
        self._serving.add(task)
        task.add_done_callback(self._serving.discard)

    async def _serve(self, reader, writer):
        channel = Channel(writer, self._name_client)
        self._channels.add(channel)
        try:
            first = channel.first_data = await reader.read(CHUNK_BYTES)
            if first and await self._may_open(channel, reader):
                target_reader, target_writer = await asyncio.open_connection(
                    "127.0.0.1", self.target_port)
                channel.writers.append(target_writer)
                await self._carry(channel, first, reader, target_reader)
        except OSError:
            pass
        finally:
            self._channels.discard(channel)
            for end in channel.writers:
                end.transport.abort()

    async def _may_open(self, channel, reader):
        """Waits until the first request passes. Returns whether the client is still there.

        Until then the target sees nothing, as if the packets of a new connection were lost.
        """
        while not self._forwards_to(channel):
            if reader.at_eof() or reader.exception() is not None:
                return False
            try:
                await asyncio.wait_for(self._changed.wait(), LOOK_S)
            except asyncio.TimeoutError:
                pass
        return not any(block.refuses and block.covers(channel) for block in self._blocks)

    async def _carry(self, channel, first, reader, target_reader):
        writer, target_writer = channel.writers
        directions = [
            asyncio.ensure_future(
                self._copy(channel, reader, target_writer, self._forward, first)),
            asyncio.ensure_future(self._copy(channel, target_reader, writer, self._return, b"")),
        ]
        try:
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
            # The end that has closed needs its descriptor no longer. The other one can't learn of
            # it while nothing passes.
            if channel.silent:
                (writer if directions[0].done() else target_writer).transport.abort()
            await asyncio.wait(directions, timeout=KEPT_END_S)
        finally:
            for direction in directions:
                direction.cancel()
            await asyncio.gather(*directions, return_exceptions=True)

    def _is_cut(self, channel):
        return bool(self.cut_clients) and channel.client in self.cut_clients

    def _forwards_to(self, channel):
        return self.forwards and not self._is_cut(channel) and all(
            block.forwards for block in self._blocks if block.covers(channel))

    def _returns_to(self, channel):
        return self.returns and not self._is_cut(channel) and all(
            block.returns for block in self._blocks if block.covers(channel))

    async def _forward(self, channel, data):
        while not self._forwards_to(channel):
            await self._changed.wait()
        channel.breaks = self.breaks_after is not None and self.breaks_after in data

    async def _return(self, channel, _):
        while not self._returns_to(channel):
            await self._changed.wait()
        if self.breaks_after is not None and channel.breaks:
            self.breaks_after = None
            self.refuse()

    async def _copy(self, channel, reader, writer, prepare, data):
        try:
            while data or (data := await reader.read(CHUNK_BYTES)):
                if self.delay_s > 0:
                    await asyncio.sleep(self.delay_s)
                await prepare(channel, data)
                if not channel.silent:
                    writer.write(data)
                    await writer.drain()
                data = b""
            if not channel.silent:
                writer.write_eof()
        except (OSError, RuntimeError):
            if not channel.silent:
                writer.transport.abort()
