"""A leader ends. The answer to its successor's campaign is lost, and the state service then answers
the successor's changes slowly and refuses it for a while. The successor revokes the lease of its own
second campaign before it has the answer to it, and leads without a lease beside the next leader."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
sys.dont_write_bytecode = True
from standins import (DISRUPT, RECORD, CannotRun, Deployment, Effect, main, now, wait_for)

JOB, TASKS = "job-000001", 6
SLOW_S = 0.5
REFUSED_S = 10.0
LEADER_LEASE_S = 3.5
MUTE_S = 20.0


class Trouble:
    """The disruptions of the state service, in the order in which they occur."""

    def __init__(self):
        self.active = False
        self.successor = None
        self.campaigns = 0
        self.grant_at = None  # of the successor's latest lease
        self.campaign_grant_at = None  # of the lease of its second campaign
        self.refused = False

    def hook(self, controller, kind, info):
        if not self.active:
            return None
        is_campaign = kind == "txn" and any(
            change.get("put") == "c/leader" for change in info["body"].get("apply") or [])
        if is_campaign and self.successor is None:
            self.successor = controller
        if controller != self.successor:
            return None
        if kind == "grant":
            self.grant_at = now()
        if is_campaign:
            self.campaigns += 1
            if self.campaigns == 1:
                return Effect(lost=True)
            if self.campaigns == 2:
                self.campaign_grant_at = self.grant_at
                return Effect(delay_s=SLOW_S, sent=self.refuse)
        if kind in ("txn", "revoke"):
            return Effect(delay_s=SLOW_S)
        return None

    def refuse(self):
        self.deployment.state.refuse(self.successor, REFUSED_S)
        self.refused = True


def case(register):
    trouble = Trouble()
    deployment = Deployment(["valley-room", "valley-room", "toowong-store"],
                            ["valley-room"] * 7, trouble.hook)
    trouble.deployment = deployment
    register(deployment)
    # The first leader is in the zone of the machines.
    deployment.start(["stack-0", "stack-1"])
    deployment.wait_ready(["stack-0", "stack-1"])
    leader = wait_for(deployment.leader, 10, "a leader")
    deployment.controllers.start("stack-2")
    deployment.wait_ready(["stack-2"])
    wait_for(lambda: all(w.answers for w in deployment.workers), 20, "an answer to each worker")
    deployment.submit("stack-2", JOB, TASKS, 45.0, vcpus=9.0)
    for task in range(TASKS):
        wait_for(lambda: deployment.running(f"{JOB}/{task}"), 20, "the tasks run")
    time.sleep(5.0)

    if DISRUPT:
        trouble.active = True
        deployment.controllers.kill(leader)
        wait_for(lambda: trouble.refused or trouble.campaigns > 2, 20, "the second campaign")
        first_token = deployment.state.value("c/term")
        # The lease of the second campaign, had it not been revoked, would be over now.
        while now() < trouble.campaign_grant_at + LEADER_LEASE_S:
            time.sleep(0.01)
        with_task = [deployment.running(f"{JOB}/{task}")[0] for task in range(TASKS)]
        candidates = [w for w in with_task if w.answers[-1][2] == trouble.successor]
        if not candidates:
            raise CannotRun("no worker with a task was answered by the successor last")
        worker = max(candidates, key=lambda w: w.answers[-1][0])
        worker.mute(MUTE_S)
        RECORD.add(f"successor {trouble.successor}, token {first_token}; last answer to "
                   f"{worker.name} before it fell silent: {worker.answers[-1]}")
        deployment.controllers.start(leader)
        time.sleep(MUTE_S + 5)
        both_lead(deployment)
    else:
        time.sleep(35.0)

    def is_done():
        answers = [deployment.call(name, "GET", f"/api/jobs/{JOB}", timeout_s=2.0)
                   for name in deployment.names]
        return all(status == 200 and answer["condition"] == "done" for status, answer in answers)

    until = now() + 40
    while not is_done() and now() < until and now() < 110:
        time.sleep(2.0)
    return deployment.ran_twice()


def both_lead(deployment):
    """Records the reports that a controller answered with 200 although they were sent after another
    controller had answered with a higher token."""
    answers = [a for w in deployment.workers for a in w.answers]
    for sent, _, controller, token in sorted(answers):
        newer = [a for a in answers if a[3] > token and a[1] < sent]
        if newer:
            _, received, other, other_token = min(newer, key=lambda a: a[1])
            RECORD.add(f"SEEN {controller} answers 200 with token {token} to a report sent at "
                       f"{sent:.3f}; {other} has led with token {other_token} at the latest since "
                       f"{received:.3f}", sent)


main(case, HERE)
