"""Tests that jobs are refused by loads of now only, whenever these arrive."""

import random
from unittest import mock

import eventlet
import testtools

from tests.test_daemon import workflow_base
from wisterialug_core.schema import workflow_pb2
from wisterialug_core.workflow import job_admission
from wisterialug_daemon.workflow import (
    admission_control,
    election,
    records,
    row_store,
    settings,
)
from wisterialug_standins import memory_store

Verdict = job_admission.Verdict
step = workflow_base.step
OTHER = row_store.RowRef(records.MARKS_TABLE, "s9", "mark")
# The owner tries to renew for this long before its change is carried out.
REPEATED_S = 3.0


class AdmissionControlTest(testtools.TestCase):
    """A shard reports more work than can be done in time."""

    def setUp(self):
        super().setUp()
        # This VM only reads.
        self.enterContext(mock.patch.object(election, "OWNER_TIMEOUT_S", 60.0))
        self.store = memory_store.MemoryStore(random.Random(1))
        cfg = settings.WorkflowSettings(
            node="n",
            boot="1",
            data_centre="d",
            longest_lease_ms=10_000,
            lease_ms=4000,
            state_kept_s=60,
            stop_within_s=5,
        )
        vms = workflow_base.members_of("n", self.store)
        self.owners = election.Election(cfg, self.store, None, None, vms)
        self.addCleanup(self.owners.close)
        self.admission = admission_control.AdmissionControl(self.owners, vms)
        self.renewal = 0
        self.report(0)

    def write(self, ref, value):
        writes = ((ref, value),)
        self.store.commit(row_store.Transaction(writes=writes), 1.0).unwrap()

    def report(self, counted_version):
        self.renewal += 1
        load = workflow_pb2.ServiceLoad(
            service="app",
            finite_millicores=1000,
            largest_cpu_millicores=64_000,
            largest_memory_mib=64_000,
            ahead=[workflow_pb2.WorkAhead(core_ms=10**8)],
        )
        ownership = workflow_pb2.Ownership(
            owner="other/1",
            epoch=1,
            renewal=self.renewal,
            services=[load],
            counted_version=counted_version,
        )
        ref = records.owner(records.FIRST_SHARD)
        self.write(ref, ownership.SerializeToString())

    def verdicts(self, for_s):
        job = workflow_pb2.Job(
            id="a" * 16,
            steps=[step(1)],
            policy=workflow_base.ROUTE.policy,
        )
        verdicts = set()
        for _ in range(int(for_s / 0.05)):
            decision = self.admission.decide(job, returned=False)
            verdicts.add(decision.verdict)
            eventlet.sleep(0.05)
        return verdicts

    def renew(self, for_s):
        """Renews as an owner does, while others change the store."""
        for _ in range(int(for_s / 0.5)):
            counted = self.store.version()
            self.write(OTHER, b"")
            eventlet.sleep(0.5)
            self.report(counted)

    def test_loads_of_a_live_owner_refuse_all_the_while(self):
        self.owners.start()
        self.renew(2.0)
        eventlet.spawn(self.renew, 3.0)
        self.assertEqual({Verdict.TOO_LATE}, self.verdicts(2.5))

    def test_loads_that_a_new_vm_finds_are_of_any_age(self):
        self.report(self.store.version())
        self.write(OTHER, b"")
        self.owners.start()
        self.assertEqual({Verdict.ACCEPT}, self.verdicts(1.0))

    def test_loads_of_a_change_that_was_carried_out_late(self):
        self.owners.start()
        self.renew(1.0)
        counted = self.store.version()
        for _ in range(int(REPEATED_S / 0.25)):
            self.write(OTHER, b"")
            eventlet.sleep(0.25)
        self.report(counted)
        self.assertEqual({Verdict.ACCEPT}, self.verdicts(1.0))
