"""An operator evacuates a data centre of the product's own scheduler."""

import random
import time
from unittest import mock

import result
import testtools

from tests.test_daemon import shard_base
from wisterialug_core.decisions import config_state, worker_pool
from wisterialug_core.schema import work_pb2
from wisterialug_daemon import errors, instances, operations


def vm(name, data_centre, role=work_pb2.VM_ROLE_WORKER):
    return work_pb2.Vm(
        id=name, data_centre=data_centre, role=role, customer="c", service="s"
    )


class EvacuatedDataCentreTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.state = config_state.ConfigState()
        self.inventory = mock.Mock()
        self.inventory.vms = {
            one.id: one
            for one in (
                vm("w1", "dc1"),
                vm("w2", "dc2"),
                vm("i1", "dc1", work_pb2.VM_ROLE_INSTANCE),
            )
        }
        self.config = mock.Mock(state=self.state)
        self.config.change.side_effect = self.change
        self.operations = operations.Operations(
            self.config, None, self.inventory, None, None, None, None
        )

    def change(self, build, operator):
        del operator
        for row in build(self.state):
            self.state.rows[row.key] = row
        self.state.revision += 1
        return result.Ok(self.state.revision)

    def drain(self, target, *, on=True, kind="data-centre"):
        body = {"kind": kind, "id": target, "on": on}
        return self.operations.drain(body)["revision"]

    def drained(self, kind="worker"):
        vms = self.inventory.vms.values()
        return self.state.drained_vms(kind, vms)

    def test_its_workers_and_instances_get_no_new_work_until_it_is_back(self):
        self.assertEqual(1, self.drain("dc1"))
        self.assertEqual({"w1", "i1"}, self.drained())
        pool = worker_pool.WorkerPool(1.0)
        pool.update(
            [one for one in self.inventory.vms.values() if one.id != "i1"],
            self.drained(),
            0.0,
        )
        self.assertEqual(
            [True, False], [pool.records[w].leaving for w in ("w1", "w2")]
        )
        self.drain("w2", kind="worker")
        self.assertEqual({"w1", "w2", "i1"}, self.drained())
        self.drain("dc1", on=False)
        self.assertEqual({"w2"}, self.drained())

    def test_its_instances_take_no_requests(self):
        self.inventory.of_role.return_value = [self.inventory.vms["i1"]]
        pools = instances.Instances(
            "dc1",
            "two-choices",
            8,
            self.inventory,
            self.config,
            mock.Mock(),
            mock.Mock(),
            random.Random(1),
        )
        for on in (True, False):
            self.drain("dc1", on=on)
            pools.refresh()
            (instance,) = pools.pool(("c", "s")).instances()
            self.assertIs(on, instance.leaving)

    def test_unknown_data_centres_are_refused_but_for_their_end(self):
        exc = self.assertRaises(errors.OperatorError, self.drain, "w1")
        self.assertEqual(404, exc.status)
        self.drain("dc1")
        self.inventory.vms = {}
        self.drain("dc1", on=False)
        self.assertEqual(set(), self.state.drained("data-centre"))


class StartBesideDrainTest(shard_base.ShardRunnerTestBase):
    def test_a_start_is_not_sent_if_its_worker_was_drained_meanwhile(self):
        model = self.add_worker("w")
        self.add_job("j")
        commit = self.table.commit

        def drain_and_commit(*args, **kwargs):
            self.scheduler.set_workers(self.vms, {"w"}, time.monotonic())
            return commit(*args, **kwargs)

        self.table.commit = drain_and_commit
        self.work(3)
        self.assertEqual({}, model.running)
        self.table.commit = commit
        self.scheduler.set_workers(self.vms, set(), time.monotonic())
        self.work(3)
        self.assertEqual(1, len(model.running))
