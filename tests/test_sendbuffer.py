"""What waits to be sent stays in order, and a large body is not copied."""

import random
import unittest

from jackdawlanding.mesh import memory, sendbuffer


class SendBufferTest(unittest.TestCase):
    def test_bytes_leave_in_the_order_in_which_they_came(self):
        draw = random.Random(5)
        buffer, expected, sent = sendbuffer.SendBuffer(), b"", b""
        for _ in range(200):
            size = draw.choice((0, 1, 900, memory.LARGE_BYTES + 1))
            data = draw.randbytes(size)
            buffer.append(data)
            expected += data
            if buffer.size:
                first = buffer.get_first()
                count = draw.randint(1, len(first))
                sent += bytes(first[:count])
                buffer.remove(count)
            self.assertEqual(buffer.size, len(expected) - len(sent))
        while buffer.size:
            first = bytes(buffer.get_first())
            sent += first
            buffer.remove(len(first))
        self.assertEqual(sent, expected)

    def test_a_large_body_is_referred_to(self):
        buffer, body = sendbuffer.SendBuffer(), bytes(memory.LARGE_BYTES + 1)
        buffer.append(b"head")
        buffer.append(body)
        buffer.remove(4)
        self.assertIs(buffer.get_first().obj, body)
        buffer.clear()
        self.assertEqual(buffer.size, 0)


if __name__ == "__main__":
    unittest.main()
