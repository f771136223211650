"""Whether work that begins during a planned stop ends before it."""

# Durations vary by about half of their mean. Work that may last this many times its
# mean must end before the stop.
DURATION_FACTOR = 1.5


def ends_in_time(*, now, mean_seconds, ends_at):
    """Return whether work most likely ends before ``ends_at``.

    Times are in seconds, on one clock.
    """
    return now + mean_seconds * DURATION_FACTOR < ends_at
