"""Just enough HTTP/1.1 for the soak's stand-ins."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Message:
    first: tuple
    headers: dict
    body: bytes

    @property
    def method(self):
        return self.first[0]

    @property
    def target(self):
        return self.first[1]

    @property
    def status(self):
        return int(self.first[1])


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
    """None when the connection ended before a request began."""
    if not (first := await reader.read(1)):
        return None
    reader._buffer[:0] = first  # put back what was read to find the end
    return await _read(reader)


read_response = _read


async def write_response(writer, status, body, headers=()):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    await writer.drain()


async def write_request(writer, method, target, headers, body=b""):
    lines = [f"{method} {target} HTTP/1.1", *headers, f"Content-Length: {len(body)}"]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    await writer.drain()
