"""A TCP proxy on loopback that injects network faults."""

import asyncio


class Proxy:
    """Forwards connections to one target; `mode` selects the fault."""

    # "cut_out" drops the data sent to the target and "cut_back" the data
    # sent by it. "silent" drops both directions on the connections that are
    # open now; new connections work.
    MODES = ("pass", "delay", "reset", "cut_out", "cut_back", "refuse",
             "silent")

    def __init__(self, host, port, target_host, target_port):
        self.host, self.port = host, port
        self.target_host, self.target_port = target_host, target_port
        self.mode = "pass"
        self.delay_s = 0.0
        self.server = None
        self.open_pairs = set()
        # Open connections whose data is dropped until they close.
        self.silenced = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host,
                                                 self.port)

    async def stop(self):
        self.stop_now()

    def stop_now(self):
        """Refuses new connections and resets the open ones."""
        self.server.close()
        self.reset_all()

    def set_mode(self, mode, delay_s=0.0):
        self.mode, self.delay_s = mode, delay_s
        if mode in ("reset", "refuse"):
            self.reset_all()
        if mode == "silent":
            self.silenced |= self.open_pairs
            self.mode = "pass"

    def reset_all(self):
        for writers in list(self.open_pairs):
            for writer in writers:
                writer.transport.abort()

    async def serve(self, reader, writer):
        if self.mode == "refuse":
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self.target_host, self.target_port)
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, target_writer)
        self.open_pairs.add(pair)
        await asyncio.gather(
            self.relay(pair, reader, target_writer, "cut_out"),
            self.relay(pair, target_reader, writer, "cut_back"),
            return_exceptions=True)
        self.open_pairs.discard(pair)
        self.silenced.discard(pair)
        for end in pair:
            end.close()

    async def relay(self, pair, reader, writer, drop_mode):
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(self.delay_s)
                if self.mode == drop_mode or pair in self.silenced:
                    continue
                writer.write(data)
                await writer.drain()
            if pair not in self.silenced and writer.can_write_eof():
                writer.write_eof()
        except OSError:
            for end in pair:
                end.transport.abort()
