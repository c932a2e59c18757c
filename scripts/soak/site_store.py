"""Stand-in of the platform's store for the soak, with watches, outages and returns
from a copy."""

import asyncio
import copy
import json
from urllib.parse import parse_qs, urlsplit

from http_wire import read_request, write_response


class RawSpec(str):
    """Text that stands in the answers of the store as it is."""


class SiteStore:
    def __init__(self):
        self.objects = {}
        self.revision = 1
        self.changed = asyncio.Event()
        # None, "refuse" (answers 503), "silent" (no answer) or "lost" (the operation
        # takes effect, but the connection is reset instead of an answer).
        self.outage = None
        # Rises each time the store comes back from a copy.
        self.era = 1

    def copy(self):
        return copy.deepcopy(self.objects), self.revision

    def restore(self, saved):
        """Comes back from a copy: what was written since is gone, and its revisions
        are given out again."""
        self.objects, self.revision = copy.deepcopy(saved[0]), saved[1]
        self.era += 1

    def put(self, kind, name, spec):
        self.revision += 1
        created = self.objects.get((kind, name), {}).get("created", self.revision)
        self.objects[kind, name] = {
            "name": name, "revision": self.revision, "created": created, "spec": spec}
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    @staticmethod
    def _object_json(entry):
        metadata = {k: entry[k] for k in ("name", "revision", "created")}
        return {"metadata": {**metadata, "finalizers": [], "deleting": False},
                "spec": entry["spec"], "status": None}

    @staticmethod
    def _encode(body):
        raw_specs = []

        def mark(entry):
            raw_specs.append(entry["spec"])
            return {**entry, "spec": f"@raw{len(raw_specs) - 1}@"}

        def marked(entry):
            return mark(entry) if isinstance(entry.get("spec"), RawSpec) else entry

        if "items" in body:
            body = {**body, "items": [marked(e) for e in body["items"]]}
        elif "events" in body:
            body = {**body, "events": [
                {**e, "object": marked(e["object"])} for e in body["events"]]}
        text = json.dumps(marked(body))
        for number, spec in enumerate(raw_specs):
            text = text.replace(f'"@raw{number}@"', spec)
        return text.encode()

    async def serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                outage = self.outage
                if outage == "silent":
                    await asyncio.sleep(30)
                    return
                era_header = (f"Store-Era: {self.era}",)
                if outage == "refuse":
                    await write_response(writer, 503, b"{}", era_header)
                    continue
                status, body = await self._handle(request)
                if outage == "lost":
                    writer.transport.abort()
                    return
                era_header = (f"Store-Era: {self.era}",)
                await write_response(writer, status, self._encode(body), era_header)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _handle(self, request):
        url = urlsplit(request.target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        segments = url.path.split("/")[3:]
        kind, name = segments[0], segments[1] if len(segments) > 1 else None
        if request.method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query["waitMs"]))
        if request.method == "GET" and name:
            entry = self.objects.get((kind, name))
            return (200, self._object_json(entry)) if entry else (404, {})
        if request.method == "GET":
            items = [self._object_json(e) for (k, _), e in sorted(self.objects.items())
                     if k == kind]
            return 200, {"items": items, "more": False, "storeRevision": self.revision}
        body = json.loads(request.body)
        expected_revision = body["metadata"].get("revision")
        key = (kind, name or body["metadata"]["name"])
        current = self.objects.get(key)
        if request.method == "POST" and current:
            return 409, self._object_json(current)
        if request.method == "PUT" and not current:
            return 404, {}
        if expected_revision and current and current["revision"] != expected_revision:
            return 409, self._object_json(current)
        self.put(*key, body["spec"])
        return 200, self._object_json(self.objects[key])

    async def _watch(self, kind, revision, wait_ms):
        if revision > self.revision:
            return 410, {}
        deadline = asyncio.get_running_loop().time() + wait_ms / 1000
        while True:
            events = [{"deleted": False, "object": self._object_json(e)}
                      for (k, _), e in self.objects.items()
                      if k == kind and e["revision"] > revision]
            remaining_s = deadline - asyncio.get_running_loop().time()
            if events or remaining_s <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), remaining_s)
            except asyncio.TimeoutError:
                pass
