"""A loopback proxy whose links can be delayed, reset, or cut in one or both directions."""

import asyncio
import socket
import struct

CHUNK_BYTES = 65_536
LINGER_NOTHING = struct.pack("ii", 1, 0)


class Link:
    """Forwards one listening port to another. Faults apply to open connections, too."""

    def __init__(self, listen_port, target_port):
        self.listen_port = listen_port
        self.target_port = target_port
        self.delay_s = 0.0
        self.forwards = True
        self.returns = True
        self._passes = asyncio.Event()
        self._passes.set()
        self._writers = set()
        self._serving = set()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", self.listen_port)

    async def stop(self):
        self._server.close()
        self.reset()
        for task in list(self._serving):
            task.cancel()
        await asyncio.gather(*self._serving, return_exceptions=True)

    def heal(self):
        self.delay_s, self.forwards, self.returns = 0.0, True, True
        self._passes.set()

    def cut(self, forwards, returns):
        """Blocks the directions that are false. Data waits until `heal`, as in a partition."""
        self.forwards, self.returns = forwards, returns
        self._passes.clear()

    def reset(self):
        """Resets all open connections."""
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            if sock is not None and sock.fileno() != -1:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NOTHING)
            writer.transport.abort()

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
        self._writers |= {writer, target_writer}
        try:
            await asyncio.gather(
                self._copy(reader, target_writer, lambda: self.forwards),
                self._copy(target_reader, writer, lambda: self.returns),
            )
        finally:
            self._writers -= {writer, target_writer}

    async def _copy(self, reader, writer, passes):
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s > 0:
                    await asyncio.sleep(self.delay_s)
                while not passes():
                    await self._passes.wait()
                    await asyncio.sleep(0)
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except (OSError, RuntimeError):
            writer.transport.abort()
