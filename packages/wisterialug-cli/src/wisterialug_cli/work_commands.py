"""Commands on services, jobs, VMs and workers."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from wisterialug_cli import table_commands

if TYPE_CHECKING:
    import argparse

    from wisterialug_cli import client

MS_PER_S = 1000


def add_parsers(commands: argparse._SubParsersAction) -> None:
    """Adds the commands on status, services, jobs, VMs and workers."""
    status = commands.add_parser("status", help="state of one entry VM")
    status.set_defaults(run=lambda server, args: server.get("/v1/status"))
    _add_service(commands)
    _add_job(commands)
    _add_list_and_drain(commands, "vm", "entry VMs", "/v1/vms")
    _add_list_and_drain(commands, "worker", "workers", "/v1/workers")
    _add_instance(commands)
    _add_data_centre(commands)


def _add_service(commands: argparse._SubParsersAction) -> None:
    service = commands.add_parser("service", help="latency-critical services")
    verbs = service.add_subparsers(dest="verb", required=True)
    create = verbs.add_parser("create", help="create or change a service")
    create.add_argument("customer")
    create.add_argument("name")
    create.add_argument(
        "--idempotent",
        action="store_true",
        help="requests may be retried safely",
    )
    create.add_argument("--timeout-ms", type=int, default=0, metavar="MS")
    table_commands.add_wait_flags(create)
    create.set_defaults(run=_create_service)
    listing = verbs.add_parser("list", help="list services")
    listing.set_defaults(run=lambda server, args: server.get("/v1/services"))
    for verb, state in (
        ("start", "running"),
        ("drain", "draining"),
        ("stop", "stopped"),
    ):
        change = verbs.add_parser(verb, help=f"make a service {state}")
        change.add_argument("customer")
        change.add_argument("name")
        table_commands.add_wait_flags(change)
        change.set_defaults(run=_set_service_state, state=state)


def _create_service(server: client.Client, args: argparse.Namespace) -> object:
    resp = server.post(
        "/v1/services",
        {
            "customer": args.customer,
            "name": args.name,
            "idempotent": args.idempotent,
            "timeout_ms": args.timeout_ms,
        },
    )
    return table_commands.wait_in_force(server, args, resp)


def _set_service_state(
    server: client.Client, args: argparse.Namespace
) -> object:
    resp = server.post(
        f"/v1/services/{args.customer}/{args.name}", {"state": args.state}
    )
    return table_commands.wait_in_force(server, args, resp)


def _add_job(commands: argparse._SubParsersAction) -> None:
    job = commands.add_parser("job", help="batch jobs")
    verbs = job.add_subparsers(dest="verb", required=True)
    submit = verbs.add_parser("submit", help="submit a job")
    for name in ("customer", "team", "name"):
        submit.add_argument(name)
    submit.add_argument("--tasks", type=int, default=1)
    submit.add_argument("--cpu-millicores", type=int, default=1000)
    submit.add_argument("--memory-mib", type=int, default=1024)
    submit.add_argument("--accelerators", type=int, default=0)
    submit.add_argument(
        "--run-s", type=float, required=True, help="run time of one task"
    )
    submit.add_argument(
        "--deadline-s", type=float, help="seconds from now; default: none"
    )
    submit.add_argument("--kind", default="", help="kind of work")
    submit.add_argument("--urgent", action="store_true")
    submit.add_argument(
        "--at-most-once",
        action="store_true",
        help="do not rerun a task whose outcome is unknown",
    )
    submit.add_argument(
        "--id", default="", help="job id; a duplicate is refused"
    )
    submit.set_defaults(run=_submit)
    listing = verbs.add_parser("list", help="list jobs")
    listing.set_defaults(run=lambda server, args: server.get("/v1/jobs"))
    for verb, path, text in (
        ("show", "", "show a job"),
        ("explain", "/explain", "explain why tasks are pending"),
    ):
        parser = verbs.add_parser(verb, help=text)
        parser.add_argument("id")
        parser.set_defaults(run=_get_job, path=path)
    cancel = verbs.add_parser("cancel", help="cancel a job permanently")
    cancel.add_argument("id")
    cancel.set_defaults(
        run=lambda server, args: server.post(f"/v1/jobs/{args.id}/cancel", {})
    )


def _submit(server: client.Client, args: argparse.Namespace) -> object:
    body = {
        "id": args.id,
        "customer": args.customer,
        "team": args.team,
        "name": args.name,
        "tasks": args.tasks,
        "each": {
            "cpu_millicores": args.cpu_millicores,
            "memory_mib": args.memory_mib,
            "accelerators": args.accelerators,
        },
        "run_ms": int(args.run_s * MS_PER_S),
        "kind": args.kind,
        "urgent": args.urgent,
        "repeatable": not args.at_most_once,
    }
    if args.deadline_s is not None:
        deadline = time.time() + args.deadline_s
        body["deadline_unix_ms"] = int(deadline * MS_PER_S)
    return server.post("/v1/jobs", body)


def _get_job(server: client.Client, args: argparse.Namespace) -> object:
    return server.get(f"/v1/jobs/{args.id}{args.path}")


def _add_list_and_drain(
    commands: argparse._SubParsersAction, kind: str, text: str, path: str
) -> None:
    parser = commands.add_parser(kind, help=text)
    verbs = parser.add_subparsers(dest="verb", required=True)
    listing = verbs.add_parser("list", help=f"list {text}")
    listing.set_defaults(run=lambda server, args: server.get(path))
    _add_drain(verbs, kind)


def _add_instance(commands: argparse._SubParsersAction) -> None:
    parser = commands.add_parser("instance", help="service instances")
    verbs = parser.add_subparsers(dest="verb", required=True)
    _add_drain(verbs, "instance")


def _add_data_centre(commands: argparse._SubParsersAction) -> None:
    parser = commands.add_parser("data-centre", help="data centres")
    verbs = parser.add_subparsers(dest="verb", required=True)
    _add_drain(verbs, "data-centre", "evacuate")


def _add_drain(
    verbs: argparse._SubParsersAction, kind: str, verb: str = "drain"
) -> None:
    drain = verbs.add_parser(verb, help=f"give a {kind} no new work")
    drain.add_argument("id")
    drain.add_argument("--off", action="store_true", help=f"end the {verb}")
    table_commands.add_wait_flags(drain)
    drain.set_defaults(run=_drain, kind=kind)


def _drain(server: client.Client, args: argparse.Namespace) -> object:
    resp = server.post(
        "/v1/drains", {"kind": args.kind, "id": args.id, "on": not args.off}
    )
    return table_commands.wait_in_force(server, args, resp)
