"""Exchange of membership and values between daemons of the first kind."""

import types
import unittest

from jackdawlanding.daemon import control


class SyncErrorTest(unittest.TestCase):
    def test_an_error_of_a_sync_with_all_members_is_logged(self):
        """The exception stayed in a future that nobody read."""
        entry = types.SimpleNamespace(address="127.0.0.1:1")
        context = types.SimpleNamespace(
            roster=types.SimpleNamespace(listed={"other": entry}),
            settings=types.SimpleNamespace(instance="this"),
        )
        sync = control.StateSync(context=context, once_only=None, poller=None)
        self.addCleanup(sync.stop)
        with self.assertLogs("jackdaw.control", "ERROR"):
            sync.announce_suspects()


if __name__ == "__main__":
    unittest.main()
