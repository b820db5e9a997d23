"""Minimal HTTP/1.1 over asyncio streams for the soak test."""

import asyncio


class Message:
    """A request or response: start line, headers with lower-case names and body."""

    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    @property
    def status(self):
        return int(self.start.split()[1])


async def read_message(reader, has_body=True):
    """Returns the next message. Raises on a malformed message and at the end of the stream."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if has_body and "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readline()).strip() or b"0", 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += piece[:-2]
    return Message(lines[0], headers, body)


def format_message(start, headers, body=b""):
    """Returns the encoded message, with a Content-Length header."""
    fields = dict(headers)
    fields["Content-Length"] = str(len(body))
    text = start + "\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return text.encode("latin-1") + b"\r\n" + body


async def call(address, method, path, body=b"", timeout=1.0):
    """Sends one request on a new connection and returns the response. Raises on failure or timeout."""

    async def exchange():
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            headers = {"Host": address, "Content-Type": "application/json", "Connection": "close"}
            writer.write(format_message(f"{method} {path} HTTP/1.1", headers, body))
            return await read_message(reader)
        finally:
            writer.transport.abort()

    return await asyncio.wait_for(exchange(), timeout)
