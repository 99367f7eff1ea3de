"""A loopback proxy whose links can be delayed, reset, refused, or cut in one or both directions."""

import asyncio
import socket
import struct

CHUNK_BYTES = 65_536
LINGER_NOTHING = struct.pack("ii", 1, 0)


class Channel:
    """An open connection through a link."""

    def __init__(self, client):
        # Name of the program that opened it; None if the link doesn't ask.
        self.client = client
        self.silent = False
        # Whether the answer to the last request is to be lost.
        self.breaks = False


class Link:
    """Forwards one listening port to another. Faults apply to open connections, too.

    `name_client` returns the name of the program that has a local port, for faults that affect
    only some programs.
    """

    def __init__(self, listen_port, target_port, name_client=lambda port: None):
        self.listen_port = listen_port
        self.target_port = target_port
        self._name_client = name_client
        self.delay_s = 0.0
        self.forwards = True
        self.returns = True
        self.cut_clients = set()
        # Resets and refuses instead of returning the answer to the next request that has this.
        self.breaks_after = None
        self._passes = asyncio.Event()
        self._passes.set()
        self._writers = set()
        self._channels = set()
        self._serving = set()
        self._server = None

    async def start(self):
        if self._server is None:
            self._server = await asyncio.start_server(
                self._accept, "127.0.0.1", self.listen_port)

    async def stop(self):
        self.refuse()
        for task in list(self._serving):
            task.cancel()
        await asyncio.gather(*self._serving, return_exceptions=True)

    def heal(self):
        self.delay_s, self.forwards, self.returns = 0.0, True, True
        self.cut_clients = set()
        self._passes.set()

    def cut(self, forwards, returns):
        """Blocks the directions that are false. Data waits until `heal`, as in a partition."""
        self.forwards, self.returns = forwards, returns
        self._passes.clear()

    def cut_from(self, clients):
        """Blocks the connections of some programs until `heal`."""
        self.cut_clients = set(clients)
        self._passes.clear()

    def silence(self):
        """Stops the open connections for good, without a reset. New ones work."""
        for channel in self._channels:
            channel.silent = True

    def reset(self):
        """Resets all open connections."""
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            if sock is not None and sock.fileno() != -1:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NOTHING)
            writer.transport.abort()

    def refuse(self):
        """Resets all open connections and refuses new ones until `start`."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset()

    def _accept(self, reader, writer):
        task = asyncio.ensure_future(self._serve(reader, writer))
        self._serving.add(task)
        task.add_done_callback(self._serving.discard)

    async def _serve(self, reader, writer):
        try:
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self.target_port)
        except OSError:
            writer.transport.abort()
            return
        peer = writer.get_extra_info("peername")
        channel = Channel(self._name_client(peer[1]) if peer else None)
        self._writers |= {writer, target_writer}
        self._channels.add(channel)
        try:
            await asyncio.gather(
                self._copy(channel, reader, target_writer, self._forward),
                self._copy(channel, target_reader, writer, self._return),
            )
        finally:
            self._writers -= {writer, target_writer}
            self._channels.discard(channel)
            writer.close()
            target_writer.close()

    async def _forward(self, channel, data):
        await self._wait_until(lambda: self.forwards and channel.client not in self.cut_clients)
        channel.breaks = self.breaks_after is not None and self.breaks_after in data

    async def _return(self, channel, _):
        await self._wait_until(lambda: self.returns and channel.client not in self.cut_clients)
        if self.breaks_after is not None and channel.breaks:
            self.breaks_after = None
            self.refuse()

    async def _wait_until(self, passes):
        while not passes():
            await self._passes.wait()
            await asyncio.sleep(0)

    async def _copy(self, channel, reader, writer, prepare):
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s > 0:
                    await asyncio.sleep(self.delay_s)
                await prepare(channel, data)
                if channel.silent:
                    await asyncio.Event().wait()
                writer.write(data)
                await writer.drain()
            if not channel.silent:
                writer.write_eof()
        except (OSError, RuntimeError):
            writer.transport.abort()
