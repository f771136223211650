"""Embeds the admission gate in a program of one's own."""

from jackdawlanding.decisions import admission, work

ORDER = work.Work(name="order", method="POST", path="/o", rank=0, protected=True)
BROWSE = work.Work(name="browse", method="GET", path="/*", rank=5)


def main():
    """Offer three calls to a gate with room for one, and let one end."""
    gate = admission.make_gate(minimum=1, maximum=1, queue_length=8)
    calls = [
        admission.Entry(work=kind, caller="shop", deadline=2.0, token=kind.name)
        for kind in (BROWSE, BROWSE, ORDER)
    ]
    for entry in calls:
        change = gate.offer(now=0.0, entry=entry)
        print(f"{entry.token}: {change.verdict.value}")
    change = gate.release(now=0.1, entry=calls[0], end=admission.End.GOOD)
    print("next:", ", ".join(entry.token for entry in change.admitted))


if __name__ == "__main__":
    main()
