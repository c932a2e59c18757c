"""TCP proxy on loopback that delays, discards or resets the traffic."""

import asyncio


class FaultProxy:
    def __init__(self, target):
        self.target = target
        # None forwards all data. "delay" holds each chunk back, "silent" discards
        # data in both directions, "one_way" discards data from the target, "refuse"
        # resets new connections.
        self.mode = None
        self.writers = set()

    async def start(self, host, port):
        self.server = await asyncio.start_server(self._serve, host, port)

    def reset_all(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        if self.mode == "refuse":
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, target_writer}
        await asyncio.gather(
            self._pump(reader, target_writer, True),
            self._pump(target_reader, writer, False))
        self.writers -= {writer, target_writer}

    async def _pump(self, reader, writer, to_target):
        try:
            while data := await reader.read(65536):
                if self.mode == "silent" or (self.mode == "one_way" and not to_target):
                    continue
                if self.mode == "delay":
                    await asyncio.sleep(0.3)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        writer.close()
