"""Errors that end a command, with an exit code and a message with the remedy."""

import difflib
import sys

EXIT_FAULT = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3


class JackdawError(Exception):
    """Base class of the errors that a command prints and exits with.

    Subclasses hold the parts of the message, which is formatted when it is shown.
    """

    exit_code = EXIT_FAULT

    def format_message(self):
        """Return the message: the problem, then the remedy."""
        return str(self)

    def show(self, file=None):
        """Print the message to ``file``, standard error by default."""
        print(f"error: {self.format_message()}", file=file or sys.stderr)


class SettingError(JackdawError):
    """A setting is missing or invalid.

    ``flag`` is the name of the flag, environment variable or key in a file.
    """

    exit_code = EXIT_USAGE

    def __init__(self, *, flag, value, problem, remedy):
        super().__init__()
        self.flag = flag
        self.value = value
        self.problem = problem
        self.remedy = remedy

    def format_message(self):
        """Return the flag, its value, the problem and the remedy."""
        return f"{self.flag} {self.value!r}: {self.problem}; {self.remedy}"

    def __str__(self):
        return self.format_message()


class UnreachableError(JackdawError):
    """The admin pages of a daemon can't be read."""

    exit_code = EXIT_UNREACHABLE

    def __init__(self, *, address, detail):
        super().__init__()
        self.address = address
        self.detail = detail

    def format_message(self):
        """Return the address, the failure and the setting to check."""
        return (
            f"no daemon answers at {self.address!r} ({self.detail}); "
            "check --address against the daemon's --admin-address"
        )


class NotFoundError(JackdawError):
    """Something that was requested by name does not exist."""

    def __init__(self, *, name, detail, remedy):
        super().__init__()
        self.name = name
        self.detail = detail
        self.remedy = remedy

    def format_message(self):
        """Return the name, what was searched and the remedy."""
        return f"{self.name!r} was not found ({self.detail}); {self.remedy}"


class FaultsError(JackdawError):
    """Files contain faults; ``faults`` has all of them."""

    def __init__(self, *, faults):
        super().__init__()
        self.faults = faults

    def format_message(self):
        """Return one line for each fault, and their number."""
        lines = [fault.format() for fault in self.faults]
        lines.append(f"{len(self.faults)} faults; correct them and run this again")
        return "\n".join(lines)


def suggest(name, known):
    """Return ``"; did you mean 'x'?"`` with a similar known name, or ``""``."""
    similar = difflib.get_close_matches(
        str(name), [str(candidate) for candidate in known], n=1
    )
    return f"; did you mean {similar[0]!r}?" if similar else ""
