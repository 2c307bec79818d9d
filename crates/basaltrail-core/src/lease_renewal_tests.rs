use super::*;
use crate::settings::sample::{a_job, settings};
use crate::store::records::JobRecord;

const ACTIVE_JOBS_PREFIX: JobId = JobId(1);
const CANCELLED: JobId = JobId(2);
const ABSENT: JobId = JobId(3);

fn job_cache() -> JobCache {
    let mut job_cache = JobCache::new(100);
    job_cache.put_active(ACTIVE_JOBS_PREFIX, Revision(1), JobRecord::new(0, a_job(4, true)));
    job_cache.put_outcome(CANCELLED, JobOutcome::Cancelled);
    job_cache
}

fn running(job: JobId, index: u32) -> TaskStatus {
    TaskStatus { task: TaskId { job, index }, attempt: Attempt(7), state: TaskState::Running }
}

fn heartbeat(tasks: Vec<TaskStatus>) -> Heartbeat {
    Heartbeat {
        machine: MachineId("m-1".into()),
        endpoint: "e".into(),
        machine_type: "x".into(),
        zone: "a".into(),
        spot: false,
        agent_epoch: AgentEpoch(1),
        sequence: 1,
        token: FencingToken(1),
        reclaim_notice_s: None,
        tasks,
    }
}

/// The answer to a report at 40 s by a controller whose right began at 30 s.
fn decide(jobs_as_of: Option<Ms>, tasks: Vec<TaskStatus>) -> Result<Vec<TaskCommand>, Refusal> {
    let (cfg, job_cache, heartbeat) = (settings(), job_cache(), heartbeat(tasks));
    let knowledge = Knowledge {
        cfg: &cfg,
        job_cache: &job_cache,
        now: 40_000,
        lease_held_since: Some(30_000),
        jobs_as_of,
    };
    let answer = knowledge.permit(&heartbeat)?.answer(FencingToken(5), Vec::new());
    assert_eq!(knowledge.kept_without_knowledge(&heartbeat, &answer), Vec::new());
    let Answer::Commands { commands, .. } = answer else { panic!("{answer:?}") };
    Ok(commands)
}

fn stop(job: JobId, index: u32) -> TaskCommand {
    TaskCommand::Stop { task: TaskId { job, index }, attempt: Attempt(7), grace_s: 0.0 }
}

#[test]
fn an_answer_stops_what_has_ended_and_keeps_what_is_active() {
    let tasks = vec![running(ACTIVE_JOBS_PREFIX, 0), running(CANCELLED, 1)];
    assert_eq!(decide(Some(39_000), tasks), Ok(vec![stop(CANCELLED, 1)]));
}

/// Nobody starts a task without the job's record: one that is gone within our right has ended.
/// Before that it may be younger than what was read.
#[test]
fn a_job_without_a_record_has_ended_only_by_a_read_within_the_right() {
    assert_eq!(decide(Some(30_000), vec![running(ABSENT, 0)]), Ok(vec![stop(ABSENT, 0)]));
    assert_eq!(decide(Some(29_999), vec![running(ABSENT, 0)]), Err(Refusal::JobUnknown));
    assert_eq!(decide(Some(29_999), vec![running(ACTIVE_JOBS_PREFIX, 0)]), Ok(vec![]));
}

#[test]
fn knowledge_older_than_cancel_s_less_a_lease_renews_nobody() {
    let most = settings().max_job_cache_age_ms();
    let at = |as_of| decide(as_of, vec![running(ACTIVE_JOBS_PREFIX, 0)]);
    assert_eq!(at(Some(40_000 - most)), Ok(vec![]));
    assert_eq!(at(Some(40_000 - most - 1)), Err(Refusal::JobsNotRead));
    assert_eq!(at(None), Err(Refusal::JobsNotRead));
}

