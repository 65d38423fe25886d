"""
tests.builders
==============

Builders of test data.

Each returns a valid object with default values; keyword arguments override
them.
"""

import json
import math
import random
from collections.abc import Sequence
from typing import Any, NamedTuple, cast

from cyclamenshift import settings
from cyclamenshift.accountmessages import (
    AccountUsage,
    Allotment,
    AllottedAmount,
    UsageReport,
)
from cyclamenshift.decisions.accounts.keys import digest_of
from cyclamenshift.decisions.call_order import ReportTiming
from cyclamenshift.decisions.evidence import LeasesExpired
from cyclamenshift.decisions.isolation import Occupancy
from cyclamenshift.decisions.leases import Lease
from cyclamenshift.decisions.lending import PoolView
from cyclamenshift.decisions.merging import Document
from cyclamenshift.decisions.progress import JobProgress, Task
from cyclamenshift.decisions.reports import EndedRun
from cyclamenshift.directory import Account, Catalog, Queue, Service
from cyclamenshift.fleetmessages import PoolReport
from cyclamenshift.http1 import Address
from cyclamenshift.job import (
    NO_RESOURCES,
    Job,
    Resources,
    RunEnd,
    RunId,
    RunOutcome,
    Step,
    TaskId,
)
from cyclamenshift.model import EntryVm, Load, Request, Vm, VmState
from cyclamenshift.provider import ProvidedVm, VmPhase
from cyclamenshift.rows import BudgetRow, ClaimRow, VmRow
from cyclamenshift.worker import StartOrder, Worker, WorkerReport

#: The wall time at virtual time 0, ms since the epoch.
WALL_START = 1_800_000_000_000


def vm(vm_id: str = 'desk-1', **overrides: Any) -> Vm:
    """Return a VM that serves requests, with 8 slots."""
    values: dict[str, Any] = {
        'vm_id': vm_id,
        'pool': 'desk',
        'state': VmState.serving,
        'epoch': 1,
        'data_centre': 'dc-1',
        'rack': 'rack-1',
        'address': f'memory://{vm_id}',
        'slots': 8,
    }
    return Vm(**(values | overrides))


def entry_vm(entry_id: str = 'entry-1', **overrides: Any) -> EntryVm:
    """Return an entry VM."""
    values: dict[str, Any] = {
        'entry_id': entry_id,
        'data_centre': 'dc-1',
        'host': '127.0.0.1',
        'port': 1,
        'incarnation': f'{entry_id}-first',
    }
    return EntryVm(**(values | overrides))


def load(**overrides: Any) -> Load:
    """Return the load of an idle pool with one worker."""
    values: dict[str, Any] = {
        'pool': 'desk',
        'slots': 8,
        'free': 8,
        'queued': 0,
    }
    return Load(**(values | overrides))


def request(request_id: str = 'request-1', **overrides: Any) -> Request:
    """Return a repeatable request whose deadline is at 1,000 ms."""
    values: dict[str, Any] = {
        'request_id': request_id,
        'service': 'desk',
        'kind': 'look-up',
        'body': b'body',
        'content_type': 'text/plain',
        'deadline': 1_000,
        'repeatable': True,
        'key': '',
    }
    return Request(**(values | overrides))


def booking(key: str = 'key-1', **overrides: Any) -> Request:
    """Return a request that is not repeatable and has a key."""
    values: dict[str, Any] = {
        'kind': 'booking',
        'repeatable': False,
        'key': key,
    }
    return request(**(values | overrides))


def step(**overrides: Any) -> Step:
    """Return a step with two tasks of one core each."""
    values: dict[str, Any] = {'tasks': 2, 'resources': Resources(1_000, 1_024)}
    return Step(**(values | overrides))


def job(job_id: str = 'job-1', **overrides: Any) -> Job:
    """Return a job with one step, accepted at virtual time 0."""
    values: dict[str, Any] = {
        'job_id': job_id,
        'queue': 'checks',
        'spec': 'specification',
        'steps': (step(),),
        'accepted': WALL_START,
    }
    return Job(**(values | overrides))


