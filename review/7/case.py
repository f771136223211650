"""A refusal for a misdirected request comes twice, the second time late."""

import asyncio
import collections
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import deployment  # noqa: E402

HOST = "payouts.example"
PATH = "/orders/"
# One of 50 answers or more, where the largest dose is 3 in 100.
LATE_COPIES = 1
REQUESTS = 50
DOWN_SECONDS = 2.0
# The server's new entry is known to the daemons after this.
REGISTERED_SECONDS = 1.0


async def send_orders(caller, count):
    """Send orders one after the other."""
    for _ in range(count):
        await caller.send(method="PUT", host=HOST, path=PATH, body=b"order")


async def play(mesh, is_disturbed):
    """Send orders before and after a server starts again at its address."""
    server, daemon = mesh.servers[0], mesh.daemons[0]
    caller = deployment.Caller(deployment=mesh, daemon=daemon)
    await send_orders(caller, REQUESTS)
    if is_disturbed:
        await asyncio.sleep(1.0)
        await server.crash()
        await asyncio.sleep(DOWN_SECONDS)
        server.late_copies = LATE_COPIES
        await server.start()
        await asyncio.sleep(REGISTERED_SECONDS)
    await send_orders(caller, REQUESTS)
    await asyncio.sleep(1.0)
    runs = collections.defaultdict(list)
    for each in mesh.servers:
        for request_id, instance in each.runs:
            runs[request_id].append(instance)
    return [
        f"TWICE: the unsafe request {request_id} ran on {', '.join(instances)}"
        for request_id, instances in runs.items()
        if len(instances) > 1
    ]


deployment.run_case(
    play,
    folder=FOLDER,
    machines=[("payouts", zone) for zone in deployment.ZONES],
    routes={
        "payment-order": deployment.make_route(
            host=HOST, service="payouts", kind="unsafe", priority=0
        )
    },
)
