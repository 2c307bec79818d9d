//! Submissions, polls and cancels, on every controller alike.
//!
//! Ends are told from memory. Anything else is told only after the state service
//! has confirmed, since the request came, that what we hold is still so.

use crate::io::*;
use crate::jobs::JobCache;
use crate::model::*;
use crate::settings::Settings;
use crate::store::records::*;
use basaltrail_admission::{Refusal, Ticket};
use std::collections::{HashMap, VecDeque};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    Submit,
    Poll,
    Cancel,
}

#[derive(Clone, Debug)]
pub struct ClientRequest {
    pub req: RequestId,
    pub kind: RequestKind,
    /// Why a submission is not taken, if the job is not known either.
    pub refused: Option<Rejection>,
}

/// Why a submission is not taken here. Another controller may have taken it all the same, by other
/// settings or out of another allotment, and its repeat must not be refused then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// Not now.
    Later(Refusal),
    /// It can never run.
    Unschedulable(&'static str),
    /// It cannot be kept.
    Invalid(&'static str),
}

impl ClientRequest {
    pub fn new(req: RequestId, kind: RequestKind) -> Self {
        ClientRequest { req, kind, refused: None }
    }
}

/// A job and those who wait for word of it.
pub type Waiting = (JobId, Vec<ClientRequest>);

/// A job whose entry is being confirmed, and whether it is the entry or that there is none.
pub struct Confirming {
    pub job: JobId,
    pub asks: Vec<ClientRequest>,
    pub known: bool,
}

pub struct NewJob {
    pub job: JobId,
    pub spec: Box<JobSpec>,
    pub asks: Vec<ClientRequest>,
    /// The service rejected it among others: it goes in a transaction of its own.
    pub alone: bool,
    /// What was set aside for it.
    pub ticket: Ticket,
    /// Until when it waits for a newer allotment, if its own has moved on.
    pub waits_until: Ms,
}

#[derive(Default)]
pub struct RequestQueue {
    /// Jobs to be checked, with those who wait for them, and since when.
    checks: HashMap<JobId, Vec<ClientRequest>>,
    /// The same jobs as they came: none may starve behind others.
    check_order: VecDeque<JobId>,
    pub checks_since: Ms,
    pub checks_in_flight: u32,
    pub submits: Vec<NewJob>,
    pub submits_in_flight: u32,
    /// Submissions whose allotment has moved on and whose next one is not known yet.
    pub moved: Vec<NewJob>,
    pub reads: Vec<Waiting>,
    /// Asks anywhere in here, for the bound.
    pub waiting: usize,
    /// What the leader last told of running tasks; for display only.
    pub display: HashMap<JobId, (u32, u32)>,
}

/// Whether the job can ever run: the answer is the same on every controller.
pub fn unschedulable_reason(
    s: &Settings,
    types: &[MachineType],
    spec: &JobSpec,
) -> Option<&'static str> {
    let Some(team) = s.team(&spec.team) else { return Some("unknown team") };
    let t = &s.teams[team];
    // The replicas of a service run all at once, and for good.
    let at_once = if spec.is_service() { spec.tasks as f64 } else { 1.0 };
    if spec.cpus * at_once > t.cpus_max + 1e-9 || spec.gpus * at_once > t.gpus_max + 1e-9 {
        return Some("the job needs more than the team's limit");
    }
    if !types.iter().any(|m| m.allowed(spec) && m.holds(spec) > 0) {
        return Some("a task fits no allowed machine type");
    }
    None
}

impl RequestQueue {
    pub fn check(&mut self, now: Ms, job: JobId, ask: ClientRequest) {
        if self.checks.is_empty() {
            self.checks_since = now;
        }
        self.waiting += 1;
        self.check_again(job, vec![ask]);
    }

    /// Takes up a job whose askers are counted already.
    pub fn check_again(&mut self, job: JobId, asks: Vec<ClientRequest>) {
        let here = self.checks.entry(job).or_default();
        if here.is_empty() {
            self.check_order.push_back(job);
        }
        here.extend(asks);
    }

    pub fn jobs_to_check(&self) -> usize {
        self.check_order.len()
    }

    /// All who wait for a check.
    pub fn give_up_checks(&mut self) -> Vec<ClientRequest> {
        self.check_order.clear();
        self.checks.drain().flat_map(|(_, asks)| asks).collect()
    }

    /// As many jobs as the conditions allow, and the conditions that confirm what we hold.
    pub fn take_checks(
        &mut self,
        job_cache: &JobCache,
        conditions: usize,
    ) -> (Vec<Confirming>, Vec<Precondition>) {
        let mut jobs = Vec::new();
        let mut preconditions = Vec::new();
        while preconditions.len() + 2 <= conditions {
            let Some(job) = self.check_order.pop_front() else { break };
            let asks = self.checks.remove(&job).unwrap_or_default();
            match job_cache.active.get(&job) {
                Some(a) => preconditions.push(Precondition::new(active_key(job), a.mod_revision)),
                None => {
                    preconditions.push(Precondition::absent(active_key(job)));
                    preconditions.push(Precondition::absent(final_key(job)));
                }
            }
            jobs.push(Confirming { job, asks, known: job_cache.active.contains_key(&job) });
        }
        (jobs, preconditions)
    }

    /// Takes what the leader tells of running tasks. Of many jobs it tells in several parts, so
    /// what an earlier part told stays, as long as the job is active.
    pub fn show(&mut self, job_cache: &JobCache, progress: &[Progress]) {
        let active = |job: &JobId| job_cache.active.contains_key(job);
        self.display.retain(|job, _| active(job));
        let known = progress.iter().filter(|p| active(&p.job));
        self.display.extend(known.map(|p| (p.job, (p.done, p.running))));
    }

    /// What a user is told of a job whose entry has just been confirmed.
    pub fn view(&self, job_cache: &JobCache, job: JobId) -> Option<Answer> {
        let told = |view, done, running| Some(Answer::Job { job, view, done, running });
        match job_cache.ended(job) {
            Some(JobOutcome::Done) => return told(JobStatus::Done, 0, 0),
            Some(JobOutcome::Cancelled) => return told(JobStatus::Cancelled, 0, 0),
            None => {}
        }
        let a = job_cache.active.get(&job)?;
        let (done, running) = self.display.get(&job).copied().unwrap_or((0, 0));
        // Done is told only from the durable end, never from counts.
        let done = done.min(a.spec.tasks);
        told(if running > 0 { JobStatus::Running } else { JobStatus::Queued }, done, running)
    }
}

#[cfg(test)]
#[path = "request_queue_tests.rs"]
mod tests;