def uneven_job(numbers: random.Random) -> Job:
    """Return a job with 1 to 5 steps of uneven size."""
    return job(
        steps=tuple(
            step(
                tasks=numbers.randint(1, 15),
                estimate=numbers.randint(700, 1_800),
            )
            for _step in range(numbers.randint(1, 5))
        )
    )


class Turn(NamedTuple):
    """A peak of the demand of a service, ms."""

    service: str
    start: int
    end: int


class Arrival(NamedTuple):
    """A job that arrives at a service, ms."""

    at: int
    service: str
    job: Job


def turns_of(
    services: Sequence[str], rounds: int, length: int = 4_500
) -> list[Turn]:
    """Return turns of *services* that follow each other without a gap."""
    return [
        Turn(service, length * number, length * (number + 1))
        for number, service in enumerate(rounds * list(services))
    ]


def arrivals_in_turns(
    seed: int, turns: Sequence[Turn], rate: int = 20
) -> list[Arrival]:
    """
    Return the jobs of services that have *rate* jobs a second in their turns.

    Outside of them a service has an 80th of this rate.
    """
    numbers = random.Random(seed)
    arrivals = []
    for service in sorted({turn.service for turn in turns}):
        own = [turn for turn in turns if turn.service == service]
        at: float = 0
        while at < turns[-1].end:
            at += numbers.expovariate(rate / 1_000)
            in_turn = any(turn.start <= at < turn.end for turn in own)
            if in_turn or not numbers.randrange(80):
                arrival = Arrival(round(at), service, uneven_job(numbers))
                arrivals.append(arrival)
    return sorted(arrivals, key=lambda each: each.at)


def step_fields(**overrides: Any) -> dict[str, Any]:
    """Return the body of a step as the platform's callers send it."""
    values: dict[str, Any] = {'count': 2, 'cpu': 1_000, 'memMb': 1_024}
    return values | overrides


def job_fields(**overrides: Any) -> dict[str, Any]:
    """Return the body of a job as the platform's callers send it."""
    values: dict[str, Any] = {'spec': 'text', 'steps': [step_fields()]}
    return values | overrides


def worker(worker_id: str = 'worker-1', **overrides: Any) -> Worker:
    """Return a worker with 8 cores."""
    values: dict[str, Any] = {
        'worker_id': worker_id,
        'service': 'desk',
        'address': Address('127.0.0.1', 1),
        'vm_id': f'vm-of-{worker_id}',
        'data_centre': 'dc-1',
        'rack': 'rack-1',
        'labels': frozenset(('small', 'rack-1')),
        'resources': Resources(8_000, 16_384),
        'started_at': WALL_START,
        'leaving': False,
    }
    return Worker(**(values | overrides))


def report(**overrides: Any) -> WorkerReport:
    """Return the report of an idle worker."""
    values: dict[str, Any] = {
        'clock': 1,
        'started_at': WALL_START,
        'running': (),
        'ended': (),
    }
    return WorkerReport(**(values | overrides))


def report_timing(**overrides: Any) -> ReportTiming:
    """Return the timing of a report asked for after a first answer."""
    values: dict[str, Any] = {'asked': 2, 'received': 3, 'fenced_at': 1}
    return ReportTiming(**(values | overrides))


def occupancy(worker_id: str = 'worker-1', **overrides: Any) -> Occupancy:
    """Return a worker without runs that has room."""
    return Occupancy((worker_id, 1), **overrides)


def run_id(job_id: str = 'job-1', **overrides: Any) -> RunId:
    """Return the first run of the first task of a job."""
    values: dict[str, Any] = {
        'task': TaskId(job_id, 0, 0, 0),
        'number': 1,
    }
    return RunId(**(values | overrides))


def run_end(run: RunId, **overrides: Any) -> RunEnd:
    """Return the first end at a worker: *run* is done."""
    values: dict[str, Any] = {
        'number': 1,
        'run': run,
        'outcome': RunOutcome.done,
        'checkpoint': '',
    }
    return RunEnd(**(values | overrides))


