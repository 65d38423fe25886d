"""
Stand-in for the platform: its store of rows and its list of machines.

Usage: platform_process.py STORE_ADDRESS CLOUD_ADDRESS.  The store speaks the
calls of PROTOCOL.md that the system makes.  Three more calls serve the
workers and the operator of a case: ``POST /standin/beat`` (a worker writes its
entry), ``POST /standin/op`` (the operator writes a row) and
``POST /standin/machines`` (the machines that the list shows).
"""

import asyncio
import base64
import json
import sys
import time

import httpserver

ANSWER_S = 0.004
BEAT_S = 1.5
#: Entries of silent workers go after three heartbeat intervals.
ENTRY_LIFE_S = 3 * BEAT_S
MAX_ROWS = 500
HISTORY = 200_000


class Store:
    """Versioned rows with atomic transactions and a feed of changes."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.log = []
        self.changed = asyncio.Event()

    def write(self, changes):
        """Apply *changes*, of (table, part, key) to a value or None."""
        self.version += 1
        for key, value in changes.items():
            if value is None:
                if self.rows.pop(key, None) is None:
                    continue
            else:
                self.rows[key] = (value, self.version)
            self.log.append((self.version, key, value))
        del self.log[:-HISTORY]
        self.changed.set()
        self.changed = asyncio.Event()

    def version_of(self, key):
        row = self.rows.get(key)
        return row[1] if row else 0

    def body_of(self, key):
        value, version = self.rows[key]
        table, part, name = key
        return {
            'table': table,
            'part': part,
            'key': name,
            'value': value,
            'ver': version,
        }


def key_of(entry):
    return (entry['table'], entry.get('part', ''), entry['key'])


def encode(value):
    return base64.b64encode(json.dumps(value).encode()).decode()


class Platform:
    """Answers the calls of the store and of the list of machines."""

    def __init__(self):
        self.store = Store()
        self.machines = []
        self.heard = {}
        self.orders = []

    async def on_store(self, method, path, query, headers, body):
        """Answer one call of the store."""
        if path.startswith('/standin/'):
            return self.on_standin(path, json.loads(body))
        await asyncio.sleep(ANSWER_S)
        if path == '/v1/rows-tx':
            return self.commit(json.loads(body))
        if path == '/v1/rows-get':
            return self.read(query)
        if path == '/v1/rows-feed':
            return await self.follow(query)
        if path == '/v1/rows-parts':
            parts = {
                key[1] for key in self.store.rows if key[0] == query['table']
            }
            return 200, {
                'parts': sorted(parts),
                'hasMore': False,
                **self.stamp(),
            }
        return 400, {}

    def stamp(self):
        return {
            'ver': self.store.version,
            'serverTimeMs': round(time.monotonic() * 1000),
        }

    def commit(self, call):
        checks = call.get('precondition') or []
        failed = any(
            self.store.version_of(key_of(each)) != each.get('ver', 0)
            for each in checks
        )
        if failed:
            keys = [key_of(each) for each in checks]
            rows = [
                self.store.body_of(key)
                for key in keys
                if key in self.store.rows
            ]
            return 412, {'rows': rows, **self.stamp()}
        changes = {
            key_of(each): each['value'] for each in call.get('puts') or []
        }
        changes |= {key_of(each): None for each in call.get('remove') or []}
        if any(key[0] in {'op', 'servers'} for key in changes):
            return 403, {}
        if changes:
            self.store.write(changes)
        return 200, self.stamp()

    def read(self, query):
        limit = min(MAX_ROWS, int(query.get('limit', MAX_ROWS)))
        first, last = query.get('from', ''), query.get('to')
        keys = sorted(
            key
            for key in self.store.rows
            if key[:2] == (query['table'], query.get('part', ''))
            and key[2] >= first
            and (last is None or key[2] < last)
        )
        rows = [self.store.body_of(key) for key in keys[:limit]]
        return 200, {'rows': rows, 'hasMore': len(keys) > limit, **self.stamp()}

    async def follow(self, query):
        after = int(query['after'])
        until = time.monotonic() + int(query.get('waitMs', 0)) / 1000
        while True:
            rows = [
                self.change_body(*each)
                for each in self.store.log
                if each[0] > after and each[1][0] == query['table']
            ]
            remaining = until - time.monotonic()
            if rows or remaining <= 0:
                return 200, {'rows': rows, **self.stamp()}
            changed = self.store.changed
            try:
                await asyncio.wait_for(changed.wait(), remaining)
            except TimeoutError:
                pass

    def change_body(self, version, key, value):
        table, part, name = key
        body = {'table': table, 'part': part, 'key': name, 'ver': version}
        if value is None:
            return {**body, 'removed': True}
        return {**body, 'value': value}

    def on_standin(self, path, body):
        if path == '/standin/beat':
            self.heard[body['id']] = time.monotonic()
            key = ('servers', '', body['id'])
            self.store.write({key: encode(body['entry'])})
        elif path == '/standin/op':
            self.store.write({('op', '', body['key']): encode(body['value'])})
        elif path == '/standin/machines':
            self.machines = body
        return 200, {}

    async def expire(self):
        """Remove the entries of workers that have been silent."""
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for worker_id, heard in list(self.heard.items()):
                if now - heard > ENTRY_LIFE_S:
                    del self.heard[worker_id]
                    self.store.write({('servers', '', worker_id): None})

    async def on_cloud(self, method, path, query, headers, body):
        """Answer one call for machines; none may be moved in these cases."""
        await asyncio.sleep(ANSWER_S)
        if method == 'GET' and path == '/v1/machines':
            return 200, {'machines': self.machines, 'nextToken': ''}
        return 409, {'reason': 'busy'}


async def main(store_address, cloud_address):
    platform = Platform()
    for address, handler in (
        (store_address, platform.on_store),
        (cloud_address, platform.on_cloud),
    ):
        host, _colon, port = address.rpartition(':')
        await httpserver.start(handler, host, int(port))
    await platform.expire()


if __name__ == '__main__':
    asyncio.run(main(*sys.argv[1:]))
