//! PROTOCOL's rules about single jobs, one function each.

use super::job_history::{JobHistory, Response, TaskRun};
use super::{MachinePlacement, Rule, RunBounds, Violation, RECOVERY_MS};
use crate::clock::Ms;
use crate::history::{JobPhase, TaskEndReason, UserRequest};
use std::collections::{BTreeMap, BTreeSet};

/// All violations of the rules by one job.
pub(super) fn check(
    job: &JobHistory,
    machines: &BTreeMap<String, MachinePlacement>,
    bounds: &RunBounds,
) -> Vec<Violation> {
    let by_rule = [
        ran_twice(job),
        ran_cancelled(job, bounds),
        wrong_place(job, machines),
        not_done(job),
        went_back(job),
        forgotten(job, bounds),
    ];
    by_rule.into_iter().flatten().collect()
}

/// No task runs on two machines at once.
fn ran_twice(job: &JobHistory) -> Vec<Violation> {
    // The run of each task that ends last; a run without an end never does.
    let mut latest: BTreeMap<u32, &TaskRun> = BTreeMap::new();
    let mut violations = Vec::new();
    for run in &job.runs {
        let task = run.attempt.task;
        let earlier = latest.get(&task);
        let earlier_end = earlier.map_or(0, |earlier| earlier.ended_ms_or(Ms::MAX));
        if let Some(other) = earlier.filter(|_| run.started_ms < earlier_end) {
            let (here, there) = (&run.attempt.machine, &other.attempt.machine);
            let description = format!("task {task} starts on {here} while it is on {there}");
            let violation = Violation::new(Rule::RanTwice, run.started_ms, description);
            violations.push(violation.on_machine(here));
        }
        if run.ended_ms_or(Ms::MAX) >= earlier_end {
            latest.insert(task, run);
        }
    }
    violations
}

/// No task runs longer than the allowed time after its user learned of the cancellation.
fn ran_cancelled(job: &JobHistory, bounds: &RunBounds) -> Vec<Violation> {
    let Some((cancelled_ms, JobPhase::Cancelled)) = job.finished else { return Vec::new() };
    let deadline = cancelled_ms + bounds.deployment.cancel_ms;
    let late = job.runs.iter().filter(|run| run.ended_ms_or(bounds.end) > deadline);
    let violation = |run: &TaskRun| {
        let description = format!(
            "task {} on {} from {} to {} ms, cancelled at {cancelled_ms} ms",
            run.attempt.task,
            run.attempt.machine,
            run.started_ms,
            run.ended_ms_or(bounds.end)
        );
        Violation::new(Rule::RanCancelled, run.started_ms.max(deadline), description)
            .on_machine(&run.attempt.machine)
    };
    late.map(violation).collect()
}

/// Tasks run only on machines of the zone and the kind that their job allows.
fn wrong_place(job: &JobHistory, machines: &BTreeMap<String, MachinePlacement>) -> Vec<Violation> {
    let Some(requirements) = &job.requirements else { return Vec::new() };
    let is_forbidden = |run: &&TaskRun| {
        machines.get(&run.attempt.machine).is_some_and(|machine| {
            let wrong_zone = requirements.zone.as_ref().is_some_and(|zone| *zone != machine.zone);
            wrong_zone || (machine.spot && !requirements.spot)
        })
    };
    let violation = |run: &TaskRun| {
        let description = format!("task {} on {}", run.attempt.task, run.attempt.machine);
        Violation::new(Rule::WrongPlace, run.started_ms, description)
            .on_machine(&run.attempt.machine)
    };
    job.runs.iter().filter(is_forbidden).map(violation).collect()
}

/// A job that is reported as done is no service, and each of its tasks completed before.
fn not_done(job: &JobHistory) -> Vec<Violation> {
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
    let description =
        format!("called done with {} of {} tasks", completed.len(), requirements.tasks);
    vec![Violation::new(Rule::NotDone, done_ms, description)]
}

/// A job never leaves its final phase, and is cancelled only if its user asked for it.
fn went_back(job: &JobHistory) -> Vec<Violation> {
    let Some((finished_ms, final_phase)) = job.finished else { return Vec::new() };
    let mut violations = Vec::new();
    let user_cancelled = job.cancellation_ms.is_some_and(|at| at <= finished_ms);
    if final_phase == JobPhase::Cancelled && !user_cancelled {
        let description = "called cancelled, and nobody cancelled it".into();
        violations.push(Violation::new(Rule::WentBack, finished_ms, description));
    }
    // Requests that were sent before the final phase was reported may be answered with an older
    // phase.
    let later = job.responses.iter().filter(|response| response.sent_ms >= finished_ms);
    for response in later {
        if let Some(phase) = response.phase.filter(|phase| *phase != final_phase) {
            let description = format!("{phase:?} after {final_phase:?}");
            violations.push(Violation::new(Rule::WentBack, response.at_ms, description));
        }
    }
    violations
}

/// An accepted job is never denied, and is reported again once the faults ended.
fn forgotten(job: &JobHistory, bounds: &RunBounds) -> Vec<Violation> {
    let Some(accepted_ms) = job.accepted_ms else { return Vec::new() };
    let is_denial = |response: &&Response| match response.request {
        UserRequest::Submit => matches!(response.status, 400 | 422),
        UserRequest::Poll | UserRequest::Cancel => response.status == 404,
    };
    let later = job.responses.iter().filter(|response| response.sent_ms >= accepted_ms);
    let denial = |response: &Response| {
        let description = format!("{:?} answered {}", response.request, response.status);
        Violation::new(Rule::Forgotten, response.at_ms, description)
    };
    let mut violations: Vec<Violation> = later.filter(is_denial).map(denial).collect();
    let had_time = bounds.end.saturating_sub(bounds.faults_end) >= RECOVERY_MS;
    if had_time && job.finished.is_none() && job.last_success_ms < bounds.faults_end {
        let description = format!("no answer since {} ms", job.last_success_ms);
        violations.push(Violation::new(Rule::Forgotten, bounds.end, description));
    }
    violations
}
