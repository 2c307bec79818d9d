//! The history of each job: the runs of its tasks, and the answers to its user.

use crate::clock::Ms;
use crate::history::{
    Event, EventKind, JobPhase, JobRequirements, TaskAttempt, TaskEndReason, UserRequest,
};
use std::collections::BTreeMap;

/// The period in which a task attempt ran on its machine.
#[derive(Clone, Debug)]
pub(super) struct TaskRun {
    pub(super) attempt: TaskAttempt,
    pub(super) started_ms: Ms,
    /// Time and reason of the end; `None` if the task did not end.
    pub(super) ended: Option<(Ms, TaskEndReason)>,
}

impl TaskRun {
    /// Returns the time of the end, or `default` if the task did not end.
    pub(super) fn ended_ms_or(&self, default: Ms) -> Ms {
        self.ended.map_or(default, |(at_ms, _)| at_ms)
    }
}

/// An answer to a user's request for the job.
#[derive(Clone, Copy)]
pub(super) struct Response {
    pub(super) at_ms: Ms,
    pub(super) sent_ms: Ms,
    pub(super) request: UserRequest,
    pub(super) status: u16,
    pub(super) phase: Option<JobPhase>,
}

/// The observations of one job.
#[derive(Default)]
pub(super) struct JobHistory {
    pub(super) requirements: Option<JobRequirements>,
    pub(super) runs: Vec<TaskRun>,
    /// Time of the user's first cancellation request.
    pub(super) cancellation_ms: Option<Ms>,
    /// Time at which the user first received a successful answer.
    pub(super) accepted_ms: Option<Ms>,
    /// The first final phase that was reported to the user, with its time.
    pub(super) finished: Option<(Ms, JobPhase)>,
    /// Time at which the user last received a successful answer.
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
        let is_unended = |run: &&mut TaskRun| run.ended.is_none() && run.attempt == *attempt;
        if let Some(run) = self.runs.iter_mut().find(is_unended) {
            run.ended = Some((at_ms, reason));
        }
    }
}

/// Returns the history of each job, by job number. The events must be ordered by time.
pub(super) fn histories_by_job(events: &[Event]) -> BTreeMap<u64, JobHistory> {
    let mut jobs: BTreeMap<u64, JobHistory> = BTreeMap::new();
    for event in events {
        if let Some(job) = event.kind.job() {
            jobs.entry(job).or_default().apply(event);
        }
    }
    jobs
}
