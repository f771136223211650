"""Embeds the admission gate in a program of one's own."""

from jackdawlanding.decisions import admission, works

ORDER = works.Work(name="order", method="POST", path="/o", rank=0, protected=True)
BROWSE = works.Work(name="browse", method="GET", path="/*", rank=5)


def main():
    """Submit three calls to a controller with room for one, and let one end."""
    gate = admission.make_controller(minimum=1, maximum=1, queue_length=8)
    calls = [
        admission.PendingCall(work=kind, caller="shop", deadline=2.0, token=kind.name)
        for kind in (BROWSE, BROWSE, ORDER)
    ]
    for pending_call in calls:
        change = gate.submit(now=0.0, pending_call=pending_call)
        print(f"{pending_call.token}: {change.verdict.value}")
    change = gate.release(
        now=0.1, pending_call=calls[0], completion=admission.Completion.GOOD
    )
    print("next:", ", ".join(pending_call.token for pending_call in change.admitted))


if __name__ == "__main__":
    main()
