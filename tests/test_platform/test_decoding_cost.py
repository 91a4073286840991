"""Work that one request may cause before it is rejected."""

import unittest.mock

import testtools
from wisterialug_platform import front


class DecodingCostTest(testtools.TestCase):
    def test_job_of_too_many_steps_is_decoded_whole(self):
        count = front.MAX_BODY_BYTES // len('{"count":1},') - 2
        steps = b",".join([b'{"count":1}'] * count)
        with unittest.mock.patch.object(
            front, "_decode_step", wraps=front._decode_step
        ) as decode_step:
            self.assertRaises(
                front.InvalidJobError,
                front.decode_job,
                "0" * 16,
                b'{"steps":[' + steps + b"]}",
            )
        self.assertLessEqual(decode_step.call_count, front.MAX_JOB_TASKS + 1)
