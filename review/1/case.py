"""A leader ends. Its successor has read the machine registry when the state service goes down for
five seconds. A worker that the successor answered in that time then reaches no controller."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
sys.dont_write_bytecode = True
from standins import (DISRUPT, RECORD, CannotRun, Deployment, Effect, main, now, wait_for)

TASK = "job-000001/0"
OUTAGE_S = 5.0
# The worker falls silent when the successor can no longer hold a lease: its last renewal was at the
# latest at the beginning of the outage, and its lease takes 3.5 s.
MUTE_AFTER_S = 4.5
MUTE_S = 25.0


def case(register):
    killed = {"leader": None, "outage_at": None}

    def hook(controller, kind, info):
        if (killed["leader"] and killed["outage_at"] is None and kind == "list"
                and info["query"]["starts"] == "r/"):
            # The successor reads the machine registry. The answer is sent, and then the state
            # service is down.
            def begin(status, value):
                killed["outage_at"] = now()
                deployment.state.outage(OUTAGE_S)
            return Effect(after=begin)
        return None

    deployment = Deployment(["valley-room", "valley-room", "toowong-store"],
                            ["valley-room"] * 4, hook)
    register(deployment)
    deployment.start()
    deployment.wait_ready()
    leader = wait_for(deployment.leader, 10, "a leader")
    wait_for(lambda: all(w.answers for w in deployment.workers), 20, "an answer to each worker")
    deployment.submit("stack-2", "job-000001", 1, 45.0)
    worker = wait_for(lambda: deployment.running(TASK), 20, "the task runs")[0]
    time.sleep(5.0)

    if DISRUPT:
        killed["leader"] = leader
        deployment.controllers.kill(leader)
        wait_for(lambda: killed["outage_at"], 15, "the successor reads the registry")
        successor = deployment.leader()
        RECORD.add(f"successor: {successor}")
        while now() < killed["outage_at"] + MUTE_AFTER_S:
            time.sleep(0.01)
        answered = [a for a in worker.answers if a[2] == successor]
        worker.mute(MUTE_S)
        if not answered:
            raise CannotRun("the worker was not answered by the successor")
        deployment.controllers.start(leader)
        time.sleep(MUTE_S)
    else:
        time.sleep(30.0)

    def is_done():
        answers = [deployment.call(name, "GET", "/api/jobs/job-000001", timeout_s=2.0)
                   for name in deployment.names]
        return all(status == 200 and answer["condition"] == "done" for status, answer in answers)

    until = now() + 50
    while not is_done() and now() < until and now() < 110:
        time.sleep(2.0)
    return deployment.ran_twice()


main(case, HERE)
