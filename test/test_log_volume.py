"""Log output is rate-limited and never blocks on its reader."""

import io
import json
import logging
import os
import threading
import time
import unittest

from goldcrestmoor import logs


class LogVolumeTest(unittest.TestCase):
    def setUp(self):
        root = logging.getLogger(logs.ROOT)
        self.addCleanup(setattr, root, "propagate", root.propagate)
        self.addCleanup(root.handlers.__setitem__, slice(None), root.handlers[:])
        self.log = logging.getLogger("goldcrestmoor.some_part")

    def wait_for(self, stream, text):
        end = time.monotonic() + 5
        while text not in stream.getvalue():
            self.assertLess(time.monotonic(), end, f"{text!r} was not written")
            time.sleep(0.01)
        return stream.getvalue().splitlines()

    def test_lines_of_one_kind_are_bounded_and_the_rest_is_counted(self):
        stream = io.StringIO()
        logs.set_up("info", "json", stream)
        for number in range(1000):
            self.log.info("Item %d is done.", number)
        self.log.info("Another kind is not suppressed.")
        lines = self.wait_for(stream, "Another kind")
        self.assertLessEqual(len(lines), 2 * logs.MAX_LINES_PER_SECOND + 1)
        time.sleep(1.1)
        self.log.info("Item %d is done.", 1000)
        last = json.loads(self.wait_for(stream, "Item 1000 is")[-1])
        self.assertGreaterEqual(last["left_out"], 1000 - 2 * logs.MAX_LINES_PER_SECOND)

    def test_a_stalled_reader_does_not_block_the_writer(self):
        reading, writing = os.pipe()
        stream = os.fdopen(writing, "w")
        logs.set_up("info", "text", stream)
        done = threading.Event()

        def write():
            for number in range(3 * logs.MAX_QUEUED_LINES):
                self.log.info(f"Line {number} {'x' * 100}")
            done.set()

        threading.Thread(target=write, daemon=True).start()
        self.assertTrue(done.wait(20), "the writer blocked on a full pipe")
        os.set_blocking(reading, False)
        while not done.is_set() or self.drain(reading):
            pass

    def drain(self, reading):
        time.sleep(0.05)
        try:
            return os.read(reading, 1 << 20)
        except BlockingIOError:
            return b""


if __name__ == "__main__":
    unittest.main()
