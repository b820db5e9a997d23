"""Bytes that a peer may send where an HTTP message is expected, although no correct peer does.

The same table as src/libhttp/testing/odd_messages.h, for real processes.
"""

# Reader and sockets together hold less than this of a message without end.
MAX_TAKEN_BYTES = 16 << 20
# Beast stores at most 65533 bytes in a field.
HUGE = b"x" * 70000
NOISE_LINE = b"X-Noise: " + b"x" * 1000 + b"\r\n"


def odd_messages(start_line, fields=b""):
    """Returns (name, bytes, endless) for each odd message; endless is sent repeatedly until the reader closes."""
    head = start_line + b"\r\n" + fields
    chunked = head + b"Transfer-Encoding: chunked\r\n\r\n"
    last_chunk = chunked + b"2\r\nok\r\n0\r\n"
    return [
        ("huge field in the header", head + b"X: " + HUGE + b"\r\n\r\n", b""),
        ("huge field name in the header", head + HUGE + b": x\r\n\r\n", b""),
        ("huge start line", start_line + HUGE + b"\r\n\r\n", b""),
        ("huge field behind the last chunk", last_chunk + b"X: " + HUGE + b"\r\n\r\n", b""),
        ("huge field name behind the last chunk", last_chunk + HUGE + b": x\r\n\r\n", b""),
        ("second length behind the last chunk", last_chunk + b"Content-Length: 2\r\n\r\n", b""),
        ("huge chunk extension", chunked + b"2;x=" + HUGE + b"\r\nok\r\n0\r\n\r\n", b""),
        ("chunk size beyond 64 bits", chunked + b"fffffffffffffffff\r\nok\r\n0\r\n\r\n", b""),
        ("negative chunk size", chunked + b"-1\r\nok\r\n0\r\n\r\n", b""),
        ("two lengths", head + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nok", b""),
        ("zero bytes", bytes(100), b""),
        ("fields without end in the header", head, NOISE_LINE),
        ("start line without end", start_line, HUGE),
        ("fields without end behind the last chunk", last_chunk, NOISE_LINE),
        ("one field without end behind the last chunk", last_chunk + b"X: ", HUGE),
        ("chunk extension without end", chunked + b"2;x=", HUGE),
        ("chunk size without end", chunked, b"0" * 1000),
        ("noise without end", b"", b"\x07" * 1000),
    ]


def odd_responses(fields=b""):
    """Returns (name, bytes, endless) for responses without a valid status line, and interim ones without end."""

    def response(status):
        return b"HTTP/1.1 " + status + b"\r\n" + fields + b"Content-Length: 2\r\n\r\nok"

    return [
        ("status 000", response(b"000 OK"), b""),
        ("status 099", response(b"099 OK"), b""),
        ("status 600", response(b"600 OK"), b""),
        ("status 999", response(b"999 OK"), b""),
        ("status of two digits", response(b"20 OK"), b""),
        ("status of four digits", response(b"2000 OK"), b""),
        ("negative status", response(b"-20 OK"), b""),
        ("no status", response(b"OK"), b""),
        ("interim responses without end", b"", b"HTTP/1.1 100 Continue\r\n" + fields + b"\r\n"),
    ]


async def send_odd(writer, data, endless):
    """Returns the bytes sent of a message until the peer closed, or up to MAX_TAKEN_BYTES and some more."""
    sent = 0
    try:
        writer.write(data)
        await writer.drain()
        while endless and sent <= MAX_TAKEN_BYTES and not writer.transport.is_closing():
            writer.write(endless)
            await writer.drain()
            sent += len(endless)
    except OSError:
        pass
    return sent
