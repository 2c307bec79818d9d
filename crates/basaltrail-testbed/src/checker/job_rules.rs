//! PROTOCOL's rules that apply to one job, with one function per rule.

use super::job_history::{JobHistory, Response, TaskRun};
use super::{MachinePlacement, Rule, RunBounds, Violation, RECOVERY_MS};
use crate::clock::Ms;
use crate::history::{JobPhase, TaskEndReason, UserRequest};
use std::collections::{BTreeMap, BTreeSet};

/// Returns all violations of the rules by one job.
pub(super) fn check_job(
    job: &JobHistory,
    machines: &BTreeMap<String, MachinePlacement>,
    bounds: &RunBounds,
) -> Vec<Violation> {
    let by_rule = [
        check_ran_twice(job),
        check_ran_cancelled(job, bounds),
        check_wrong_place(job, machines),
        check_not_done(job),
        check_went_back(job),
        check_forgotten(job, bounds),
    ];
    by_rule.into_iter().flatten().collect()
}

/// Checks that no task runs on two machines at the same time.
fn check_ran_twice(job: &JobHistory) -> Vec<Violation> {
    // The run of each task that ends last; a run without an end counts as endless.
    let mut last_ending: BTreeMap<u32, &TaskRun> = BTreeMap::new();
    let mut violations = Vec::new();
    for run in &job.runs {
        let task = run.attempt.task;
        let earlier = last_ending.get(&task);
        let earlier_end = earlier.map_or(0, |earlier| earlier.ended_ms_or(Ms::MAX));
        if let Some(earlier) = earlier.filter(|_| run.started_ms < earlier_end) {
            let (machine, other) = (&run.attempt.machine, &earlier.attempt.machine);
            let description = format!("task {task} started on {machine} while it ran on {other}");
            let violation = Violation::new(Rule::RanTwice, run.started_ms, description);
            violations.push(violation.with_machine(machine));
        }
        if run.ended_ms_or(Ms::MAX) >= earlier_end {
            last_ending.insert(task, run);
        }
    }
    violations
}

/// Checks that no task runs after the cancellation deadline, counted from the first answer that
/// reported the job as cancelled.
fn check_ran_cancelled(job: &JobHistory, bounds: &RunBounds) -> Vec<Violation> {
    let Some((cancelled_ms, JobPhase::Cancelled)) = job.finished else { return Vec::new() };
    let deadline = cancelled_ms + bounds.deployment.max_cancellation_ms;
    let late_runs = job.runs.iter().filter(|run| run.ended_ms_or(bounds.end) > deadline);
    let violation = |run: &TaskRun| {
        let description = format!(
            "task {} ran on {} from {} to {} ms, cancelled at {cancelled_ms} ms",
            run.attempt.task,
            run.attempt.machine,
            run.started_ms,
            run.ended_ms_or(bounds.end)
        );
        Violation::new(Rule::RanCancelled, run.started_ms.max(deadline), description)
            .with_machine(&run.attempt.machine)
    };
    late_runs.map(violation).collect()
}

/// Checks that tasks run only on machines that the job's requirements allow.
fn check_wrong_place(
    job: &JobHistory,
    machines: &BTreeMap<String, MachinePlacement>,
) -> Vec<Violation> {
    let Some(requirements) = &job.requirements else { return Vec::new() };
    let is_forbidden = |run: &&TaskRun| {
        machines.get(&run.attempt.machine).is_some_and(|machine| {
            let wrong_zone = requirements.zone.as_ref().is_some_and(|zone| *zone != machine.zone);
            wrong_zone || (machine.spot && !requirements.spot)
        })
    };
    let violation = |run: &TaskRun| {
        let description = format!("task {} ran on {}", run.attempt.task, run.attempt.machine);
        Violation::new(Rule::WrongPlace, run.started_ms, description)
            .with_machine(&run.attempt.machine)
    };
    job.runs.iter().filter(is_forbidden).map(violation).collect()
}

/// Checks that a job reported as done is an array job whose tasks all completed before.
fn check_not_done(job: &JobHistory) -> Vec<Violation> {
    let (Some((done_ms, JobPhase::Done)), Some(requirements)) = (job.finished, &job.requirements)
    else {
        return Vec::new();
    };
    let is_completed =
        |run: &&TaskRun| matches!(run.ended, Some((at, TaskEndReason::Completed)) if at <= done_ms);
    let completed: BTreeSet<u32> =
        job.runs.iter().filter(is_completed).map(|run| run.attempt.task).collect();
    if !requirements.service && completed.len() == requirements.tasks as usize {
        return Vec::new();
    }
    let description = format!(
        "reported as done with {} of {} tasks completed",
        completed.len(),
        requirements.tasks
    );
    vec![Violation::new(Rule::NotDone, done_ms, description)]
}

/// Checks that a job never leaves its final phase, and is cancelled only at its user's request.
fn check_went_back(job: &JobHistory) -> Vec<Violation> {
    let Some((finished_ms, final_phase)) = job.finished else { return Vec::new() };
    let mut violations = Vec::new();
    let user_cancelled = job.cancellation_ms.is_some_and(|at_ms| at_ms <= finished_ms);
    if final_phase == JobPhase::Cancelled && !user_cancelled {
        let description = "reported as cancelled without a request of its user".into();
        violations.push(Violation::new(Rule::WentBack, finished_ms, description));
    }
    // A request that was sent before the final phase was reported may return an older phase.
    let later_responses = job.responses.iter().filter(|response| response.sent_ms >= finished_ms);
    for response in later_responses {
        if let Some(phase) = response.phase.filter(|phase| *phase != final_phase) {
            let description = format!("{phase:?} after {final_phase:?}");
            violations.push(Violation::new(Rule::WentBack, response.at_ms, description));
        }
    }
    violations
}

/// Checks that an accepted job is never reported as unknown or rejected, and that it is reported
/// again after the last fault.
fn check_forgotten(job: &JobHistory, bounds: &RunBounds) -> Vec<Violation> {
    let Some(accepted_ms) = job.accepted_ms else { return Vec::new() };
    let is_denial = |response: &&Response| match response.request {
        UserRequest::Submit => matches!(response.status, 400 | 422),
        UserRequest::Poll | UserRequest::Cancel => response.status == 404,
    };
    let later_responses = job.responses.iter().filter(|response| response.sent_ms >= accepted_ms);
    let denial = |response: &Response| {
        let description = format!("{:?} answered {}", response.request, response.status);
        Violation::new(Rule::Forgotten, response.at_ms, description)
    };
    let mut violations: Vec<Violation> = later_responses.filter(is_denial).map(denial).collect();
    let had_recovery_time = bounds.end.saturating_sub(bounds.faults_end) >= RECOVERY_MS;
    if had_recovery_time && job.finished.is_none() && job.last_success_ms < bounds.faults_end {
        let description = format!("no successful answer since {} ms", job.last_success_ms);
        violations.push(Violation::new(Rule::Forgotten, bounds.end, description));
    }
    violations
}
