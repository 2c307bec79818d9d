//! Allocation of admission quotas to controllers.
//!
//! This module computes the loads of the teams and writes the planned quotas to the store.
//! [`basaltrail_admission::QuotaPlanner`] makes the plan.

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

/// Weight of the previous average in a team's average CPU use, applied once a round.
const SERVED_CPUS_DECAY: f64 = 0.5;

/// Plans quotas and writes them to the store, one transaction at a time.
pub struct QuotaAllocator {
    planner: QuotaPlanner,
    /// Planned quotas that are not written yet.
    unwritten: VecDeque<QuotaWrite>,
    in_flight: bool,
    /// CPU-seconds received by each team in total, as of the last update of `served_cpus`.
    received_cpu_s: Vec<f64>,
    /// CPUs used by each team, as a moving average over the rounds.
    served_cpus: Vec<f64>,
    /// Time of the last update of `served_cpus`.
    served_cpus_updated_at: Ms,
}

impl QuotaAllocator {
    /// Returns an allocator that measures the CPU use of teams from now on.
    pub fn new(now: Ms) -> Self {
        QuotaAllocator {
            planner: QuotaPlanner::default(),
            unwritten: VecDeque::new(),
            in_flight: false,
            received_cpu_s: Vec::new(),
            served_cpus: Vec::new(),
            served_cpus_updated_at: now,
        }
    }

    /// Updates the average CPU use of each team. `received_cpu_s` holds the CPU-seconds received by
    /// each team in total.
    fn update_served_cpus(&mut self, now: Ms, received_cpu_s: Vec<f64>) {
        let seconds = now.saturating_sub(self.served_cpus_updated_at) as f64 / 1000.0;
        self.served_cpus_updated_at = now;
        if self.received_cpu_s.len() == received_cpu_s.len() && seconds > 0.0 {
            for (team, (current, previous)) in
                received_cpu_s.iter().zip(&self.received_cpu_s).enumerate()
            {
                let rate = (current - previous).max(0.0) / seconds;
                self.served_cpus[team] =
                    self.served_cpus[team] * SERVED_CPUS_DECAY + rate * (1.0 - SERVED_CPUS_DECAY);
            }
        } else {
            self.served_cpus = vec![0.0; received_cpu_s.len()];
        }
        self.received_cpu_s = received_cpu_s;
    }

    /// Writes the next planned quotas, in one transaction with quotas of one team. The transaction
    /// commits only while `leader_revision` is the mod revision of the leader key.
    pub fn write_next(
        &mut self,
        ctx: &Context,
        token: FencingToken,
        leader_revision: Revision,
        calls: &mut Calls,
    ) {
        if self.in_flight {
            return;
        }
        let Some(first) = self.unwritten.front() else { return };
        let team = &first.quota.team;
        let team_writes =
            self.unwritten.iter().take_while(|write| write.quota.team == *team).count();
        let count = team_writes.min(ctx.cfg.max_transaction_ops.max(1));
        if !calls.try_acquire_write(ctx.now, count, CallPriority::Completion) {
            return;
        }
        let writes: Vec<QuotaWrite> = self.unwritten.drain(..count).collect();
        let key = |write: &QuotaWrite| quota_key(&write.quota.team, &write.quota.controller);
        let mut preconditions = vec![Precondition::new(LEADER_KEY, leader_revision)];
        preconditions.extend(
            writes.iter().map(|write| Precondition::new(key(write), write.expected_mod_revision)),
        );
        let put = |write: &QuotaWrite| PutRequest::new(key(write), encode(&write.quota));
        let puts = writes.iter().map(put).collect();
        self.in_flight = true;
        let request = StoreRequest::Transaction { preconditions, puts, deletes: Vec::new() };
        let timeout_ms = ctx.cfg.leader_lease_ms() / 4;
        calls.send_to_store(StorePurpose::WriteQuotas { token, writes }, request, timeout_ms);
    }

    /// Handles the reply to a write of quotas. Returns whether another controller leads.
    pub fn handle_reply(&mut self, writes: &[QuotaWrite], reply: &StoreReply) -> bool {
        self.in_flight = false;
        let result = match reply {
            StoreReply::Committed { .. } => WriteResult::Committed,
            StoreReply::Conflict { .. } | StoreReply::Unavailable | StoreReply::Invalid => {
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
    /// Plans the quotas of each controller for the next round.
    pub(super) fn plan_quotas(&mut self, ctx: &Context, calls: &mut Calls) {
        let Some(bounds) = ctx.cfg.admission_bounds() else { return };
        let received_cpu_s = self.ledger.teams.iter().map(|team| team.received).collect();
        self.quota_allocator.update_served_cpus(ctx.now, received_cpu_s);
        // Quotas that are not written yet are dropped; the next plan replaces them.
        for write in std::mem::take(&mut self.quota_allocator.unwritten) {
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
        self.quota_allocator.unwritten = writes.into();
    }

    /// Returns the load of each team: its backlog by class, and the CPUs that it is entitled to
    /// and uses.
    fn team_loads(&self, ctx: &Context, horizon_s: f64) -> Vec<TeamLoad> {
        let backlogs = self.backlogs(ctx, horizon_s).into_iter().enumerate();
        let load = |(index, backlog): (usize, BTreeMap<&str, WorkAmount>)| {
            let team = &ctx.cfg.teams[index];
            let class =
                |(class, backlog): (&str, WorkAmount)| ClassLoad { class: class.into(), backlog };
            TeamLoad {
                team: team.name.clone(),
                guaranteed_cpus: team.guaranteed_cpus,
                max_cpus: team.max_cpus,
                job_share: ctx.cfg.weight_share(index),
                served_cpus: self.quota_allocator.served_cpus.get(index).copied().unwrap_or(0.0),
                classes: backlog.into_iter().map(class).collect(),
            }
        };
        backlogs.map(load).collect()
    }

    /// Returns the number of unfinished jobs and the work of their pending tasks, by team and
    /// class.
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
                // Only the work of pending tasks counts.
                demand.cpus = f64::from(job.pending_tasks()) * active.spec.cpus;
            }
            let backlog: &mut WorkAmount =
                backlogs[team].entry(active.spec.class.as_str()).or_default();
            *backlog = backlog.plus(demand.cost(horizon_s));
        }
        backlogs
    }

    /// Returns the CPUs that the tasks of each team may be using.
    pub fn used_cpus_by_team(&self, ctx: &Context) -> Vec<f64> {
        let used = team_usage(ctx, &self.cluster);
        used.into_iter().map(|used| used.cpus).collect()
    }
}
