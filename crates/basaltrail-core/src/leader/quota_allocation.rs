//! Admission quotas as the leader hands them out: the loads of the teams that a plan rests on, and
//! the writes of the quotas. The plan itself is made by [`basaltrail_admission::QuotaPlanner`].

use super::scheduler::capacity::team_usage;
use super::{Context, Leader};
use crate::events::{AdmissionEvent, ClassQuota};
use crate::io::{Precondition, PutRequest, StoreReply, StoreRequest};
use crate::model::{FencingToken, Ms, Revision};
use crate::store::calls::{Calls, StorePurpose};
use crate::store::rate_limiter::CallPriority;
use crate::store::records::{encode, quota_key, LEADER_KEY};
use basaltrail_admission::{
    ClassLoad, QuotaEntry, QuotaPlanner, QuotaWrite, TeamLoad, WorkAmount, WriteResult,
};
use std::collections::{BTreeMap, VecDeque};

/// How much of the rate at which a team was served before counts in each round.
const SERVED_DECAY: f64 = 0.5;

/// Plans quotas, and writes them in transactions, one at a time.
pub struct QuotaAllocator {
    planner: QuotaPlanner,
    /// Quotas that are to be written.
    due: VecDeque<QuotaWrite>,
    in_flight: bool,
    /// CPU-seconds that each team had received at the last plan.
    received: Vec<f64>,
    /// CPUs that each team used on average of late.
    served: Vec<f64>,
    planned_at: Ms,
}

impl QuotaAllocator {
    /// An allocator whose first plan counts what is received from now on.
    pub fn new(now: Ms) -> Self {
        QuotaAllocator {
            planner: QuotaPlanner::default(),
            due: VecDeque::new(),
            in_flight: false,
            received: Vec::new(),
            served: Vec::new(),
            planned_at: now,
        }
    }

    /// Updates the CPUs that each team used of late. `received` are the CPU-seconds that each has
    /// received in all.
    fn update_served(&mut self, now: Ms, received: Vec<f64>) {
        let seconds = now.saturating_sub(self.planned_at) as f64 / 1000.0;
        self.planned_at = now;
        if self.received.len() == received.len() && seconds > 0.0 {
            for (team, (now, before)) in received.iter().zip(&self.received).enumerate() {
                let rate = (now - before).max(0.0) / seconds;
                self.served[team] = self.served[team] * SERVED_DECAY + rate * (1.0 - SERVED_DECAY);
            }
        } else {
            self.served = vec![0.0; received.len()];
        }
        self.received = received;
    }

    /// Writes quotas that are due, in one transaction that holds those of one team. It is carried
    /// out only while `leader_revision` is the mod revision of the leader key.
    pub fn send(
        &mut self,
        ctx: &Context,
        token: FencingToken,
        leader_revision: Revision,
        calls: &mut Calls,
    ) {
        if self.in_flight {
            return;
        }
        let Some(first) = self.due.front() else { return };
        let team = &first.quota.team;
        let of_team = self.due.iter().take_while(|write| write.quota.team == *team).count();
        let count = of_team.min(ctx.cfg.transaction_ops.max(1));
        if !calls.try_acquire_write(ctx.now, count, CallPriority::Completion) {
            return;
        }
        let writes: Vec<QuotaWrite> = self.due.drain(..count).collect();
        let key = |write: &QuotaWrite| quota_key(&write.quota.team, &write.quota.controller);
        let mut preconditions = vec![Precondition::new(LEADER_KEY, leader_revision)];
        preconditions
            .extend(writes.iter().map(|write| Precondition::new(key(write), write.replaces)));
        let put = |write: &QuotaWrite| PutRequest::new(key(write), encode(&write.quota));
        let puts = writes.iter().map(put).collect();
        self.in_flight = true;
        let request = StoreRequest::Transaction { preconditions, puts, deletes: Vec::new() };
        let timeout_ms = ctx.cfg.leader_lease_ms() / 4;
        calls.send_to_store(StorePurpose::WriteQuotas { token, writes }, request, timeout_ms);
    }

