use super::*;
use crate::model::{ExitReason, JobOutcome, Revision};
use crate::settings::fixtures::{self, job_spec, settings};
use crate::store::records::JobRecord;

const ACTIVE: JobId = JobId(1);
const CANCELLED: JobId = JobId(2);
const ABSENT: JobId = JobId(3);

fn job_cache() -> JobCache {
    let mut job_cache = JobCache::new(100);
    job_cache.put_active(ACTIVE, Revision(1), JobRecord::new(0, job_spec(4, true)));
    job_cache.put_outcome(CANCELLED, JobOutcome::Cancelled);
    job_cache
}

fn running(job: JobId, index: u32) -> TaskStatus {
    TaskStatus { task: TaskId { job, index }, attempt: Attempt(7), state: TaskState::Running }
}

fn heartbeat(tasks: Vec<TaskStatus>) -> Heartbeat {
    Heartbeat { tasks, ..fixtures::heartbeat("m-1", FencingToken(1)) }
}

/// Returns the commands of the answer to a heartbeat at 40 s, by a controller that has held a valid
/// leader lease since 30 s.
fn answer_commands(
    jobs_as_of: Option<Ms>,
    tasks: Vec<TaskStatus>,
) -> Result<Vec<TaskCommand>, RenewalRefusal> {
    let (cfg, job_cache, heartbeat) = (settings(), job_cache(), heartbeat(tasks));
    let conditions = RenewalConditions {
        cfg: &cfg,
        job_cache: &job_cache,
        now: 40_000,
        lease_held_since: Some(30_000),
        jobs_as_of,
    };
    let answer = conditions.permit(&heartbeat)?.answer(FencingToken(5), Vec::new());
    assert_eq!(conditions.unverified_tasks(&heartbeat, &answer), Vec::new());
    let Answer::Commands { commands, .. } = answer else { panic!("{answer:?}") };
    Ok(commands)
}

fn stop(job: JobId, index: u32) -> TaskCommand {
    TaskCommand::Stop { task: TaskId { job, index }, attempt: Attempt(7), grace_s: 0.0 }
}

#[test]
fn answer_stops_tasks_of_ended_jobs_and_keeps_tasks_of_active_jobs() {
    let tasks = vec![running(ACTIVE, 0), running(CANCELLED, 1)];
    assert_eq!(answer_commands(Some(39_000), tasks), Ok(vec![stop(CANCELLED, 1)]));
}

/// A leader starts a task only after it has read the job's record. If that record is missing in a
/// read within the leader lease, the job has ended. An earlier read may predate the job.
#[test]
fn job_without_a_record_counts_as_ended_only_after_a_read_within_the_leader_lease() {
    assert_eq!(answer_commands(Some(30_000), vec![running(ABSENT, 0)]), Ok(vec![stop(ABSENT, 0)]));
    assert_eq!(
        answer_commands(Some(29_999), vec![running(ABSENT, 0)]),
        Err(RenewalRefusal::JobUnknown)
    );
    assert_eq!(answer_commands(Some(29_999), vec![running(ACTIVE, 0)]), Ok(vec![]));
}

#[test]
fn job_cache_older_than_the_maximum_age_renews_no_lease() {
    let max_age_ms = settings().max_job_cache_age_ms();
    let answer_as_of = |as_of| answer_commands(as_of, vec![running(ACTIVE, 0)]);
    assert_eq!(answer_as_of(Some(40_000 - max_age_ms)), Ok(vec![]));
    assert_eq!(answer_as_of(Some(40_000 - max_age_ms - 1)), Err(RenewalRefusal::JobsNotRead));
    assert_eq!(answer_as_of(None), Err(RenewalRefusal::JobsNotRead));
}

#[test]
fn exited_task_of_an_unknown_job_does_not_prevent_renewal() {
    let exited = TaskStatus { state: TaskState::Exited(ExitReason::Done), ..running(ABSENT, 0) };
    assert_eq!(answer_commands(Some(29_999), vec![exited]), Ok(vec![]));
}

