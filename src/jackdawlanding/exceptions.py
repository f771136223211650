"""Errors that end a command: each has an exit code and names its remedy."""

import difflib
import sys

EXIT_FAULT = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3


class JackdawError(Exception):
    """Base of all errors that a command shows in one line.

    Subclasses are built from fields; the message is formatted when shown.
    """

    exit_code = EXIT_FAULT

    def format_message(self):
        """Return the message: what is wrong, then the remedy."""
        return str(self)

    def show(self, file=None):
        """Print the message to ``file``, standard error by default."""
        print(f"error: {self.format_message()}", file=file or sys.stderr)


class SettingError(JackdawError):
    """A setting of the daemon that can't be used."""

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
    """A daemon's pages that can't be read."""

    exit_code = EXIT_UNREACHABLE

    def __init__(self, *, address, detail):
        super().__init__()
        self.address = address
        self.detail = detail

    def format_message(self):
        """Return the address, what failed and what to look at."""
        return (
            f"no daemon answers at {self.address!r} ({self.detail}); "
            "check --address against the daemon's --admin-address"
        )


class NotFoundError(JackdawError):
    """Something that was asked for by name and isn't there."""

    def __init__(self, *, name, detail, remedy):
        super().__init__()
        self.name = name
        self.detail = detail
        self.remedy = remedy

    def format_message(self):
        """Return the name, what was searched and the remedy."""
        return f"{self.name!r} was not found ({self.detail}); {self.remedy}"


class FaultsError(JackdawError):
    """Faults found in files, all at once."""

    def __init__(self, *, faults):
        super().__init__()
        self.faults = faults

    def format_message(self):
        """Return one line a fault and their count."""
        lines = [fault.format() for fault in self.faults]
        lines.append(f"{len(self.faults)} faults; mend them and run this again")
        return "\n".join(lines)


def suggest(name, known):
    """Return ``"; did you mean 'x'?"`` for a near known name, or ''."""
    near = difflib.get_close_matches(str(name), [str(one) for one in known], n=1)
    return f"; did you mean {near[0]!r}?" if near else ""