#[test]
fn exited_tasks_are_not_kept_by_an_answer() {
    let exited = TaskStatus { state: TaskState::Exited(ExitReason::Done), ..running(ABSENT, 0) };
    assert_eq!(decide(Some(29_999), vec![exited]), Ok(vec![]));
}

#[test]
fn each_stop_is_said_once_without_grace_and_within_the_bound() {
    let (cfg, job_cache) = (settings(), job_cache());
    let (lease_held_since, jobs_as_of) = (Some(0), Some(100));
    let knowledge =
        Knowledge { cfg: &cfg, job_cache: &job_cache, now: 200, lease_held_since, jobs_as_of };
    let permit = || knowledge.permit(&heartbeat(vec![running(CANCELLED, 0)])).unwrap();
    assert_eq!(permit().room(), ORDERS_MOST - 1);
    let own = TaskCommand::Forget {
        task: TaskId { job: ACTIVE_JOBS_PREFIX, index: 9 },
        attempt: Attempt(1),
    };
    let answer = |commands| match permit().answer(FencingToken(1), commands) {
        Answer::Commands { commands, .. } => commands,
        other => panic!("{other:?}"),
    };
    assert_eq!(answer(vec![own]), vec![stop(CANCELLED, 0), own]);
    assert_eq!(answer(vec![own, stop(CANCELLED, 0)]), vec![own, stop(CANCELLED, 0)]);
    let task = TaskId { job: CANCELLED, index: 0 };
    let mild = TaskCommand::Stop { task, attempt: Attempt(7), grace_s: 5.0 };
    assert_eq!(answer(vec![own, mild]), vec![stop(CANCELLED, 0), own]);
    let many = |n| knowledge.permit(&heartbeat((0..n).map(|i| running(CANCELLED, i)).collect()));
    assert_eq!(many(STOPS_MOST as u32).unwrap().room(), 0);
    assert_eq!(many(STOPS_MOST as u32 + 1), Err(Refusal::TooManyStops));
}

/// The check at run time finds an answer that was made in any other way.
#[test]
fn an_answer_without_the_stop_is_found() {
    let (cfg, job_cache) = (settings(), job_cache());
    let (lease_held_since, jobs_as_of) = (Some(0), Some(100));
    let knowledge =
        Knowledge { cfg: &cfg, job_cache: &job_cache, now: 200, lease_held_since, jobs_as_of };
    let told =
        heartbeat(vec![running(ACTIVE_JOBS_PREFIX, 0), running(CANCELLED, 1), running(ABSENT, 2)]);
    let kept = |commands| {
        knowledge
            .kept_without_knowledge(&told, &Answer::Commands { token: FencingToken(1), commands })
    };
    let task = |job, index| TaskId { job, index };
    assert_eq!(kept(vec![]), vec![task(CANCELLED, 1), task(ABSENT, 2)]);
    assert_eq!(kept(vec![stop(CANCELLED, 1), stop(ABSENT, 2)]), Vec::new());
    // A stop that lets the task save is none at once.
    let mild = TaskCommand::Stop { task: task(CANCELLED, 1), attempt: Attempt(7), grace_s: 5.0 };
    assert_eq!(kept(vec![mild, stop(ABSENT, 2)]), vec![task(CANCELLED, 1)]);
    let late = Knowledge { now: 60_000, ..knowledge };
    let answer = Answer::Commands { token: FencingToken(1), commands: vec![] };
    assert_eq!(late.kept_without_knowledge(&told, &answer).len(), 3);
}

#[test]
fn counters_tell_what_was_answered() {
    let mut counters = AnswerCounters::default();
    counters.count_orders(&[stop(CANCELLED, 0)]);
    counters.count_refusal(Refusal::JobUnknown);
    let expected = AnswerCounters {
        renewed: 1,
        starts: 0,
        stops: 1,
        forgets: 0,
        refused: BTreeMap::from([(Refusal::JobUnknown, 1)]),
        violations: 0,
    };
    assert_eq!(counters, expected);
}
