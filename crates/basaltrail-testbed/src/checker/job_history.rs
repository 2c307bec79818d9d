//! The history of single jobs: the runs of their tasks, and what their users were answered.

use crate::clock::Ms;
use crate::history::{
    Event, EventKind, JobPhase, JobRequirements, TaskAttempt, TaskEndReason, UserRequest,
};
use std::collections::BTreeMap;

/// The time for which a task attempt ran on its machine.
#[derive(Clone, Debug)]
pub(super) struct TaskRun {
    pub(super) attempt: TaskAttempt,
    pub(super) started_ms: Ms,
    /// When and why it ended; `None` if it still runs.
    pub(super) ended: Option<(Ms, TaskEndReason)>,
}

impl TaskRun {
    /// When the run ended, or `otherwise` if it still runs.
    pub(super) fn ended_ms_or(&self, otherwise: Ms) -> Ms {
        self.ended.map_or(otherwise, |(at, _)| at)
    }
}

/// An answer to a user's request about the job.
#[derive(Clone, Copy)]
pub(super) struct Response {
    pub(super) at_ms: Ms,
    pub(super) sent_ms: Ms,
    pub(super) request: UserRequest,
    pub(super) status: u16,
    pub(super) phase: Option<JobPhase>,
}

/// All that is known of one job.
#[derive(Default)]
pub(super) struct JobHistory {
    pub(super) requirements: Option<JobRequirements>,
    pub(super) runs: Vec<TaskRun>,
    /// When its user first sent a cancellation.
    pub(super) cancellation_ms: Option<Ms>,
    /// When its user first learned that it is accepted.
    pub(super) accepted_ms: Option<Ms>,
    /// When its user first learned of a final phase, and of which.
    pub(super) finished: Option<(Ms, JobPhase)>,
    /// When its user last got a successful answer.
    pub(super) last_success_ms: Ms,
    pub(super) responses: Vec<Response>,
}

impl JobHistory {
    fn apply(&mut self, event: &Event) {
        let at_ms = event.at_ms;
        match &event.kind {
            EventKind::SubmissionStarted { requirements, .. } => {
                self.requirements = Some(requirements.clone());
            }
            EventKind::CancellationStarted { .. } => self.cancellation_ms = Some(at_ms),
            EventKind::ResponseReceived {
                request, sent_ms, status: Some(status), phase, ..
            } => self.add_response(Response {
                at_ms,
                sent_ms: *sent_ms,
                request: *request,
                status: *status,
                phase: *phase,
            }),
            EventKind::TaskStarted(attempt) => {
                self.runs.push(TaskRun { attempt: attempt.clone(), started_ms: at_ms, ended: None })
            }
            EventKind::TaskEnded { attempt, reason } => self.end_run(attempt, at_ms, *reason),
            _ => {}
        }
    }

    fn add_response(&mut self, response: Response) {
        if matches!(response.status, 200 | 201) {
            self.last_success_ms = response.at_ms;
            self.accepted_ms.get_or_insert(response.at_ms);
        }
        if let Some(phase) = response.phase.filter(|phase| phase.is_terminal()) {
            self.finished.get_or_insert((response.at_ms, phase));
        }
        self.responses.push(response);
    }

    fn end_run(&mut self, attempt: &TaskAttempt, at_ms: Ms, reason: TaskEndReason) {
        let is_open = |run: &&mut TaskRun| run.ended.is_none() && run.attempt == *attempt;
        if let Some(run) = self.runs.iter_mut().find(is_open) {
            run.ended = Some((at_ms, reason));
        }
    }
}

/// The histories of all jobs, by number, from events ordered by time.
pub(super) fn by_job(events: &[Event]) -> BTreeMap<u64, JobHistory> {
    let mut jobs: BTreeMap<u64, JobHistory> = BTreeMap::new();
    for event in events {
        if let Some(job) = event.kind.job() {
            jobs.entry(job).or_default().apply(event);
        }
    }
    jobs
}
