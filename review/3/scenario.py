"""A foreign entry in the store, then a change of the configuration and a drain."""

import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).parent
sys.path.insert(0, str(FOLDER.parent))

from standins import callers, configurations, fleets  # noqa: E402

# The bounds configApplyMs and drainMs of the small deployments, in seconds.
CONFIG_SECONDS = 2.5
DRAIN_SECONDS = 2.5
# stableWindowMs: calm machines are in touch this long after the start.
STABLE_SECONDS = 4.0
SERVICES = (
    ("status-desk", "plovdiv-a"),
    ("payouts", "plovdiv-a"),
    ("payouts", "plovdiv-b"),
    ("revocations", "plovdiv-a"),
    ("revocations", "plovdiv-b"),
)
CALLER_COUNT = 4
# Longer than the callers' and the links' clocks can differ on one machine.
SECONDS_AFTER = 6.0


def make_foreign_entry(address):
    """Return an entry of another writer: one field is no number of milliseconds."""
    return {
        "service": "payouts",
        "address": address,
        "zone": "plovdiv-a",
        "version": "v1",
        "maxConcurrency": 72,
        "state": "ready",
        "warmupRemainingMs": 10**400,
        "sequence": 1,
        "born": int(time.time() * 1000),
    }


def make_routes(service):
    """Return the routes, with payment orders sent to a service."""
    return (
        configurations.make_route("pay", service=service, kind="unsafe"),
        configurations.make_route("revoke", service="revocations", kind="unsafe"),
    )


def run(record, is_troubled):
    """Play the case; return how often each rule was broken."""
    services = sorted({service for service, _ in SERVICES})
    with fleets.Fleet(services=SERVICES) as fleet:
        store = fleet.store
        store.put(
            "op/config",
            configurations.make(3, *make_routes("payouts"), services=services),
        )
        fleet.start()
        records = []
        senders = [
            callers.Caller(
                address=fleet.members[0].outbound,
                records=records,
                make_request=lambda target=target: ("POST", target, b"order"),
                interval=0.05,
            ).start()
            for target in ("/pay/1", "/revoke/1")
            for _ in range(CALLER_COUNT // 2)
        ]
        time.sleep(STABLE_SECONDS)
        if is_troubled:
            # Nobody listens there.
            address = f"127.{fleet.network}.1.1:{fleets.find_port('127.0.0.1')}"
            store.put("servers/backup-7", make_foreign_entry(address))
        time.sleep(1.0)
        moved_at = store.put(
            "op/config",
            configurations.make(5, *make_routes("revocations"), services=services),
        )
        drained = fleet.members[3]
        drained.backend_server.state = "draining"
        drained_at = fleet.register(drained)
        time.sleep(SECONDS_AFTER)
        callers.stop_all(senders)
        return judge(record, fleet, records, moved_at, drained_at, drained)


def judge(record, fleet, records, moved_at, drained_at, drained):
    """Write what was sent, answered and run; return the breaks of the rules."""
    runs = {}
    for member in fleet.members:
        server = member.backend_server
        for at, request_id, _, method, path, _ in server.runs:
            runs[request_id] = (at, server)
            print(
                f"{at - moved_at:9.3f} {request_id} {method} {path} runs at "
                f"{server.instance} of {server.service}",
                file=record,
            )
    stale, late = [], []
    for item in sorted(records, key=lambda item: item.sent_at):
        at, server = runs.get(item.request_id, (None, None))
        where = f"ran at {server.instance} of {server.service}" if server else "not run"
        print(
            f"{item.sent_at - moved_at:9.3f} {item.request_id} {item.target} sent to "
            f"{item.host}, answered {item.status} at {item.ended_at - moved_at:.3f}, "
            f"{where}",
            file=record,
        )
        is_moved = item.target.startswith("/pay/")
        if (
            is_moved
            and server is not None
            and server.service == "payouts"
            and item.sent_at > moved_at + CONFIG_SECONDS
        ):
            stale.append(item)
        if server is drained.backend_server and at > drained_at + DRAIN_SECONDS:
            late.append(item)
    answered = sum(1 for item in records if item.status == 200)
    print(
        f"{len(records)} requests, {answered} with 200; later than {CONFIG_SECONDS} s "
        f"after the change was acknowledged, run by the old service: {len(stale)}; "
        f"later than {DRAIN_SECONDS} s after the drain was acknowledged, run by the "
        f"draining server: {len(late)}; daemons that ended: "
        f"{fleet.list_unexpected_exits()}",
        file=record,
    )
    errors = fleet.list_errors()
    print(f"errors that the daemons logged: {len(errors)}", *errors[:1], file=record)
    return len(stale), len(late), answered


def main():
    """Exit with 1 if a rule was broken, 0 if all held, 2 if the case can't run."""
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    with (FOLDER / "record.txt").open("w") as record:
        try:
            stale, late, answered = run(record, is_troubled)
        except Exception as error:
            print(f"The case can't run: {error!r}", file=record)
            return 2
        if not answered:
            print("The case can't run: nothing was answered.", file=record)
            return 2
        verdict = f"CONFIG broken {stale} times, DRAIN broken {late} times"
        print(verdict, file=record)
    print(verdict)
    return 1 if stale or late else 0


if __name__ == "__main__":
    sys.exit(main())
