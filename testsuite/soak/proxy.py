"""A TCP proxy on loopback that harms connections from outside."""

import asyncio


class Proxy:
    """Forwards connections to one address, as its `mode` says."""

    # "cut_out" and "cut_back" lose one direction, "silent" stops both on the
    # connections that are open, while new ones work.
    MODES = ("pass", "delay", "reset", "cut_out", "cut_back", "refuse",
             "silent")

    def __init__(self, host, port, to_host, to_port):
        self.host, self.port = host, port
        self.to_host, self.to_port = to_host, to_port
        self.mode = "pass"
        self.delay_s = 0.0
        self.server = None
        self.open = set()
        # Connections that have gone silent for good.
        self.silenced = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host,
                                                 self.port)

    async def stop(self):
        self.server.close()
        self.reset_all()

    def set_mode(self, mode, delay_s=0.0):
        self.mode, self.delay_s = mode, delay_s
        if mode in ("reset", "refuse"):
            self.reset_all()
        if mode == "silent":
            self.silenced |= self.open
            self.mode = "pass"

    def reset_all(self):
        for writers in list(self.open):
            for writer in writers:
                writer.transport.abort()

    async def serve(self, reader, writer):
        if self.mode == "refuse":
            writer.transport.abort()
            return
        try:
            back_reader, back_writer = await asyncio.open_connection(
                self.to_host, self.to_port)
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, back_writer)
        self.open.add(pair)
        await asyncio.gather(self.pump(pair, reader, back_writer, "cut_out"),
                             self.pump(pair, back_reader, writer, "cut_back"),
                             return_exceptions=True)
        self.open.discard(pair)
        self.silenced.discard(pair)
        for one in pair:
            one.close()

    async def pump(self, pair, reader, writer, cut):
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(self.delay_s)
                if self.mode == cut or pair in self.silenced:
                    continue
                writer.write(data)
                await writer.drain()
            if pair not in self.silenced and writer.can_write_eof():
                writer.write_eof()
        except OSError:
            for one in pair:
                one.transport.abort()
