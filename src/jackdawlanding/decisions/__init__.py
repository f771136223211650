"""Policy decisions: no sockets, no threads and no clock of their own.

Each class is passed the current time and an event, and returns a decision. The
daemons use these classes; other programs can embed them as well.
"""
