"""Stand-in for the platform: the object store, with lists, watches and an operator's writes."""
import asyncio
import json
import urllib.parse


class Platform:
    """An in-memory store. `reject` may return a status or 'silent' for a call, by its path."""

    def __init__(self):
        self.revision = 1
        self.objects = {}
        self.history = []
        self.changed = asyncio.Condition()
        self.reject = lambda kind, query: None
        self.server = None

    async def start(self, host, port=0):
        self.server = await asyncio.start_server(self.serve, host, port)
        return self.server.sockets[0].getsockname()[1]

    async def put(self, kind, name, spec):
        """Writes an object; returns when the store has acknowledged it."""
        async with self.changed:
            known = self.objects.get((kind, name))
            if known is not None and known["spec"] == spec:
                return
            self.revision += 1
            created = known["metadata"]["created"] if known else self.revision
            self.objects[kind, name] = {
                "metadata": {"name": name, "revision": self.revision, "created": created,
                             "finalizers": [], "deleting": False},
                "spec": spec, "status": None}
            self.history.append((self.revision, kind, False, self.objects[kind, name]))
            self.changed.notify_all()

    async def remove(self, kind, name):
        async with self.changed:
            known = self.objects.pop((kind, name), None)
            if known is None:
                return
            self.revision += 1
            gone = dict(known, metadata=dict(known["metadata"], revision=self.revision))
            self.history.append((self.revision, kind, True, gone))
            self.changed.notify_all()

    def events(self, kind, after):
        return [{"object": entry, "deleted": deleted}
                for revision, of, deleted, entry in self.history if revision > after and of == kind]

    async def answer(self, kind, query):
        if "watch" in query:
            after = int(query["watch"])
            wait = int(query.get("wait-ms", "0")) / 1000
            async with self.changed:
                try:
                    await asyncio.wait_for(
                        self.changed.wait_for(lambda: bool(self.events(kind, after))), wait)
                except asyncio.TimeoutError:
                    pass
            return {"events": self.events(kind, after), "store-revision": self.revision}
        names = sorted(name for of, name in self.objects if of == kind)
        names = [name for name in names if name > query.get("after", "")]
        return {"items": [self.objects[kind, name] for name in names[:500]],
                "more": len(names) > 500, "store-revision": self.revision}

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ")[1].decode()
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                kind = url.path.removeprefix("/v1/objects/").split("/")[0]
                status = self.reject(kind, query)
                if status == "silent":
                    await asyncio.sleep(3600)
                body = json.dumps(await self.answer(kind, query) if status is None else {}).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status or 200, len(body)) + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()
