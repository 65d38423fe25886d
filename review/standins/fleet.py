"""A small deployment: the platform's stand-ins and the real entry VMs."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from typing import Any, Final

from .http import Answer, Call, Reply, Server, request
from .record import Record
from .store import Path, Store
from .workers import Plan, Worker

ROOT: Final = pathlib.Path(__file__).resolve().parents[2]
#: The bounds that the sites share.
COMMON_BOUNDS: Final = {
    'seedLagS': 3,
    'reuseDelayS': 2,
    'graceS': 6,
    'lossSlackMs': 200,
    'downgradeMs': 250,
    'visible_ms': 3_000,
    'early_ms': 250,
    'finish_s': 14,
    'status_s': 120,
    'migrateS': 1.5,
    'maintenanceS': 2,
    'requireFence': False,
    'leaseMs': 3_000,
    'thawMs': 300,
    'pacingMs': 100,
    'maxHoldMs': 6_000,
}
#: The bounds of a site of the first size.
SMALL_BOUNDS: Final = {
    **COMMON_BOUNDS,
    'contactMs': 3_000,
    'ackTimeoutMs': 4_000,
    'catchUpS': 4,
    'drainMs': 2_000,
    'configApplyMs': 2_000,
    'maxStretchMs': 5_000,
    'recoveryS': 12,
    'gangTimeoutMs': 3_000,
    'cancel_ms': 3_000,
    'noticeMs': 4_500,
    'harmMs': 4_000,
}
#: The bounds of a site of the grown size.
GROWN_BOUNDS: Final = {
    **COMMON_BOUNDS,
    'contactMs': 4_000,
    'ackTimeoutMs': 6_000,
    'catchUpS': 6,
    'drainMs': 3_000,
    'configApplyMs': 3_000,
    'maxStretchMs': 6_000,
    'recoveryS': 15,
    'gangTimeoutMs': 4_000,
    'cancel_ms': 4_000,
    'noticeMs': 5_500,
    'harmMs': 4_500,
}
#: The bounds in force at each site, as its page gives them.
BOUNDS: Final = {
    'tuul-wash': {
        **SMALL_BOUNDS,
        'stopMs': 900,
        'farX': 2,
        'saveS': 2,
        'restoreMs': 250,
    },
    'tuul-wash-grown': {
        **GROWN_BOUNDS,
        'stopMs': 900,
        'farX': 2,
        'saveS': 2,
        'restoreMs': 250,
    },
    'halloran-desks-grown': {
        **GROWN_BOUNDS,
        'stopMs': 200,
        'farX': 3,
        'saveS': 0.5,
        'restoreMs': 600,
    },
}
HOST: Final = 'pule25.example'
#: The ports that an entry VM listens on at its own address.
FRONT, READY, CONTROL, METRICS = 8624, 8622, 8623, 9464
#: How long the system may take until it is ready, s.
READY_S: Final = 20.0


class Entry:
    """One entry VM, a process of the deploy file's command."""

    def __init__(self, name: str, ip: str, path: Path) -> None:
        self.name = name
        self.ip = ip
        self.path = path
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def front(self) -> str:
        return f'{self.ip}:{FRONT}'

    @property
    def ready(self) -> str:
        return f'{self.ip}:{READY}'

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)


