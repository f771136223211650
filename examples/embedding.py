"""Shows how another program uses the admission controller."""

from jackdawlanding.decisions import admission, works

ORDER = works.Work(name="order", method="POST", path="/o", rank=0, protected=True)
BROWSE = works.Work(name="browse", method="GET", path="/*", rank=5)


def main():
    """Submit three calls to a controller that runs one at a time, and end the first."""
    controller = admission.make_controller(minimum=1, maximum=1, queue_length=8)
    calls = [
        admission.PendingCall(work=work, caller="shop", deadline=2.0, token=work.name)
        for work in (BROWSE, BROWSE, ORDER)
    ]
    for pending_call in calls:
        result = controller.submit(now=0.0, pending_call=pending_call)
        print(f"{pending_call.token}: {result.verdict.value}")
    result = controller.release(
        now=0.1, pending_call=calls[0], completion=admission.Completion.GOOD
    )
    print("next:", ", ".join(pending_call.token for pending_call in result.admitted))


if __name__ == "__main__":
    main()
