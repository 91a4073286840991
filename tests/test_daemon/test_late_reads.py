"""Tests of reads of the table whose responses are late."""

import eventlet
import eventlet.event

from tests.test_daemon import shard_base
from wisterialug_core.schema import work_pb2


class LateReadTest(shard_base.ShardRunnerTestBase):
    def test_shard_goes_on_after_rows_that_came_after_the_end_of_their_job(
        self,
    ):
        """Another poll loads the job first, and its task ends meanwhile."""
        self.add_worker("w")
        self.add_job("j")
        late = eventlet.event.Event()
        self.table.next_read_event = late
        threads = [eventlet.spawn(self.runner.poll)]
        eventlet.sleep(0)
        threads.append(eventlet.spawn(self.work, 3))
        eventlet.sleep(0.01)
        self.advance(2000)
        threads.append(eventlet.spawn(self.work, 3))
        eventlet.sleep(0.01)
        late.send()
        for thread in threads:
            thread.wait()
        self.add_job("k")
        self.work(3)
        self.advance(2000)
        self.work(3)
        for job in ("j", "k"):
            [task] = self.tasks(job)
            self.assertEqual(work_pb2.TASK_STATE_DONE, task.state)
            self.assertEqual(1, task.attempt)