class Fleet:
    """The stand-ins of one case, and the processes that it started."""

    def __init__(self, folder: pathlib.Path, site: str) -> None:
        self.folder = folder
        self.bounds = BOUNDS[site]
        self.record = Record(folder / 'record.txt')
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.store = Store()
        self.entries: dict[str, Entry] = {}
        self.workers: dict[str, Worker] = {}
        self.machines: dict[str, dict[str, Any]] = {}
        self.jobs: dict[str, list[dict[str, Any]]] = {}
        self.routes: dict[str, dict[str, Any]] = {}
        self.services: list[dict[str, Any]] = []
        self.plan_of: Callable[[Worker, str], Plan] = lambda worker, task: Plan(
            0.2
        )
        self.cloud = Server('127.0.0.1', self._handle_cloud)
        self.temporary = tempfile.TemporaryDirectory()
        self.net = random.SystemRandom().randrange(16, 240)
        self.version = 0
        self.lives = 0
        self.cloud_down = False
        #: Is told of each worker that an order is about to end.
        self.on_order: Callable[[Worker], None] = lambda worker: None

    async def open(self) -> None:
        """Start the platform."""
        await self.cloud.start()

    async def close(self) -> None:
        """End all processes that this fleet started."""
        for entry in self.entries.values():
            entry.signal(signal.SIGCONT)
            entry.signal(signal.SIGKILL)
        for entry in self.entries.values():
            if entry.process:
                entry.process.wait()
        self.temporary.cleanup()

    def add_service(self, name: str, **fields: Any) -> None:
        """Name a service in the next configuration."""
        self.services.append({'name': name, 'rejectsOverload': True, **fields})

    def add_route(self, name: str, service: str, **fields: Any) -> None:
        """Name a queue in the next configuration."""
        self.routes[name] = {
            'name': name,
            'host': HOST,
            'prefix': f'/{name}/',
            'kind': 'non_idempotent',
            'timeoutMs': 3000,
            'targetDurationMs': 600,
            'priority': 0,
            'service': service,
            'maxAttempts': 2,
            'stretch': 1.6,
            **fields,
        }

    def configure(self) -> None:
        """Write the configuration; the store's answer acknowledges it."""
        self.version += 3
        self.store.put(
            'op',
            'config',
            {
                'version': self.version,
                'routes': list(self.routes.values()),
                'services': self.services,
                'limits': {'maxBodyBytes': 262_144},
            },
        )
        names = ','.join(self.routes)
        self.record.note('config stored', version=self.version, routes=names)

    async def add_worker(
        self, name: str, service: str, cpu: int = 32_000
    ) -> Worker:
        """Start a worker on a machine of its own."""
        worker = Worker(self, f'i-{name}', f'm-{name}', service, cpu)
        self.workers[name] = worker
        self.machines[worker.machine] = {
            'state': 'up',
            'worker': worker,
            'waves': set(),
        }
        await worker.start()
        return worker

    async def add_entry(self, name: str) -> Entry:
        """Start an entry VM at an address of its own."""
        number = len(self.entries) + 1
        ip = self._free_ip(number)
        entry = Entry(name, ip, await self.store.open_path('127.0.0.1'))
        self.entries[name] = entry
        settings = pathlib.Path(self.temporary.name) / f'{name}.yaml'
        settings.write_text(json.dumps(self._settings(entry)))
        self.launch(entry)
        return entry

    def launch(self, entry: Entry) -> None:
        """Start the process of an entry VM, with the deploy file's command."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = shlex.split(deploy['roles']['entry']['run'])
        if command[0] == 'python3':
            command[0] = sys.executable
        settings = pathlib.Path(self.temporary.name) / f'{entry.name}.yaml'
        environment = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': self.temporary.name,
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'CYCLAMENSHIFT_SETTINGS': str(settings),
        }
        log = pathlib.Path(self.temporary.name) / f'{entry.name}.log'
        with log.open('ab') as output:
            entry.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self.record.note(
            'entry started', entry=entry.name, pid=entry.process.pid
        )

    async def wait_until_ready(self) -> bool:
        """Return whether all entry VMs answer 200 and own their domains."""
        deadline = time.monotonic() + READY_S
        while time.monotonic() < deadline:
            replies = [
                await request(entry.ready, 'GET', '/v1/ready')
                for entry in self.entries.values()
            ]
            owned = {key[1] for key in self.store.rows if key[0] == 'owner'}
            wanted = {route['service'] for route in self.routes.values()}
            if all(reply.status == 200 for reply in replies) and (
                wanted <= owned
            ):
                await asyncio.sleep(1.5)
                self.record.note('ready', owned=sorted(owned))
                return True
            await asyncio.sleep(0.2)
        return False

    def owner_of(self, service: str) -> str:
        """Return which entry VM last took a service, by its log."""
        for name in self.entries:
            log = pathlib.Path(self.temporary.name) / f'{name}.log'
            lines = log.read_text(errors='replace').splitlines()
            state = ''
            for line in lines:
                if f'"{service}"' in line or f'domain={service}' in line:
                    if 'Domain acquired' in line:
                        state = 'owner'
                    if 'Domain released' in line:
                        state = ''
            if state:
                return name
        return ''

    def log_of(self, name: str) -> str:
        """Return what an entry VM has written."""
        log = pathlib.Path(self.temporary.name) / f'{name}.log'
        return log.read_text(errors='replace')

    def keep_logs(self, folder: pathlib.Path) -> None:
        """Copy the logs of the entry VMs, to look at them by hand."""
        for name in self.entries:
            (folder / f'{name}.log').write_text(self.log_of(name))

    async def submit(
        self,
        entry: Entry,
        route: str,
        job_id: str,
        steps: list[Any],
        **extra: Any,
    ) -> Reply:
        """Hand a job in and note the answer."""
        self.jobs[job_id] = steps
        body = {'spec': f'spec of {job_id}', 'steps': steps, **extra}
        reply = await request(
            entry.front, 'POST', f'/{route}/{job_id}', host=HOST, body=body
        )
        self.record.note(
            'POST',
            entry=entry.name,
            job=job_id,
            status=reply.status,
            error=reply.error,
        )
        return reply

    async def state_of(
        self, entry: Entry, route: str, job_id: str, *, quiet: bool = False
    ) -> Reply:
        """Ask for the state of a job and note the answer."""
        reply = await request(
            entry.front, 'GET', f'/{route}/{job_id}', host=HOST
        )
        if not quiet:
            self.record.note(
                'GET',
                entry=entry.name,
                job=job_id,
                status=reply.status,
                body=reply.body,
                error=reply.error,
            )
        return reply

    def step_of(self, task: str) -> dict[str, Any]:
        """Return the step of a task as its client sent it."""
        job_id, _occurrence, step, _index = task.split('.')
        steps = self.jobs.get(job_id, [])
        return steps[int(step)] if int(step) < len(steps) else {}

    def _free_ip(self, number: int) -> str:
        while True:
            ip = f'127.{self.net}.{random.randrange(1, 250)}.{number}'
            with contextlib.ExitStack() as stack:
                try:
                    for port in (FRONT, READY, CONTROL, METRICS):
                        probe = stack.enter_context(socket.socket())
                        probe.bind((ip, port))
                except OSError:
                    continue
            return ip

    def _settings(self, entry: Entry) -> dict[str, Any]:
        seeds = [f'{each.ip}:{CONTROL}' for each in self.entries.values()]
        return {
            'node': entry.name,
            'role': 'entry',
            'machineClass': 'front',
            'serves': ['front', 'control'],
            'ip': entry.ip,
            'zone': 'bayanzurkh',
            'region': 'ulaanbaatar',
            'zones': {'bayanzurkh': 'ulaanbaatar'},
            'listen': {
                'front': f'{entry.ip}:{FRONT}',
                'ready': f'{entry.ip}:{READY}',
                'control': f'{entry.ip}:{CONTROL}',
            },
            'portRange': [7060, 7075],
            'seedNodes': seeds[:3],
            'bootstrap': True,
            'limits': {
                'cpuShare': 0.537,
                'cpuCores': 2,
                'memoryMb': 300,
                'maxFds': 4100,
                'linkMbps': 1000.0,
                'diskMb': 0,
            },
            'dataDir': None,
            'discovery': 'platform',
            'entry': 'vip',
            'beatIntervalMs': 1500,
            'contracts': [
                'base',
                'drain',
                'config',
                'cost',
                'recover',
                'sched',
                'platform',
                'advice',
                'upkeep',
                'sharing',
            ],
            'tolerate': {'machines': 2, 'zones': 0, 'regions': 0},
            'bounds': self.bounds,
            'orders': 'rpc',
            'platform': {
                'address': entry.path.server.address,
                'form': 'table',
                'writesPerS': 800,
                'readsPerS': 2000,
                'txnMs': 5.0,
                'partWritesPerS': 200,
                'rowBytes': 65536,
                'across': False,
                'retentionS': 20,
                'blobBytes': 8388608,
                'blobMs': 25.0,
                'blobMbPerS': 80.0,
            },
            'cloud': {
                'address': self.cloud.address,
                'ratePerS': 64.0,
                'duties': [],
                'dutyPerS': 64.0,
            },
        }

    async def _handle_cloud(self, call: Call) -> Answer:
        if self.cloud_down:
            return Answer(503, {})
        if call.path == '/v1/machines':
            machines = [
                {
                    'machine': machine,
                    'pool': known['worker'].service,
                    'state': known['state'],
                    'zone': 'bayanzurkh',
                    'labels': known['worker'].labels,
                    'capacity': known['worker'].capacity,
                    'id': (
                        known['worker'].worker_id
                        if known['state'] == 'up'
                        else ''
                    ),
                }
                for machine, known in self.machines.items()
            ]
            return Answer(200, {'machines': machines, 'nextToken': None})
        return self._take_down(call)

    def _take_down(self, call: Call) -> Answer:
        """Move a machine or take it down for its upkeep."""
        body = call.json()
        known = self.machines.get(body['machine'])
        if known is None:
            return Answer(400, {})
        kind = 'upkeep' if call.path == '/v1/machine-upkeep' else 'moving'
        wave = body.get('wave')
        if kind == 'upkeep' and wave in known['waves']:
            return Answer(200, {})
        if kind == 'moving' and body['pool'] == known['worker'].service:
            return Answer(200, {})
        if known['state'] != 'up':
            return Answer(409, {'reason': 'busy'})
        known['state'] = kind
        if kind == 'upkeep':
            known['waves'].add(wave)
        self.record.note(
            'order accepted',
            kind=kind,
            machine=body['machine'],
            holder=call.headers.get('x-lease-holder'),
            token=call.headers.get('x-fence-token'),
        )
        self.on_order(known['worker'])
        asyncio.create_task(self._bring_up(known, body.get('pool')))
        return Answer(200, {})

    async def _bring_up(self, known: dict[str, Any], pool: str | None) -> None:
        """End the worker of a machine, and start another one after a time."""
        old: Worker = known['worker']
        await old.crash()
        self.store.remove('servers', old.worker_id)
        bound = 'migrateS' if known['state'] == 'moving' else 'maintenanceS'
        await asyncio.sleep(self.bounds[bound])
        self.lives += 1
        worker = Worker(
            self,
            f'{old.worker_id.split("+")[0]}+{self.lives}',
            old.machine,
            pool or old.service,
            old.capacity['cpu'],
        )
        known['worker'] = worker
        await worker.start()
        known['state'] = 'up'
        self.record.note('machine up', machine=old.machine)


def run_case(
    case: Callable[[Fleet], Any], folder: pathlib.Path, site: str
) -> None:
    """Run a case; exit with 1 if a rule was broken, 0 if not, 2 if it failed."""
    code = asyncio.run(_run(case, folder, site))
    sys.exit(code)


async def _run(
    case: Callable[[Fleet], Any], folder: pathlib.Path, site: str
) -> int:
    fleet = Fleet(folder, site)
    try:
        async with asyncio.timeout(115):
            await fleet.open()
            code = int(await case(fleet))
    except Exception as error:
        fleet.record.note('could not run', error=repr(error))
        code = 2
    finally:
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            fleet.keep_logs(pathlib.Path(keep))
        await fleet.close()
    fleet.record.note('exit', code=code, trouble=fleet.trouble)
    return code
