"""A proxy between two loopback addresses, whose channels can be silenced or cut."""

import asyncio
import re


class Link:
    """Forwards one listener to another address.

    `silence()` makes the open channels silent for good, without a reset; new ones work.
    `cut()` lets nothing pass in either direction, on old channels and new ones, until `heal()`.
    `cut_from(name)` does so for the channels of one program, which names itself in a header.
    """

    def __init__(self, listen, target, name_header=None):
        self._listen = listen
        self._target = target
        self._name = name_header and re.compile(
            name_header.encode() + rb": *([^\r]*)\r", re.IGNORECASE)
        self._changed = asyncio.Event()
        self._is_cut = False
        self._cut_names = set()
        self._channels = []

    async def start(self):
        self._server = await asyncio.start_server(self._accept, *self._listen)

    def silence(self):
        for channel in self._channels:
            channel["silent"] = True
        return len(self._channels)

    def cut(self):
        self._is_cut = True

    def cut_from(self, name):
        self._cut_names.add(name)

    def heal(self):
        self._is_cut = False
        self._cut_names.clear()
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _pass(self, channel):
        while self._is_cut or any(channel["name"].startswith(name) for name in self._cut_names):
            await self._changed.wait()

    async def _accept(self, reader, writer):
        channel = {"silent": False, "name": ""}
        self._channels.append(channel)
        try:
            first = await reader.read(65536)
            found = self._name and self._name.search(first)
            if found:
                channel["name"] = found.group(1).decode()
            await self._pass(channel)
            far_reader, far_writer = await asyncio.open_connection(*self._target)
            far_writer.write(first)
        except OSError:
            self._channels.remove(channel)
            writer.close()
            return
        await asyncio.gather(self._pump(reader, far_writer, channel),
                             self._pump(far_reader, writer, channel))
        self._channels.remove(channel)

    async def _pump(self, reader, writer, channel):
        try:
            while True:
                data = await reader.read(65536)
                await self._pass(channel)
                if channel["silent"]:
                    if not data:
                        await asyncio.sleep(3600)
                    continue
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()