#[test]
fn each_required_stop_is_sent_once_without_grace_and_within_the_limit() {
    let (cfg, job_cache) = (settings(), job_cache());
    let (lease_held_since, jobs_as_of) = (Some(0), Some(100));
    let conditions = RenewalConditions {
        cfg: &cfg,
        job_cache: &job_cache,
        now: 200,
        lease_held_since,
        jobs_as_of,
    };
    let permit = || conditions.permit(&heartbeat(vec![running(CANCELLED, 0)])).unwrap();
    assert_eq!(permit().command_limit(), MAX_COMMANDS - 1);
    let forget =
        TaskCommand::Forget { task: TaskId { job: ACTIVE, index: 9 }, attempt: Attempt(1) };
    let answer = |commands| match permit().answer(FencingToken(1), commands) {
        Answer::Commands { commands, .. } => commands,
        other => panic!("{other:?}"),
    };
    assert_eq!(answer(vec![forget]), vec![stop(CANCELLED, 0), forget]);
    assert_eq!(answer(vec![forget, stop(CANCELLED, 0)]), vec![forget, stop(CANCELLED, 0)]);
    let task = TaskId { job: CANCELLED, index: 0 };
    let graceful = TaskCommand::Stop { task, attempt: Attempt(7), grace_s: 5.0 };
    assert_eq!(answer(vec![forget, graceful]), vec![stop(CANCELLED, 0), forget]);
    let permit_with_stops =
        |n| conditions.permit(&heartbeat((0..n).map(|i| running(CANCELLED, i)).collect()));
    assert_eq!(permit_with_stops(MAX_REQUIRED_STOPS as u32).unwrap().command_limit(), 0);
    assert_eq!(permit_with_stops(MAX_REQUIRED_STOPS as u32 + 1), Err(RenewalRefusal::TooManyStops));
}

/// The check at run time finds an answer that was built without a permit.
#[test]
fn check_finds_unverified_tasks_that_an_answer_keeps_running() {
    let (cfg, job_cache) = (settings(), job_cache());
    let (lease_held_since, jobs_as_of) = (Some(0), Some(100));
    let conditions = RenewalConditions {
        cfg: &cfg,
        job_cache: &job_cache,
        now: 200,
        lease_held_since,
        jobs_as_of,
    };
    let reported = heartbeat(vec![running(ACTIVE, 0), running(CANCELLED, 1), running(ABSENT, 2)]);
    let unverified = |commands| {
        conditions
            .unverified_tasks(&reported, &Answer::Commands { token: FencingToken(1), commands })
    };
    let task = |job, index| TaskId { job, index };
    assert_eq!(unverified(vec![]), vec![task(CANCELLED, 1), task(ABSENT, 2)]);
    assert_eq!(unverified(vec![stop(CANCELLED, 1), stop(ABSENT, 2)]), Vec::new());
    // A stop with a grace period does not count, as the task may save first.
    let graceful =
        TaskCommand::Stop { task: task(CANCELLED, 1), attempt: Attempt(7), grace_s: 5.0 };
    assert_eq!(unverified(vec![graceful, stop(ABSENT, 2)]), vec![task(CANCELLED, 1)]);
    let stale = RenewalConditions { now: 60_000, ..conditions };
    let answer = Answer::Commands { token: FencingToken(1), commands: vec![] };
    assert_eq!(stale.unverified_tasks(&reported, &answer).len(), 3);
}

#[test]
fn counters_count_renewals_and_refusals() {
    let mut counters = AnswerCounters::default();
    counters.count_renewal(&[stop(CANCELLED, 0)]);
    counters.count_refusal(RenewalRefusal::JobUnknown);
    let expected = AnswerCounters {
        renewed: 1,
        starts: 0,
        stops: 1,
        forgets: 0,
        refused: BTreeMap::from([(RenewalRefusal::JobUnknown, 1)]),
        violations: 0,
    };
    assert_eq!(counters, expected);
}
