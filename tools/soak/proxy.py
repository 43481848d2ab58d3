"""A loopback proxy for one address that delays, resets, silences or cuts connections one way."""
import asyncio
import socket
import struct


class Proxy:
    """Forwards connections to `target_port`. `mode` holds for open and for new connections:
    ok, delay (SECONDS each way), silent, no_requests or no_answers (one way only), refuse."""

    def __init__(self, target_port, left=lambda port, how: None):
        self.target_port = target_port
        # Hears that a connection's opener has ended it, by "fin" or "reset", with the port on the
        # target's side.
        self.left = left
        self.mode = "ok"
        self.delay = 0.0
        self.port = 0
        self.server = None
        self.open = set()

    async def start(self):
        """Listens, on the same port as before if it was closed."""
        try:
            self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        except OSError:
            # An outgoing connection has taken the port meanwhile.
            self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self):
        """Refuses new connections, as a machine without the program does."""
        self.server.close()

    async def serve(self, reader, writer):
        if self.mode == "refuse":
            reset(writer)
            return
        try:
            inner_reader, inner_writer = await asyncio.open_connection(
                "127.0.0.1", self.target_port)
        except OSError:
            reset(writer)
            return
        pair = (writer, inner_writer)
        self.open.add(pair)
        try:
            await asyncio.gather(
                self.pump_requests(reader, inner_writer),
                self.pump(inner_reader, writer, "no_answers"))
        except OSError:
            # One side has reset its connection, and so does the proxy on the other one.
            reset(writer)
            reset(inner_writer)
        finally:
            self.open.discard(pair)
            writer.close()
            inner_writer.close()

    async def pump_requests(self, reader, writer):
        port = writer.get_extra_info("sockname")[1]
        try:
            await self.pump(reader, writer, "no_requests")
        except OSError:
            if reader.exception() is not None:
                self.left(port, "reset")
            raise
        if reader.at_eof():
            self.left(port, "fin")

    async def pump(self, reader, writer, cut):
        while data := await reader.read(65536):
            if self.mode == "delay":
                await asyncio.sleep(self.delay)
            if self.mode in ("silent", cut):
                # Held back bytes are lost for good, as with a peer that lost power.
                continue
            writer.write(data)
            await writer.drain()
        if self.mode not in ("silent", cut) and writer.can_write_eof():
            writer.write_eof()

    def reset_open(self):
        """Resets every open connection on both sides."""
        for pair in list(self.open):
            for writer in pair:
                reset(writer)

    def stop(self):
        self.reset_open()
        self.close()


def reset(writer):
    """Closes a connection with a reset instead of an orderly end."""
    raw = writer.get_extra_info("socket")
    if raw is not None and raw.fileno() >= 0:
        try:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            # The connection is closed already, so there is nothing to reset.
            pass
    writer.transport.abort()
