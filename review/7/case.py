"""Case 7: without frames from the leader, controllers call a running job queued."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from rig_2 import Case, Unable, main, now  # noqa: E402

JOB = "job-000400"
REFUSED_S = 20.0
LAG_S = 3.0


class WrongCondition(Case):
    first_start = None

    def run_s(self, leaf):
        return 60.0

    def on_order(self, worker, node, sent, order):
        pass

    def on_start(self, worker, leaf, printing):
        super().on_start(worker, leaf, printing)
        if self.first_start is None:
            self.first_start = now()

    async def run(self):
        await self.start(["valley-room", "toowong-store", "valley-room"])
        await asyncio.sleep(3)
        await self.leader()
        refused_at = now()
        if self.trouble:
            for link in self.peer_links:
                link.refuse()
            self.record.write("peers_refuse")
        if not await self.submit(self.job(JOB, leaves=12, reckonS=60.0)):
            raise Unable("the job was not accepted")
        wrong = []
        while now() < refused_at + REFUSED_S:
            await asyncio.sleep(1.0)
            for node in range(len(self.nodes)):
                sent, running = now(), sum(len(m) for m in self.running.values())
                status, answer = await self.ask(node, "GET", f"/api/jobs/{JOB}", timeout=2.0)
                still = sum(len(m) for m in self.running.values())
                if status == 200 and answer["condition"] == "queued" and self.first_start \
                        and sent > self.first_start + LAG_S and min(running, still) > 0:
                    wrong.append((self.nodes[node], round(sent - self.first_start, 1), still))
        if self.first_start is None:
            raise Unable("no task was started")
        for link in self.peer_links:
            if self.trouble:
                await link.accept_again()
        for node, seconds, running in wrong[:6]:
            print(f"{node} said queued {seconds} s after the first task had started; "
                  f"{running} tasks were running")
        print(f"{len(wrong)} answers said queued more than {LAG_S:.0f} s after the first start")
        return bool(wrong)


main(WrongCondition)
