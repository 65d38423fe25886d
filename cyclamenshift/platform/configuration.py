"""
cyclamenshift.platform.configuration
====================================

Decodes the operator's rows: the configuration and requests for maintenance.
"""

from typing import Final, NotRequired, TypedDict

from ..clock import MS_PER_SECOND
from ..directory import (
    NO_ACCOUNTS,
    AdviserCosts,
    Catalog,
    Maintenance,
    Queue,
    Service,
)
from .accounts import TenantBody, decode_accounts
from .wire import Unreadable

#: The key of the configuration in the operator table.
CONFIG_KEY: Final = 'config'
#: The prefix of the keys of maintenance requests and of their states.
MAINTENANCE_PREFIX: Final = 'wave/'

#: The cost of asking the placement adviser.
AdviserBody = TypedDict(
    'AdviserBody',
    {'decisionMs': int, 'perItemMs': int, 'validityMs': int},
)
#: A route, the platform's term for a queue of jobs.
RouteBody = TypedDict(
    'RouteBody',
    {
        'name': str,
        'host': str,
        'prefix': str,
        'service': str,
        'priority': NotRequired[int],
        # The number of failed runs of one task after which its job fails;
        # it does not limit the calls to start a run.
        'maxAttempts': NotRequired[int],
        'stretch': NotRequired[float],
        # The time allowed in addition to the stretched critical path.
        'targetDurationMs': NotRequired[int],
        'advice': NotRequired[AdviserBody | None],
        # Whether callers need no access key.
        'noAuth': NotRequired[bool],
    },
)
#: A service.
ServiceBody = TypedDict(
    'ServiceBody',
    {
        'name': str,
        # Whether its workers refuse a task that exceeds their resources.
        'rejectsOverload': NotRequired[bool],
        'spare': NotRequired[bool],
    },
)
#: The limits for callers' requests.
LimitsBody = TypedDict('LimitsBody', {'maxBodyBytes': int})
#: The whole configuration.
ConfigBody = TypedDict(
    'ConfigBody',
    {
        'version': int,
        'routes': list[RouteBody],
        'services': list[ServiceBody],
        'limits': LimitsBody,
        # Missing where callers need no access keys at all.
        'tenants': NotRequired[list[TenantBody]],
    },
)
#: A request for maintenance, which the platform calls a wave.
MaintenanceBody = TypedDict(
    'MaintenanceBody',
    {
        'wave': int,
        'machines': list[str],
        # The time for all machines, not the interval between two.
        'periodS': float,
        'maxCount': int,
    },
)


def decode_catalog(body: ConfigBody) -> Catalog | Unreadable:
    """Return the queues, services and accounts of a configuration."""
    has_accounts = 'tenants' in body
    accounts = decode_accounts(body.get('tenants', ()))
    if isinstance(accounts, Unreadable):
        return accounts
    return Catalog(
        version=body['version'],
        queues={
            route['name']: _decode_queue(route, has_accounts=has_accounts)
            for route in body['routes']
        },
        services={
            service['name']: Service(
                name=service['name'],
                spare=service.get('spare', False),
                rejects_overload=service.get('rejectsOverload', False),
            )
            for service in body['services']
        },
        body_limit=body['limits']['maxBodyBytes'],
        accounts=accounts if has_accounts else NO_ACCOUNTS,
    )


def decode_maintenance(body: MaintenanceBody) -> Maintenance:
    """Return the requested maintenance."""
    return Maintenance(
        number=body['wave'],
        vm_ids=tuple(body['machines']),
        period=round(body['periodS'] * MS_PER_SECOND),
        limit=body['maxCount'],
    )


def _decode_queue(route: RouteBody, *, has_accounts: bool) -> Queue:
    return Queue(
        name=route['name'],
        host=route['host'],
        prefix=route['prefix'],
        service=route['service'],
        priority=route.get('priority', 0),
        attempts=route.get('maxAttempts', 1),
        stretch=route.get('stretch', 1),
        allowance=route.get('targetDurationMs', 0),
        advice=_decode_adviser_costs(route.get('advice')),
        open_access=route.get('noAuth', False) or not has_accounts,
    )


def _decode_adviser_costs(body: AdviserBody | None) -> AdviserCosts | None:
    if not body:
        return None
    return AdviserCosts(
        call_ms=body['decisionMs'],
        per_worker_ms=body['perItemMs'],
        ticket_validity_ms=body['validityMs'],
    )
