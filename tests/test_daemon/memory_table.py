"""A table service in memory, whose calls may get no response."""

import result

from wisterialug_daemon import errors
from wisterialug_daemon.adapters import table as table_lib

UNANSWERED = result.Err(errors.TableUnansweredError("no response"))


class MemoryTable(table_lib.TableService):
    """Rows in memory.

    Attributes:
      lost_answers: Commits to carry out without a response.
      silent_calls: Calls after these that have no effect and no response.
      next_read_event: What the response to the next read waits for, or None.
    """

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.lost_answers = 0
        self.silent_calls = 0
        self.next_read_event = None

    def read(self, keys):
        if self._silent():
            return UNANSWERED
        rows = [self._row(key) for key in keys]
        event, self.next_read_event = self.next_read_event, None
        if event is not None:
            event.wait()
        return result.Ok(rows)

    def scan(self, prefix, after, limit):
        if self._silent():
            return UNANSWERED
        keys = sorted(k for k in self.rows if k.startswith(prefix))
        keys = [key for key in keys if key > after][:limit]
        return result.Ok([self._row(key) for key in keys])

    def commit(self, transaction):
        if not self.lost_answers and self._silent():
            return UNANSWERED
        outcome = self._carry_out(transaction)
        if self.lost_answers:
            self.lost_answers -= 1
            return UNANSWERED
        return outcome

    def _silent(self):
        if not self.silent_calls:
            return False
        self.silent_calls -= 1
        return True

    def _row(self, key):
        return self.rows.get(key, table_lib.Row(key, 0, b"", None))

    def _carry_out(self, transaction):
        for key, version in transaction.conditions:
            if self._row(key).version != version:
                return result.Err(errors.TableConflictError("conflict"))
        self.version += 1
        for key, value in transaction.puts:
            self.rows[key] = table_lib.Row(
                key, self.version, transaction.token, value
            )
        for key in transaction.deletes:
            self.rows.pop(key, None)
        return result.Ok(self.version)
