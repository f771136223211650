"""Policy alone: no sockets, no threads of its own, no clock of its own.

Each part is a small object that takes the time and an event and returns a
verdict. Others embed these parts; the daemon is one such embedding.
"""
