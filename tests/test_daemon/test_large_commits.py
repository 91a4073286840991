"""Tests of the size of an owner's changes."""

import types

import testtools

from wisterialug_daemon.workflow import shard_recorder

# A record may be as large as a row of the platform's store.
RECORD_BYTES = 65_000
# What the platform accepts in one call, in base64.
CALL_BYTES = 1_000_000


class NoLoans:
    def take_rows(self, job):
        del job
        return []

    def rows_are_left(self, job):
        del job
        return False


class LargeCommitTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.dirty = set()
        self.value = b""
        jobs = types.SimpleNamespace(
            dirty=self.dirty,
            progress=lambda _: types.SimpleNamespace(
                SerializeToString=lambda: self.value
            ),
        )
        owner = types.SimpleNamespace(
            rows=types.SimpleNamespace(shard="s0"), shard_jobs=jobs
        )
        self.recorder = shard_recorder.ShardRecorder(owner, NoLoans())

    def commits(self, jobs, record_bytes):
        """Returns the records of each commit until all jobs are recorded."""
        self.dirty |= {f"{number:016x}" for number in range(jobs)}
        self.value = b"x" * record_bytes
        while self.dirty:
            yield self.recorder.take_jobs()

    def test_commit_of_large_records_fits_into_one_call(self):
        recorded = set()
        for taken in self.commits(60, RECORD_BYTES):
            values = [value for rows in taken.values() for _, value in rows]
            self.assertLess(sum(map(len, values)) * 4 / 3, CALL_BYTES)
            recorded |= taken.keys()
        self.assertEqual(60, len(recorded))

    def test_small_records_share_a_commit(self):
        self.assertEqual(2, len(list(self.commits(60, 500))))
