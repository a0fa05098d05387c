"""A stand-in of the platform's store: range reads and watches over HTTP.

Written from PROTOCOL.md ("The platform's metadata store"). The operator and
the servers write to it directly.
"""

import asyncio
import base64
import json
import urllib.parse

HISTORY_S = 20.0


class Store:
    """Holds items and their history.

    Args:
        page: Most items in a page.
    """

    def __init__(self, page=500):
        self.page = page
        self.rev = 100
        self.answer_s = 0.004
        self.is_deaf = False  # Watches hear nothing.
        self.on_page = None  # Called with the keys of each page once sent.
        self.calls = 0
        self._items = {}
        self._history = []
        self._first_rev = self.rev
        self._changed = asyncio.Condition()
        self._server = None
        self._cut = asyncio.Event()
        self._tasks = set()

    def put(self, key, value):
        self.rev += 1
        if value is None:
            self._items.pop(key, None)
        else:
            self._items[key] = (value, self.rev)
        self._history.append((key, value, self.rev))
        task = asyncio.get_running_loop().create_task(self._notify())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return self.rev

    def compact(self):
        """Drop the history, and cut the watches."""
        self._history.clear()
        self._first_rev = self.rev
        self._cut.set()
        self._cut = asyncio.Event()

    async def start(self, address):
        self._server = await asyncio.start_server(self._serve, *address)

    def stop(self):
        self._server.close()

    async def _notify(self):
        async with self._changed:
            self._changed.notify_all()

    async def _serve(self, reader, writer):
        try:
            while line := await reader.readline():
                while (await reader.readline()).strip():
                    pass
                target = line.split()[1].decode()
                self.calls += 1
                status, body, after_sent = await self._answer(target)
                payload = json.dumps(body).encode()
                writer.write(
                    b'HTTP/1.1 %d X\r\nStore-Era: 1\r\n'
                    b'Content-Type: application/json\r\n'
                    b'Content-Length: %d\r\n\r\n' % (status, len(payload))
                    + payload
                )
                await writer.drain()
                if after_sent:
                    after_sent()
        except (OSError, ConnectionError):
            pass
        finally:
            writer.transport.abort()

    async def _answer(self, target):
        url = urllib.parse.urlsplit(target)
        query = {
            name: texts[0]
            for name, texts in urllib.parse.parse_qs(
                url.query, keep_blank_values=True).items()
        }
        if url.path == '/-/kv-range':
            return await self._range(query)
        if url.path == '/-/kv-watch':
            return await self._watch(query)
        return 404, {'error': 'no such call'}, None

    async def _range(self, query):
        prefix, after = query.get('prefix', ''), query.get('after', '')
        await asyncio.sleep(self.answer_s)
        keys = sorted(key for key in self._items
                      if key.startswith(prefix) and key > after)
        page = keys[:self.page]
        body = {
            'items': [_item(key, *self._items[key]) for key in page],
            'has_more': len(keys) > len(page), 'as_of': self.rev,
        }
        hook = self.on_page
        after_sent = None
        if hook:
            def after_sent():
                hook(page, body['has_more'], query)
        return 200, body, after_sent

    async def _watch(self, query):
        after = int(query['after'])
        prefix = query.get('prefix', '')
        wait_s = int(query['wait_ms']) / 1000
        await asyncio.sleep(self.answer_s)
        cut = self._cut
        end = asyncio.get_running_loop().time() + wait_s
        while True:
            if not self._first_rev <= after <= self.rev:
                return 410, {'error': 'history gone'}, None
            events = [_event(*change) for change in self._history
                      if change[2] > after and change[0].startswith(prefix)]
            left = end - asyncio.get_running_loop().time()
            if self.is_deaf:
                events = []
                if left <= 0:
                    return 200, {'events': [], 'as_of': after}, None
            elif events or left <= 0:
                return 200, {'events': events, 'as_of': self.rev}, None
            if cut.is_set():
                raise ConnectionResetError
            try:
                async with asyncio.timeout(min(left, 0.05)), self._changed:
                    await self._changed.wait()
            except TimeoutError:
                pass


def _item(key, value, rev):
    return {'key': key, 'value': base64.b64encode(value).decode(), 'rev': rev,
            'create_rev': rev, 'lease_id': 0}


def _event(key, value, rev):
    if value is None:
        return {'key': key, 'rev': rev, 'deleted': True}
    return _item(key, value, rev)
