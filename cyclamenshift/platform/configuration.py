"""
cyclamenshift.platform.configuration
====================================

The operator's rows: the configuration, and requests for maintenance.
"""

from typing import Final, NotRequired, TypedDict

from ..clock import MS_PER_SECOND
from ..directory import AdviserCosts, Catalog, Maintenance, Queue, Service

#: The key of the configuration among the operator's rows.
CONFIG_KEY: Final = 'config'
#: How the keys of requests for maintenance, and of their states, start.
MAINTENANCE_PREFIX: Final = 'wave/'

#: What asking the placement adviser costs.
AdviceBody = TypedDict(
    'AdviceBody',
    {'decisionMs': int, 'perItemMs': int, 'validityMs': int},
)
#: A route, which is a queue of jobs.
RouteBody = TypedDict(
    'RouteBody',
    {
        'name': str,
        'host': str,
        'prefix': str,
        'service': str,
        'priority': NotRequired[int],
        # Counts the runs of a task that may fail, not the calls.
        'maxAttempts': NotRequired[int],
        'stretch': NotRequired[float],
        # What a job is allowed beyond its stretched chain of work.
        'targetDurationMs': NotRequired[int],
        'advice': NotRequired[AdviceBody | None],
    },
)
#: A service.
ServiceBody = TypedDict(
    'ServiceBody',
    {
        'name': str,
        # Whether its workers refuse a task that does not fit.
        'rejectsOverload': NotRequired[bool],
        'spare': NotRequired[bool],
    },
)
#: The bounds of callers' requests.
LimitsBody = TypedDict('LimitsBody', {'maxBodyBytes': int})
#: The configuration as a whole.
ConfigBody = TypedDict(
    'ConfigBody',
    {
        'version': int,
        'routes': list[RouteBody],
        'services': list[ServiceBody],
        'limits': LimitsBody,
    },
)
#: A request for maintenance.
WaveBody = TypedDict(
    'WaveBody',
    {
        'wave': int,
        'machines': list[str],
        # The time for all of them, not the time between two.
        'periodS': float,
        'maxCount': int,
    },
)


def catalog_of(body: ConfigBody) -> Catalog:
    """Return the queues and services of a configuration."""
    return Catalog(
        version=body['version'],
        queues={route['name']: _queue_of(route) for route in body['routes']},
        services={
            service['name']: Service(
                name=service['name'],
                spare=service.get('spare', False),
                rejects_overload=service.get('rejectsOverload', False),
            )
            for service in body['services']
        },
        body_limit=body['limits']['maxBodyBytes'],
    )


def maintenance_of(body: WaveBody) -> Maintenance:
    """Return a request for maintenance."""
    return Maintenance(
        number=body['wave'],
        vm_ids=tuple(body['machines']),
        period=round(body['periodS'] * MS_PER_SECOND),
        limit=body['maxCount'],
    )


def _queue_of(route: RouteBody) -> Queue:
    return Queue(
        name=route['name'],
        host=route['host'],
        prefix=route['prefix'],
        service=route['service'],
        priority=route.get('priority', 0),
        attempts=route.get('maxAttempts', 1),
        stretch=route.get('stretch', 1),
        allowance=route.get('targetDurationMs', 0),
        advice=_advice_of(route.get('advice')),
    )


def _advice_of(body: AdviceBody | None) -> AdviserCosts | None:
    if not body:
        return None
    return AdviserCosts(
        call_ms=body['decisionMs'],
        per_worker_ms=body['perItemMs'],
        ticket_validity_ms=body['validityMs'],
    )
