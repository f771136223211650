"""Plans of the two example deployments, scaled down to one computer."""

import pathlib
import typing

from jackdawlanding import exceptions
from jackdawlanding.emulator import caller, fleet
from jackdawlanding.settings import declarations

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
INSTANCES_PER_SERVICE = 3
# Callers call the front services, which call the deep service.
FRONT_SLOTS = 16
FRONT_SECONDS = 0.03
DEEP_SLOTS = 4
DEEP_SECONDS = 0.12
# Caller threads of a flow that overloads the deployment, and of any other flow.
FLOOD_THREADS = 500
DEFAULT_THREADS = 48
# Region and failure domain of each instance, in turn.
PLACES = (("r1", "a"), ("r1", "b"), ("r2", "c"))


class Flow(typing.NamedTuple):
    """One kind of work that callers send.

    ``rate`` is in requests per second, ``patience`` in seconds; ``has_key`` says
    whether requests carry an idempotency key.
    """

    name: str
    service: str
    rank: int
    method: str
    target: str
    rate: float
    has_key: bool = False
    patience: float = 2.0


class Deployment(typing.NamedTuple):
    """A deployment: the calls that its services make and its callers' flows.

    :param inner: by service, the ``(service, target)`` pairs that it calls.
    :param calm: the flow of the least urgent work.
    :param urgent: the flow of the most urgent work.
    :param deep: the service at the end of every chain of calls.
    """

    name: str
    inner: dict
    flows: tuple
    calm: str
    urgent: str
    deep: str


def _make_keyed_flow(name, service, rank, target, rate):
    return Flow(name, service, rank, "POST", target, rate, has_key=True, patience=4.0)


PLOVDIV = Deployment(
    name="plovdiv",
    inner={
        "status-desk": (("awards", "/awards/1"),),
        "payouts": (("awards", "/awards/1"),),
        "revocations": (("awards", "/awards/1"),),
        "awards": (),
    },
    flows=(
        _make_keyed_flow("payment-order", "payouts", 0, "/orders", 8.0),
        _make_keyed_flow("award-revocation", "revocations", 0, "/revocations", 5.0),
        _make_keyed_flow("scholarship-payout", "payouts", 1, "/payouts", 7.0),
        Flow("status-check", "status-desk", 5, "GET", "/status/1", 30.0),
    ),
    calm="status-check",
    urgent="payment-order",
    deep="awards",
)
BOLGATANGA = Deployment(
    name="bolgatanga",
    inner={
        "showroom": (("shipdesk", "/slots/1"),),
        "weaverpay": (("shipdesk", "/slots/1"),),
        "tradedesk": (("shipdesk", "/slots/1"),),
        "shipdesk": (),
    },
    flows=(
        _make_keyed_flow("wholesale-order", "tradedesk", 0, "/orders", 7.0),
        _make_keyed_flow("weaver-payout", "weaverpay", 0, "/payouts", 5.0),
        _make_keyed_flow("export-invoice", "tradedesk", 1, "/invoices", 5.0),
        Flow("stock-check", "showroom", 4, "GET", "/stock/1", 13.0),
        Flow("catalogue-page", "showroom", 5, "GET", "/catalogue/1", 20.0),
    ),
    calm="catalogue-page",
    urgent="wholesale-order",
    deep="shipdesk",
)
# Requests per second that the backend servers of the deep service can run.
CAPACITY_PER_SECOND = INSTANCES_PER_SERVICE * DEEP_SLOTS / DEEP_SECONDS
DEPLOYMENTS = {deployment.name: deployment for deployment in (PLOVDIV, BOLGATANGA)}


def get(name):
    """Return a deployment by its name.

    :raises exceptions.SettingError: no deployment has this name.
    """
    if name not in DEPLOYMENTS:
        hint = exceptions.suggest(name, DEPLOYMENTS)
        raise exceptions.SettingError(
            flag="--deployment",
            value=name,
            problem=f"is not known{hint}",
            remedy=f"use one of {', '.join(DEPLOYMENTS)}",
        )
    return DEPLOYMENTS[name]


def load_declarations(name):
    """Return the declarations of a deployment's services, by service.

    :raises exceptions.FaultsError: a file has faults.
    """
    by_service = {}
    for path in sorted((EXAMPLES / name).glob("*.toml")):
        result = declarations.parse(path.read_text(), file=str(path))
        if result.is_error():
            raise exceptions.FaultsError(faults=result.error)
        by_service[result.ok.service] = result.ok
    return by_service


def make_fleet(deployment, *, pass_through=False, flags=(), **options):
    """Return a fleet of a deployment's services that isn't started yet."""
    by_service = load_declarations(deployment.name)
    plans = [
        fleet.ServicePlan(
            declaration=by_service[service],
            instances=INSTANCES_PER_SERVICE,
            slots=DEEP_SLOTS if service == deployment.deep else FRONT_SLOTS,
            service_seconds=(
                DEEP_SECONDS if service == deployment.deep else FRONT_SECONDS
            ),
            inner=inner,
            places=PLACES,
        )
        for service, inner in deployment.inner.items()
    ]
    if pass_through:
        flags = (*flags, "--pass-through")
    return fleet.Fleet(plans=plans, flags=flags, **options)


def make_caller_kinds(deployment, running_fleet, *, factors=None, resends=3):
    """Return the kinds of work that callers send to a running fleet.

    :param factors: by flow, a function of the seconds since the start that returns a
        multiple of the flow's rate.
    """
    factors = factors or {}
    return [
        caller.Kind(
            name=flow.name,
            rank=flow.rank,
            ports=tuple(
                node.caller_port for node in running_fleet.list_nodes(flow.service)
            ),
            method=flow.method,
            target=flow.target,
            rate=_make_rate(flow.rate, factors.get(flow.name)),
            patience=flow.patience,
            has_key=flow.has_key,
            resends=resends,
            threads=FLOOD_THREADS if flow.name in factors else DEFAULT_THREADS,
        )
        for flow in deployment.flows
    ]


def compute_rate_factor(deployment, name, load):
    """Return the multiple of a flow's rate that brings all flows to a load.

    :param load: the rate of all flows together, as a multiple of
        :data:`CAPACITY_PER_SECOND`.
    """
    flow_rate = next(flow.rate for flow in deployment.flows if flow.name == name)
    other_rates = sum(flow.rate for flow in deployment.flows) - flow_rate
    return (load * CAPACITY_PER_SECOND - other_rates) / flow_rate


def _make_rate(rate, factor):
    if factor is None:
        return lambda at: rate
    return lambda at: rate * factor(at)
