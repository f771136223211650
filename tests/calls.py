"""Sample calls between daemons."""

from jackdawlanding.mesh import messages


def make_call(number, **fields):
    """Return a call; ``fields`` replace the defaults."""
    default = messages.Call(
        number=number,
        instance="i-1",
        service="desk",
        route="r",
        method="GET",
        target="/",
        headers=[],
        body=b"",
        has_body=False,
        remaining=5.0,
        objective=1.0,
        rank=0,
        is_safe=False,
        is_nested=False,
        caller="desk",
        request_id=f"q{number}",
        retry_probability=0.0,
    )
    return default._replace(**fields)