class MeasuredStep(NamedTuple):
    """The estimate and the run times of the tasks of a step, ms."""

    estimate: int
    run_times: tuple[int, ...]


def measured_steps(
    seed: int, count: int, deviation: float = 0, factor: float = 1
) -> list[MeasuredStep]:
    """
    Return steps of 8 tasks, of .7 to 1.8 s each.

    Their estimates are wrong at random, by a normally distributed logarithm
    with a standard *deviation*, and then divided by *factor*.
    """
    generator = random.Random(seed)
    steps = []
    for _number in range(count):
        run_time = generator.uniform(700, 1_800)
        error = math.exp(generator.gauss(0, deviation)) if deviation else 1
        estimate = max(1, round(run_time * error / factor))
        steps.append(MeasuredStep(estimate, (round(run_time),) * 8))
    return steps


def open_tasks(job_id: str = 'job-1', **overrides: Any) -> list[Task]:
    """Return the tasks of a new job with one step."""
    steps = (step(**overrides),)
    return JobProgress(job(job_id, steps=steps), queue()).open_step(0, 0)


def tasks_of(
    explained: Step, job_id: str = 'job-1', **overrides: Any
) -> list[Task]:
    """Return the tasks of a new job with the step *explained*."""
    new_job = job(job_id, steps=(explained,), **overrides)
    return JobProgress(new_job, queue()).open_step(0, 0)


def ended_run(task: Task, outcome: RunOutcome, **overrides: Any) -> EndedRun:
    """Return the end of the first run of *task*, after its usual time."""
    values: dict[str, Any] = {
        'task': task,
        'run': RunId(task.task_id, 1),
        'outcome': outcome,
        'run_time': 1_000,
    }
    return EndedRun(**(values | overrides))


def mixed_jobs(
    count: int, random_source: random.Random
) -> list[tuple[Job, dict[TaskId, int]]]:
    """Return jobs like those of the uneven load, with their run times."""
    jobs = []
    for number in range(count):
        steps = tuple(
            step(
                tasks=random_source.randint(2, 14),
                estimate=1_000,
                dependencies=tuple(range(max(0, each - 1), each)),
            )
            for each in range(random_source.randint(1, 3))
        )
        new_job = job(f'job-{number}', steps=steps)
        run_ms = {
            TaskId(new_job.job_id, 0, each, ordinal): random_source.randint(
                700, 1_800
            )
            for each, one_step in enumerate(steps)
            for ordinal in range(one_step.tasks)
        }
        jobs.append((new_job, run_ms))
    return jobs


def start_order(**overrides: Any) -> StartOrder:
    """Return the order to start the first run of a task."""
    values: dict[str, Any] = {
        'run': run_id(),
        'spec': 'specification',
        'expires': 1_000,
        'fence': 1,
    }
    return StartOrder(**(values | overrides))


def queue(name: str = 'checks', **overrides: Any) -> Queue:
    """Return a queue of the service ``desk``, whose tasks may fail once."""
    values: dict[str, Any] = {
        'name': name,
        'host': 'jobs.example',
        'prefix': f'/{name}/',
        'service': 'desk',
        'priority': 0,
        'attempts': 2,
        'stretch': 1.5,
        'allowance': 600,
    }
    return Queue(**(values | overrides))


def catalog(**overrides: Any) -> Catalog:
    """Return a catalog of two services with a queue each, and a spare pool."""
    values: dict[str, Any] = {
        'version': 1,
        'queues': {
            'checks': queue(),
            'charges': queue('charges', service='billing'),
        },
        'services': {
            'desk': Service('desk', spare=False, rejects_overload=True),
            'billing': Service('billing', spare=False, rejects_overload=True),
            'portal': Service('portal', spare=True, rejects_overload=True),
        },
        'body_limit': 262_144,
    }
    return Catalog(**(values | overrides))


def account(name: str = 'account-1', **overrides: Any) -> Account:
    """Return an account with one key, named after it, and no limit."""
    values: dict[str, Any] = {
        'name': name,
        'key_digests': (digest_of(f'key-of-{name}'),),
    }
    return Account(**(values | overrides))


