"""Minimal HTTP/1.1 reader and writer for the soak's clients and stand-ins."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Message:
    start_line: tuple
    headers: dict
    body: bytes

    @property
    def method(self):
        return self.start_line[0]

    @property
    def target(self):
        return self.start_line[1]

    @property
    def status(self):
        return int(self.start_line[1])


async def _read(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(tuple(head[0].split(" ", 2)), headers, body)


async def read_request(reader):
    """Returns None if the connection ends before a request begins."""
    if not (first_byte := await reader.read(1)):
        return None
    # Puts back the byte that was read to detect the end of the connection.
    reader._buffer[:0] = first_byte
    return await _read(reader)


read_response = _read


async def write_response(writer, status, body, headers=()):
    """Returns the bytes of the response."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    response = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
    writer.write(response)
    await writer.drain()
    return response


async def write_request(writer, method, target, headers, body=b""):
    lines = [f"{method} {target} HTTP/1.1", *headers, f"Content-Length: {len(body)}"]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    await writer.drain()
