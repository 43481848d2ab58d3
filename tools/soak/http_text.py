"""Just enough HTTP/1.1 on asyncio streams for callers, targets and the store's stand-in."""
import asyncio
import json

REPEATABLE_FIELD = "x-catkintally-tenant"


async def read_head(reader):
    """First line and header fields (lower case); None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("connection ended inside a head") from error
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:-2]:
        name, _, value = line.partition(":")
        name, value = name.strip().lower(), value.strip()
        # A target that takes the first of several names must not be fooled.
        fields[name] = f"{fields[name]}, {value}" if name == REPEATABLE_FIELD and name in fields \
            else value
    return lines[0], fields


async def read_body(reader, fields):
    length = int(fields.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


def message(first_line, fields, body=b""):
    """Bytes of one message with its length."""
    lines = [first_line] + [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def is_refusal(answer):
    """True if the answer of a target says that the request was not run."""
    return b"X-Catkintally-Not-Executed" in answer.partition(b"\r\n\r\n")[0]


def with_field(answer, name, value):
    """The message with another value of a header field, or without the field."""
    head, _, body = answer.partition(b"\r\n\r\n")
    lines = [line for line in head.split(b"\r\n") if not line.startswith(name.encode() + b":")]
    if value is not None:
        lines.append(f"{name}: {value}".encode("latin-1"))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


async def call(port, method, path, body=None, timeout=2.0):
    """Status and JSON of one call on a connection of its own; status 0 without an answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            data = b"" if body is None else json.dumps(body).encode()
            writer.write(message(f"{method} {path} HTTP/1.1", {"Host": "soak"}, data))
            head = await read_head(reader)
            if head is None:
                return 0, None
            answer = await read_body(reader, head[1])
            return int(head[0].split()[1]), json.loads(answer) if answer[:1] in (b"{", b"[") else None
    except (OSError, ValueError, asyncio.IncompleteReadError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()