def account_usage(name: str = 'account-1', **overrides: Any) -> AccountUsage:
    """Return the usage of an account that runs and wants nothing."""
    values: dict[str, Any] = {
        'account': name,
        'used': NO_RESOURCES,
        'kept': NO_RESOURCES,
        'extra': NO_RESOURCES,
        'arrivals': 0,
    }
    return AccountUsage(**(values | overrides))


def usage_report(*usages: AccountUsage, **overrides: Any) -> UsageReport:
    """Return the first report of the service ``desk``."""
    values: dict[str, Any] = {'service': 'desk', 'epoch': 1, 'number': 1}
    return UsageReport(**(values | overrides), usages=usages)


def allotment(**overrides: Any) -> Allotment:
    """Return the answer of the first ledger to a first report."""
    values: dict[str, Any] = {
        'epoch': 1,
        'number': 1,
        'version': 1,
        'amounts': (AllottedAmount('account-1', NO_RESOURCES, 0),),
    }
    return Allotment(**(values | overrides))


def tenant_fields(name: str = 'account-1', **overrides: Any) -> dict[str, Any]:
    """Return an account as the operator's row has it."""
    values: dict[str, Any] = {
        'name': name,
        'apiKeys': [f'key-of-{name}'],
        'priority': 1,
        'weight': 2,
        'maxCount': {'cpu': 60_000, 'memMb': 108_000, 'gpu': 0},
    }
    return values | overrides


def configuration_fields(version: int, routes: int = 2) -> dict[str, Any]:
    """Return the fields of the operator's row with *routes* routes."""
    return {
        'version': version,
        'routes': [
            {
                'name': f'route-{number}',
                'host': 'jobs.example',
                'prefix': f'/route-{number}/',
                'service': 'desk',
                'kind': 'non_idempotent',
                'timeoutMs': 3_000,
                'priority': 0,
                'maxAttempts': 2,
                'stretch': 1.5,
                'targetDurationMs': 600,
            }
            for number in range(routes)
        ],
        'services': [{'name': 'desk', 'rejectsOverload': True}],
        'limits': {'maxBodyBytes': 262_144},
    }


def registration_fields(**overrides: Any) -> dict[str, Any]:
    """Return the fields with which a worker registers at the platform."""
    values: dict[str, Any] = {
        'service': 'desk',
        'address': '10.0.0.1:8185',
        'zone': 'dc-1',
        'state': 'ready',
        'born': WALL_START,
        'capacity': {'cpu': 32_000, 'memMb': 65_536},
        'labels': ['a', 'r1-1'],
        'machine': 'vm-1',
    }
    return values | overrides


def provided_vm(vm_id: str = 'vm-1', **overrides: Any) -> ProvidedVm:
    """Return a VM with 32 cores that is up."""
    values: dict[str, Any] = {
        'vm_id': vm_id,
        'pool': 'desk',
        'phase': VmPhase.up,
        'data_centre': 'dc-1',
        'rack': 'rack-1',
        'labels': frozenset(),
        'resources': Resources(32_000, 65_536),
        'worker_id': '',
    }
    return ProvidedVm(**(values | overrides))


def pool_view(vms: int, **overrides: Any) -> PoolView:
    """Return an idle pool with *vms* empty VMs."""
    service = overrides.get('service', 'desk')
    ids = [f'{service}-{number}' for number in range(vms)]
    values: dict[str, Any] = {
        'service': service,
        'spare': False,
        'vms': tuple(provided_vm(vm_id, pool=service) for vm_id in ids),
        'used': NO_RESOURCES,
        'waiting': NO_RESOURCES,
        'expected': NO_RESOURCES,
        'spread': 0,
        'empty': frozenset(ids),
    }
    return PoolView(**(values | overrides))


def pool_report(**overrides: Any) -> PoolReport:
    """Return the report of a pool without VMs."""
    values: dict[str, Any] = {
        'service': 'desk',
        'epoch': 1,
        'vms': (),
        'waiting': NO_RESOURCES,
        'expected': NO_RESOURCES,
    }
    return PoolReport(**(values | overrides))


