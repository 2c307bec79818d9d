//! What the leader lets each controller accept: the loads of the teams, and the writes of allotments.

use super::*;
use crate::events::{AdmissionEvent, ClassQuota};
use crate::settings::Settings;
use basaltrail_admission::{
    Allotment, ClassLoad, ClassRoom, Grant, Planner, Room as Admitted, TeamLoad, Written,
};
use std::collections::VecDeque;

/// How much of the rate at which a team was served before counts in each round.
const REMEMBERED: f64 = 0.5;

/// Plans, and the writes of them that are due.
pub struct Allotting {
    planner: Planner,
    due: VecDeque<Grant>,
    in_flight: bool,
    not_before: Ms,
    /// CPU-seconds that each team had received at the last plan, and CPUs that it used of late.
    received: Vec<f64>,
    served: Vec<f64>,
    planned: Ms,
}

impl Allotting {
    pub fn new(now: Ms) -> Self {
        Allotting {
            planner: Planner::default(),
            due: VecDeque::new(),
            in_flight: false,
            not_before: 0,
            received: Vec::new(),
            served: Vec::new(),
            planned: now,
        }
    }

    /// CPUs that each team used of late.
    fn note_served(&mut self, now: Ms, received: Vec<f64>) {
        let seconds = now.saturating_sub(self.planned) as f64 / 1000.0;
        self.planned = now;
        if self.received.len() == received.len() && seconds > 0.0 {
            for (team, (now, before)) in received.iter().zip(&self.received).enumerate() {
                let rate = (now - before).max(0.0) / seconds;
                self.served[team] = self.served[team] * REMEMBERED + rate * (1.0 - REMEMBERED);
            }
        } else {
            self.served = vec![0.0; received.len()];
        }
        self.received = received;
    }

    /// Writes what is due, in transactions that each hold records of one team.
    pub fn send(
        &mut self,
        cfg: &Settings,
        now: Ms,
        (token, leader_revision): (FencingToken, Revision),
        calls: &mut Calls,
    ) {
        let Some(first) = self.due.front().filter(|_| !self.in_flight && now >= self.not_before)
        else {
            return;
        };
        let team = first.allotment.team.clone();
        let of_team = self.due.iter().take_while(|grant| grant.allotment.team == team).count();
        let count = of_team.min(cfg.transaction_ops.max(1));
        if !calls.writes.take(now, count as f64, CallPriority::Completion)
            || !calls.pay(now, CallPriority::Completion)
        {
            return;
        }
        let grants: Vec<Grant> = self.due.drain(..count).collect();
        let key = |grant: &Grant| allotment_key(&grant.allotment.team, &grant.allotment.controller);
        let mut preconditions = vec![Precondition::new(LEADER_KEY, leader_revision)];
        preconditions
            .extend(grants.iter().map(|grant| Precondition::new(key(grant), grant.replaces)));
        let put = |grant: &Grant| PutRequest {
            key: key(grant),
            value: encode(&grant.allotment),
            lease_id: None,
        };
        let puts = grants.iter().map(put).collect();
        self.in_flight = true;
        let op = StoreRequest::Transaction { preconditions, puts, deletes: Vec::new() };
        let patience = cfg.leader_lease_ms() / 4;
        calls.state(Purpose::Allot { token, grants }, op, patience);
    }

    /// What became of a write. True if another controller leads.
    pub fn answer(&mut self, grants: &[Grant], reply: &StoreReply) -> bool {
        self.in_flight = false;
        let written = match reply {
            StoreReply::Committed { .. } => Written::Done,
            StoreReply::Conflict { .. } | StoreReply::Refused | StoreReply::Rejected => {
                Written::Not
            }
            _ => Written::Perhaps,
        };
        for grant in grants {
            self.planner.written(grant, written);
        }
        matches!(reply, StoreReply::Conflict { failed } if failed.iter().any(|k| k == LEADER_KEY))
    }
}

impl Leader {
    /// Once a round: what each controller may accept from now on.
    pub(super) fn plan_allotments(&mut self, ctx: &Context, calls: &mut Calls) {
        let Some(bounds) = ctx.cfg.admission_bounds() else { return };
        let received = self.ledger.teams.iter().map(|team| team.received).collect();
        self.allotting.note_served(ctx.now, received);
        // What is not written yet is planned anew, by what is known now.
        for grant in std::mem::take(&mut self.allotting.due) {
            self.allotting.planner.written(&grant, Written::Not);
        }
        if !ctx.holds_valid_lease || !ctx.job_cache_is_fresh || self.allotting.in_flight {
            return;
        }
        let teams = self.team_loads(ctx, bounds.horizon_s);
        let grants = self.allotting.planner.plan(&ctx.job_cache.admission, &bounds, &teams);
        for grant in &grants {
            let Allotment { team, controller, classes, .. } = &grant.allotment;
            let quota = |class: &ClassRoom| ClassQuota {
                class: class.class.clone(),
                jobs: class.jobs,
                work: class.work,
            };
            calls.log(AdmissionEvent::QuotaPlanned {
                team: team.clone(),
                controller: controller.clone(),
                classes: classes.iter().map(quota).collect(),
            });
        }
        self.allotting.due = grants.into();
    }

    fn team_loads(&self, ctx: &Context, horizon_s: f64) -> Vec<TeamLoad> {
        let mut classes: Vec<BTreeMap<&str, Admitted>> = vec![BTreeMap::new(); ctx.cfg.teams.len()];
        for (id, active) in &ctx.job_cache.active {
            let Some(team) = ctx.cfg.team(&active.spec.team) else { continue };
            let mut demand = active.spec.demand();
            if let Some(job) = self.cluster.jobs.get(id) {
                // What runs does not wait any more.
                demand.cpus = f64::from(job.pending()) * active.spec.cpus;
            }
            let waiting = classes[team].entry(&active.spec.class).or_default();
            *waiting = waiting.plus(demand.cost(horizon_s));
        }
        let load = |(index, classes): (usize, BTreeMap<&str, Admitted>)| {
            let team = &ctx.cfg.teams[index];
            let class =
                |(class, waiting): (&str, Admitted)| ClassLoad { class: class.into(), waiting };
            TeamLoad {
                team: team.name.clone(),
                guaranteed: team.cpus,
                limit: team.cpus_max,
                share: ctx.cfg.weight_share(index),
                served: self.allotting.served.get(index).copied().unwrap_or(0.0),
                classes: classes.into_iter().map(class).collect(),
            }
        };
        classes.into_iter().enumerate().map(load).collect()
    }

    /// CPUs that each team's tasks may be using.
    pub fn use_by_team(&self, ctx: &Context) -> Vec<f64> {
        let used = scheduler::capacity::team_usage(ctx, &self.cluster);
        used.into_iter().map(|used| used.cpus).collect()
    }
}
