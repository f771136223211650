"""Headers that the first daemon forwards."""

import unittest

from jackdawlanding.daemon import messages


class StripHeadersTest(unittest.TestCase):
    def test_a_connection_option_drops_no_key(self):
        """The backend server ran keyed work without its key."""
        pairs = ((b"Connection", b"idempotency-key, x-a"), (b"Idempotency-Key", b"7"))
        self.assertEqual(
            messages.strip_headers((*pairs, (b"X-A", b"b")), kept=("Idempotency-Key",)),
            pairs[1:],
        )
