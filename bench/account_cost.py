"""
bench.account_cost
==================

The processor time of a check of an access key, and of starts within limits.

``python -m bench.account_cost`` prints both at the target of 84 accounts, for
comparison with the time of a run by ``python -m bench.run_path``.
"""

import time
from collections.abc import Callable

from cyclamenshift.decisions.accounts.allotments import StartBudget
from cyclamenshift.decisions.accounts.keys import account_of, digest_of
from cyclamenshift.decisions.candidates import Candidate
from cyclamenshift.decisions.placement import (
    NO_RULES,
    PlacementRules,
    place,
)
from cyclamenshift.decisions.progress import JobProgress
from cyclamenshift.directory import Account, Queue
from cyclamenshift.http1 import Address
from cyclamenshift.job import Job, Resources, Step
from cyclamenshift.worker import Worker

ACCOUNTS = 84
KEYS = 3
TASKS = 240
WORKERS = 60
ROUNDS = 200
US_PER_S = 1_000_000


def measure(call: Callable[[], object], count: int) -> float:
    """Return the processor time of *call* over *count* units of work, us."""
    started = time.process_time()
    for _round in range(ROUNDS):
        call()
    return (time.process_time() - started) / ROUNDS / count * US_PER_S


def accounts() -> list[Account]:
    """Return the accounts of the target, with keys and limits."""
    return [
        Account(
            f'account-{number}',
            tuple(digest_of(f'key-{number}-{each}') for each in range(KEYS)),
            limit=Resources(500_000, 900_000),
        )
        for number in range(ACCOUNTS)
    ]


def place_all(rules: PlacementRules) -> int:
    """Place the tasks of jobs of all accounts; return how many found room."""
    queue = Queue('queue', '', '', 'service', 0, 2, 1.5, 600)
    step = Step(8, Resources(500, 512), estimate=1_000)
    tasks = []
    for number in range(TASKS // step.tasks):
        name = f'account-{number % ACCOUNTS}'
        job = Job(f'job-{number}', 'queue', '', (step,), account=name)
        tasks.extend(JobProgress(job, queue).open_ready_steps(0))
    candidates = {}
    for number in range(WORKERS):
        worker = Worker(
            f'worker-{number}',
            'service',
            Address('127.0.0.1', 1),
            f'vm-{number}',
            'zone',
            'rack',
            frozenset(),
            Resources(16_000, 32_768),
            1,
            leaving=False,
        )
        candidates[worker.instance] = Candidate(worker, worker.resources)
    return len(place(tasks, candidates, TASKS, rules=rules))


def limited_rules() -> PlacementRules:
    """Return rules with a limit for each account."""
    remaining = {
        account.name: Resources(500_000, 900_000, 0) for account in accounts()
    }
    return PlacementRules(StartBudget(remaining))


def main() -> None:
    """Print the costs."""
    known = accounts()
    key = measure(lambda: account_of(known, 'key-83-2'), 1)
    plain = measure(lambda: place_all(NO_RULES), TASKS)
    limited = measure(lambda: place_all(limited_rules()), TASKS)
    print(f'check of a key among {ACCOUNTS * KEYS}: {key:.1f} us')
    print(f'place a task: {plain:.2f} us, within limits: {limited:.2f} us')


if __name__ == '__main__':
    main()