    /// Takes the reply to a write of quotas. True if another controller leads.
    pub fn replied(&mut self, writes: &[QuotaWrite], reply: &StoreReply) -> bool {
        self.in_flight = false;
        let result = match reply {
            StoreReply::Committed { .. } => WriteResult::Committed,
            StoreReply::Conflict { .. } | StoreReply::Refused | StoreReply::Rejected => {
                WriteResult::NotExecuted
            }
            _ => WriteResult::Unknown,
        };
        for write in writes {
            self.planner.record_result(write, result);
        }
        matches!(reply, StoreReply::Conflict { failed } if failed.iter().any(|key| key == LEADER_KEY))
    }
}

impl Leader {
    /// Plans, once a round, what each controller may accept from now on.
    pub(super) fn plan_quotas(&mut self, ctx: &Context, calls: &mut Calls) {
        let Some(bounds) = ctx.cfg.admission_bounds() else { return };
        let received = self.ledger.teams.iter().map(|team| team.received).collect();
        self.quota_allocator.update_served(ctx.now, received);
        // What is not written yet is planned anew, by what is known now.
        for write in std::mem::take(&mut self.quota_allocator.due) {
            self.quota_allocator.planner.record_result(&write, WriteResult::NotExecuted);
        }
        if !ctx.holds_valid_lease || !ctx.job_cache_is_fresh || self.quota_allocator.in_flight {
            return;
        }
        let teams = self.team_loads(ctx, bounds.horizon_s);
        let writes = self.quota_allocator.planner.plan(&ctx.job_cache.quotas, &bounds, &teams);
        for write in &writes {
            let class_quota = |entry: &QuotaEntry| ClassQuota {
                class: entry.class.clone(),
                jobs: entry.jobs,
                work: entry.work,
            };
            calls.log(AdmissionEvent::QuotaPlanned {
                team: write.quota.team.clone(),
                controller: write.quota.controller.clone(),
                classes: write.quota.classes.iter().map(class_quota).collect(),
            });
        }
        self.quota_allocator.due = writes.into();
    }

    /// The backlog of each team by class, and how it is served.
    fn team_loads(&self, ctx: &Context, horizon_s: f64) -> Vec<TeamLoad> {
        let backlogs = self.backlogs(ctx, horizon_s).into_iter().enumerate();
        let load = |(index, backlog): (usize, BTreeMap<&str, WorkAmount>)| {
            let team = &ctx.cfg.teams[index];
            let class =
                |(class, waiting): (&str, WorkAmount)| ClassLoad { class: class.into(), waiting };
            TeamLoad {
                team: team.name.clone(),
                guaranteed: team.cpus,
                limit: team.cpus_max,
                share: ctx.cfg.weight_share(index),
                served: self.quota_allocator.served.get(index).copied().unwrap_or(0.0),
                classes: backlog.into_iter().map(class).collect(),
            }
        };
        backlogs.map(load).collect()
    }

    /// Unfinished jobs and the work of them that waits, by team and class.
    fn backlogs<'a>(
        &self,
        ctx: &Context<'a>,
        horizon_s: f64,
    ) -> Vec<BTreeMap<&'a str, WorkAmount>> {
        let mut backlogs = vec![BTreeMap::new(); ctx.cfg.teams.len()];
        for (id, active) in &ctx.job_cache.active {
            let Some(team) = ctx.cfg.team(&active.spec.team) else { continue };
            let mut demand = active.spec.demand();
            if let Some(job) = self.cluster.jobs.get(id) {
                // What runs does not wait any more.
                demand.cpus = f64::from(job.pending()) * active.spec.cpus;
            }
            let waiting: &mut WorkAmount =
                backlogs[team].entry(active.spec.class.as_str()).or_default();
            *waiting = waiting.plus(demand.cost(horizon_s));
        }
        backlogs
    }

    /// CPUs that each team's tasks may be using.
    pub fn use_by_team(&self, ctx: &Context) -> Vec<f64> {
        let used = team_usage(ctx, &self.cluster);
        used.into_iter().map(|used| used.cpus).collect()
    }
}
