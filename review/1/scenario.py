"""Another writer copies a server's entry under a key that ends with a line feed."""

import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).parent
sys.path.insert(0, str(FOLDER.parent))

from standins import callers, configurations, fleets  # noqa: E402

SERVICES = (
    ("status-desk", "plovdiv-a"),
    ("payouts", "plovdiv-a"),
    ("payouts", "plovdiv-b"),
)
CALLER_COUNT = 4
CALLER_INTERVAL = 0.1
WARM_SECONDS = 4.0
AFTER_SECONDS = 6.0
BODY = b'{"award": 17, "amount": 250}'


def run(record, is_troubled):
    """Play the case; return how many requests were run changed, and the answers."""
    services = sorted({service for service, _ in SERVICES})
    route = configurations.make_route("pay", service="payouts", kind="unsafe")
    with fleets.Fleet(services=SERVICES) as fleet:
        fleet.store.put("op/config", configurations.make(3, route, services=services))
        fleet.start()
        records = []
        senders = [
            callers.Caller(
                address=fleet.members[0].outbound,
                records=records,
                make_request=lambda: ("POST", "/pay/1", BODY),
                interval=CALLER_INTERVAL,
            ).start()
            for _ in range(CALLER_COUNT)
        ]
        time.sleep(WARM_SECONDS)
        written_at = time.monotonic()
        if is_troubled:
            server = fleet.members[1].backend_server
            entry = {**server.make_entry(), "sequence": "1"}
            fleet.store.put(f"servers/{server.instance}\n", entry)
        time.sleep(AFTER_SECONDS)
        callers.stop_all(senders)
        return judge(record, fleet, records, written_at)


def judge(record, fleet, records, written_at):
    """Write what was sent, answered and run; return the breaks of the rule."""
    runs = {
        run[1]: (member.backend_server.instance, run)
        for member in fleet.members
        for run in member.backend_server.runs
    }
    changed = []
    for item in sorted(records, key=lambda item: item.sent_at):
        instance, run = runs.get(item.request_id, ("", None))
        where = "not run"
        if run is not None:
            _, _, _, method, path, body = run
            where = f"run at {instance} as {method} {path} {body!r}"
            if (method, path, body) != ("POST", "/pay/1", BODY):
                changed.append(item)
        print(
            f"{item.sent_at - written_at:9.3f} {item.request_id} POST {item.target} "
            f"{BODY!r} sent to {item.host}, answered {item.status}, {where}",
            file=record,
        )
    sent = {item.request_id for item in records}
    unknown = [request_id for request_id in runs if request_id not in sent]
    answered = sum(1 for item in records if item.status == 200)
    accepted = sum(1 for item in changed if item.status == 200)
    print(
        f"{len(records)} requests, {answered} with 200; run with another body: "
        f"{len(changed)}, of these with 200: {accepted}; run with an id that no client "
        f"sent: {unknown}",
        file=record,
    )
    return len(changed) + len(unknown), accepted, answered


def main():
    """Exit with 1 if the rule was broken, 0 if it held, 2 if the case can't run."""
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    with (FOLDER / "record.txt").open("w") as record:
        try:
            changed, accepted, answered = run(record, is_troubled)
        except Exception as error:
            print(f"The case can't run: {error!r}", file=record)
            return 2
        if not answered:
            print("The case can't run: nothing was answered.", file=record)
            return 2
        verdict = f"UNASKED broken {changed} times, {accepted} of these got 200"
        print(verdict, file=record)
    print(verdict)
    return 1 if changed else 0


if __name__ == "__main__":
    sys.exit(main())
