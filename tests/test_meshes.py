"""The helpers that start small meshes for other tests."""

import unittest

from tests import meshes


class PortTest(unittest.TestCase):
    def test_no_port_is_returned_twice(self):
        """A daemon's start failed because two of its listeners had the same port.

        The kernel assigned a port again as soon as the socket that had asked for it
        was closed.
        """
        ports = [meshes.find_free_port("127.0.1.1") for _ in range(5000)]
        self.assertEqual(len(set(ports)), len(ports))


if __name__ == "__main__":
    unittest.main()
