"""A stand-in of the platform's store: items, history and watches over HTTP."""

import asyncio
import base64
import json
import time
from urllib import parse

_PAGE_ITEMS = 500
_PAGE_BYTES = 1_000_000
_ANSWER_S = 0.004
HISTORY_S = 20.0


class Store:
    """Holds items, and serves range reads and watches."""

    def __init__(self, address: str, port: int) -> None:
        self.address = address
        self.port = port
        self.revision = 1
        self.calls = 0
        self._items: dict[str, dict] = {}
        # Each change with the time at which it was made.
        self._history: list[tuple[float, dict]] = []
        # Revision of the latest change that was dropped; 0 for none.
        self._dropped = 0
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start serving."""
        self._server = await asyncio.start_server(
            self._serve, self.address, self.port
        )

    def stop(self) -> None:
        """Stop serving."""
        if self._server is not None:
            self._server.close()

    async def put(self, key: str, value: bytes | None) -> float:
        """Write or remove a key; return when it was acknowledged."""
        await asyncio.sleep(_ANSWER_S)
        self.revision += 1
        if value is None:
            self._items.pop(key, None)
            item = {'key': key, 'rev': self.revision, 'deleted': True}
        else:
            created = self._items.get(key, {}).get('create_rev', self.revision)
            item = {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'rev': self.revision,
                'create_rev': created,
                'lease_id': 0,
            }
            self._items[key] = item
        now = time.monotonic()
        self._history.append((now, item))
        self._drop_history()
        async with self._changed:
            self._changed.notify_all()
        return now

    def value(self, key: str) -> bytes | None:
        """Return the value of a key."""
        item = self._items.get(key)
        return None if item is None else base64.b64decode(item['value'])

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                target = head.split(b' ', 2)[1].decode()
                status, body = await self._answer(target)
                await asyncio.sleep(_ANSWER_S)
                payload = json.dumps(body).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
                    f'Store-Era: 1\r\nContent-Length: {len(payload)}\r\n\r\n'
                    .encode()
                    + payload
                )
                await writer.drain()
        except (asyncio.CancelledError, asyncio.IncompleteReadError, OSError):
            # The entry VM has closed its connection, or the case is over.
            pass
        finally:
            writer.transport.abort()

    async def _answer(self, target: str) -> tuple[int, dict]:
        self.calls += 1
        path, _, text = target.partition('?')
        query = dict(parse.parse_qsl(text, keep_blank_values=True))
        if path == '/-/kv-range':
            return 200, self._range(query)
        if path == '/-/kv-watch':
            return await self._watch(query)
        return 404, {}

    def _range(self, query: dict[str, str]) -> dict:
        after = query.get('after', '')
        keys = sorted(
            key
            for key in self._items
            if key.startswith(query.get('prefix', '')) and key > after
        )
        page: list[dict] = []
        size = 0
        for key in keys[:_PAGE_ITEMS]:
            size += len(self._items[key]['value'])
            if page and size > _PAGE_BYTES:
                break
            page.append(self._items[key])
        return {
            'items': page,
            'has_more': len(page) < len(keys),
            'as_of': self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        after = int(query['after'])
        prefix = query.get('prefix', '')
        wait_s = min(30.0, int(query.get('wait_ms', '0')) / 1000)
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(
                    lambda: self._events(after, prefix)
                    or after < self._dropped
                )
        except TimeoutError:
            pass
        self._drop_history()
        if after < self._dropped:
            return 410, {}
        events = self._events(after, prefix)
        return 200, {'events': events, 'as_of': max(after, self.revision)}

    def _drop_history(self) -> None:
        oldest = time.monotonic() - HISTORY_S
        while self._history and self._history[0][0] < oldest:
            self._dropped = self._history.pop(0)[1]['rev']

    def _events(self, after: int, prefix: str) -> list[dict]:
        return [
            item
            for _, item in self._history
            if item['rev'] > after and item['key'].startswith(prefix)
        ]