def vm_row(**overrides: Any) -> VmRow:
    """Return the row of a serving VM."""
    values: dict[str, Any] = {
        'pool': 'desk',
        'state': VmState.serving,
        'epoch': 1,
        'target': '',
    }
    return cast(VmRow, values | overrides)


def budget_row(**overrides: Any) -> BudgetRow:
    """Return a budget for 4 VMs, of which at least 3 must be serving."""
    values: dict[str, Any] = {
        'pool': 'desk',
        'members': 4,
        'unavailable': 0,
        'floor': 3,
    }
    return cast(BudgetRow, values | overrides)


def claim_row(**overrides: Any) -> ClaimRow:
    """Return a claim whose request has not finished."""
    values: dict[str, Any] = {
        'attempt': 'attempt-1',
        'request_id': 'request-1',
        'digest': 'digest-1',
        'state': 'claimed',
        'status': 0,
        'content_type': '',
        'body': '',
        'expires': WALL_START,
    }
    return cast(ClaimRow, values | overrides)


def fleet_texts(
    pools: dict[str, int] | None = None,
    **overrides: Any,
) -> dict[str, str]:
    """
    Return the texts of a configuration with one service for each pool.

    *pools* has the number of VMs by pool.  *overrides* are top-level keys of
    a second file.  The files are JSON, which is also valid YAML.
    """
    pools = pools or {'desk': 4, 'spare': 4}
    fleet: dict[str, Any] = {'pools': {}, 'services': {}, 'vms': {}}
    for pool, count in pools.items():
        fleet['pools'][pool] = {'spare': pool == 'spare'}
        fleet['services'][pool] = {
            'pool': pool,
            'work': {
                'look-up': {'repeatable': True},
                'booking': {},
                'report': {'repeatable': True, 'long': True},
            },
        }
        for number in range(1, count + 1):
            vm_id = f'{pool}-{number}'
            data_centre = f'dc-{number % 2 + 1}'
            fleet['vms'][vm_id] = {
                'pool': pool,
                'data_centre': data_centre,
                'rack': f'{data_centre}-rack',
                'address': f'memory://{vm_id}',
            }
    texts = {'10-fleet.yaml': json.dumps(fleet, indent=1)}
    if overrides:
        texts['20-changes.yaml'] = json.dumps(overrides, indent=1)
    return texts


def entry_settings(
    entry_id: str = 'entry-1',
    **overrides: dict[str, Any],
) -> settings.Settings:
    """Return the settings of an entry VM; *overrides* has them by section."""
    values: dict[str, Any] = {
        'entry': {'id': entry_id, 'data_centre': 'dc-1'},
        'callers': {'leaving_notice': 0},
    }
    for section, section_overrides in overrides.items():
        values[section] = values.get(section, {}) | section_overrides
    return settings.check(Document(values, {}))


def platform_settings(**overrides: Any) -> dict[str, Any]:
    """Return the fields of a settings file of the platform."""
    values: dict[str, Any] = {
        'node': 'entry-1',
        'ip': '127.0.0.1',
        'zone': 'zone-1',
        'listen': {
            'front': '127.0.0.1:7001',
            'ready': '127.0.0.1:7002',
            'control': '127.0.0.1:7003',
        },
        'limits': {'cpuShare': 0.5, 'cpuCores': 1},
        'bounds': {},
        'contracts': ['base', 'sched'],
        'platform': {'address': '127.0.0.1:7004'},
        'cloud': {'address': '127.0.0.1:7005'},
    }
    return values | overrides


def lease(**overrides: Any) -> Lease:
    """Return a lease that nobody has granted."""
    values: dict[str, Any] = {
        'prior_leases_until': 0,
        'longest_until': 0,
        'max_lease': 10_000,
    }
    return Lease(**(values | overrides))


def leases_expired() -> LeasesExpired:
    """Return the evidence that no process has a lease."""
    return LeasesExpired(lease(), now=0)
