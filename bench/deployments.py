"""Plans of the two deployments, scaled down to one machine."""

import pathlib
import typing

from jackdawlanding import exceptions
from jackdawlanding.emulator import caller, fleet
from jackdawlanding.settings import declarations

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
INSTANCES = 3
ENTRY_SLOTS = 16
ENTRY_SECONDS = 0.03
DEEP_SLOTS = 4
DEEP_SECONDS = 0.12
FLOOD_THREADS = 500
CALM_THREADS = 48
PLACES = (("r1", "a"), ("r1", "b"), ("r2", "c"))


class Flow(typing.NamedTuple):
    """One kind of work that callers bring, and its usual rate a second."""

    name: str
    service: str
    rank: int
    method: str
    target: str
    rate: float
    has_key: bool = False
    patience: float = 2.0


class Deployment(typing.NamedTuple):
    """A deployment: its services' inner calls and its callers' flows.

    :param calm: the flow whose flood is the least urgent.
    :param urgent: the flow whose flood is the most urgent.
    :param deep: the service at the end of every chain.
    """

    name: str
    inner: dict
    flows: tuple
    calm: str
    urgent: str
    deep: str


def _post(name, service, rank, target, rate):
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
        _post("payment-order", "payouts", 0, "/orders", 8.0),
        _post("award-revocation", "revocations", 0, "/revocations", 5.0),
        _post("scholarship-payout", "payouts", 1, "/payouts", 7.0),
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
        _post("wholesale-order", "tradedesk", 0, "/orders", 7.0),
        _post("weaver-payout", "weaverpay", 0, "/payouts", 5.0),
        _post("export-invoice", "tradedesk", 1, "/invoices", 5.0),
        Flow("stock-check", "showroom", 4, "GET", "/stock/1", 13.0),
        Flow("catalogue-page", "showroom", 5, "GET", "/catalogue/1", 20.0),
    ),
    calm="catalogue-page",
    urgent="wholesale-order",
    deep="shipdesk",
)
# Whole requests a second that the deep service's backend servers can do.
CAPACITY = INSTANCES * DEEP_SLOTS / DEEP_SECONDS
DEPLOYMENTS = {one.name: one for one in (PLOVDIV, BOLGATANGA)}


def find(name):
    """Return a deployment by its name.

    :raises exceptions.SettingError: there is none.
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
    """Return the declarations of a deployment's services.

    :raises exceptions.FaultsError: a file has faults.
    """
    loaded = {}
    for path in sorted((EXAMPLES / name).glob("*.toml")):
        result = declarations.parse(path.read_text(), file=str(path))
        if result.is_error():
            raise exceptions.FaultsError(faults=result.error)
        loaded[result.ok.service] = result.ok
    return loaded


def make_fleet(deployment, *, pass_through=False, flags=(), **options):
    """Return a fleet of a deployment's services, not yet started."""
    declared = load_declarations(deployment.name)
    plans = [
        fleet.ServicePlan(
            declaration=declared[service],
            instances=INSTANCES,
            slots=DEEP_SLOTS if service == deployment.deep else ENTRY_SLOTS,
            service_seconds=(
                DEEP_SECONDS if service == deployment.deep else ENTRY_SECONDS
            ),
            inner=inner,
            places=PLACES,
        )
        for service, inner in deployment.inner.items()
    ]
    if pass_through:
        flags = (*flags, "--pass-through")
    return fleet.Fleet(plans=plans, flags=flags, **options)


def make_kinds(deployment, running, *, factors=None, resends=3):
    """Return what callers send to a running fleet.

    :param factors: by flow, a function of seconds to a multiple of its rate.
    """
    factors = factors or {}
    return [
        caller.Kind(
            name=flow.name,
            rank=flow.rank,
            ports=tuple(one.caller_port for one in running.list_nodes(flow.service)),
            method=flow.method,
            target=flow.target,
            rate=_multiply(flow.rate, factors.get(flow.name)),
            patience=flow.patience,
            has_key=flow.has_key,
            resends=resends,
            threads=FLOOD_THREADS if flow.name in factors else CALM_THREADS,
        )
        for flow in deployment.flows
    ]


def find_factor(deployment, name, load):
    """Return the multiple of a flow's rate that brings the whole load.

    :param load: all flows together, as a multiple of :data:`CAPACITY`.
    """
    own = next(flow.rate for flow in deployment.flows if flow.name == name)
    others = sum(flow.rate for flow in deployment.flows) - own
    return (load * CAPACITY - others) / own


def _multiply(rate, factor):
    if factor is None:
        return lambda at: rate
    return lambda at: rate * factor(at)
