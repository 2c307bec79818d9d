"""A service holds most of its team's limit. An urgent job of the team, whose task does not fit into
the rest, waits. Small jobs of the team, which do fit, must not wait with it."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
sys.dont_write_bytecode = True
from standins import (DISRUPT, RECORD, Deployment, main, now, wait_for)

BOUND_S = 90.0
LIMIT_CPUS = 32.0
SMALL = ["job-000003", "job-000004", "job-000005"]


def case(register):
    # Four machines of 16 CPUs, and a team that may use 32 CPUs.
    deployment = Deployment(["valley-room", "valley-room", "toowong-store"],
                            ["valley-room", "toowong-store"] * 2, cpus_max=LIMIT_CPUS)
    register(deployment)
    deployment.start()
    deployment.wait_ready()
    wait_for(deployment.leader, 10, "a leader")
    wait_for(lambda: all(w.answers for w in deployment.workers), 20, "an answer to each worker")
    deployment.submit("stack-0", "job-000001", 12, 1e6, kind="daemon", precedence="critical")
    wait_for(lambda: all(deployment.running(f"job-000001/{i}") for i in range(12)), 20,
             "the service runs")
    if DISRUPT:
        deployment.submit("stack-1", "job-000002", 1, 10.0, vcpus=10.0, precedence="urgent")
        time.sleep(2.0)
    for name in SMALL:
        deployment.submit("stack-2", name, 1, 200.0)
    accepted = now()

    def waiting():
        """Returns the small jobs without a task on a machine."""
        return [name for name in SMALL
                if not any(i[0] == f"{name}/0" for w in deployment.workers for i in w.intervals)]

    # The time counts as long as a small job waits, the team's limit has room for one task more and a
    # machine has room for it. It begins anew whenever there is no such room.
    since = now()
    while waiting() and now() < since + BOUND_S:
        used, room = use(deployment)
        if used + 2.0 > LIMIT_CPUS or not room:
            since = now()
        time.sleep(0.1)
    waited, left = now() - since, waiting()
    for name in deployment.jobs.specs:
        deployment.call("stack-0", "GET", f"/api/jobs/{name}")
    used, room = use(deployment)
    RECORD.add(f"{now() - accepted:.1f} s after the last acceptance: waiting {left}; the team uses "
               f"{used} of {LIMIT_CPUS} CPUs; machines with room for a task: {room}")
    if waited < BOUND_S:
        return []
    return [f"{name} was left waiting for {waited:.1f} s while its team used {used} of {LIMIT_CPUS} "
            f"CPUs and {', '.join(room)} had room" for name in left]


def use(deployment):
    """Returns the CPUs that the team uses, and the machines with room for a small job's task."""
    used, room = 0.0, []
    for worker in deployment.workers:
        cpus, memory = worker.used("vcpus"), worker.used("ramGb")
        used += cpus
        if cpus + 2.0 <= worker.type["vcpus"] and memory + 9.4 <= worker.type["ramGb"]:
            room.append(worker.name)
    return used, room


main(case, HERE)
