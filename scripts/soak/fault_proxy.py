"""Loopback proxy whose connections are delayed, reset, cut one way or silenced."""

import asyncio


class FaultProxy:
    def __init__(self, target):
        self.target = target
        # None, "delay", "silent" (both ways), "one_way" (answers are lost).
        self.mode = None
        self.writers = set()

    async def start(self, host, port):
        self.server = await asyncio.start_server(self._serve, host, port)

    def reset_all(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        await asyncio.gather(
            self._pump(reader, far_writer, True), self._pump(far_reader, writer, False))
        self.writers -= {writer, far_writer}

    async def _pump(self, reader, writer, forward):
        try:
            while data := await reader.read(65536):
                if self.mode == "silent" or (self.mode == "one_way" and not forward):
                    continue
                if self.mode == "delay":
                    await asyncio.sleep(0.3)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        writer.close()
