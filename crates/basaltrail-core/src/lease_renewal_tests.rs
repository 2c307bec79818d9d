use super::*;
use crate::records::JobRecord;
use crate::settings::sample::{a_job, settings};

const ACTIVE: JobId = JobId(1);
const CANCELLED: JobId = JobId(2);
const ABSENT: JobId = JobId(3);

fn table() -> Table {
    let mut table = Table::new(100);
    table.put_active(ACTIVE, 1, JobRecord::new(0, a_job(4, true)));
    table.put_final(CANCELLED, Final::Cancelled);
    table
}

fn running(job: JobId, index: u32) -> TaskReport {
    TaskReport { task: TaskId { job, index }, attempt: Attempt(7), state: TaskState::Running }
}

fn report(tasks: Vec<TaskReport>) -> Report {
    Report {
        machine: MachineId("m-1".into()),
        endpoint: "e".into(),
        machine_type: "x".into(),
        zone: "a".into(),
        spot: false,
        session: 1,
        seq: 1,
        token: Token(1),
        notice_s: None,
        tasks,
    }
}

/// The answer to a report at 40 s by a node whose right began at 30 s.
fn decide(jobs_as_of: Option<Ms>, tasks: Vec<TaskReport>) -> Result<Vec<Order>, Refusal> {
    let (cfg, table, report) = (settings(), table(), report(tasks));
    let knowledge = Knowledge {
        cfg: &cfg,
        table: &table,
        now: 40_000,
        entitled_since: Some(30_000),
        jobs_as_of,
    };
    let answer = knowledge.permit(&report)?.answer(Token(5), Vec::new());
    assert_eq!(knowledge.kept_without_knowledge(&report, &answer), Vec::new());
    let Answer::Orders { orders, .. } = answer else { panic!("{answer:?}") };
    Ok(orders)
}

fn stop(job: JobId, index: u32) -> Order {
    Order::Stop { task: TaskId { job, index }, attempt: Attempt(7), grace_s: 0.0 }
}

#[test]
fn an_answer_stops_what_has_ended_and_keeps_what_is_active() {
    let tasks = vec![running(ACTIVE, 0), running(CANCELLED, 1)];
    assert_eq!(decide(Some(39_000), tasks), Ok(vec![stop(CANCELLED, 1)]));
}

/// Nobody starts a task without the job's record: one that is gone within our right has ended.
/// Before that it may be younger than what was read.
#[test]
fn a_job_without_a_record_has_ended_only_by_a_read_within_the_right() {
    assert_eq!(decide(Some(30_000), vec![running(ABSENT, 0)]), Ok(vec![stop(ABSENT, 0)]));
    assert_eq!(decide(Some(29_999), vec![running(ABSENT, 0)]), Err(Refusal::JobUnknown));
    assert_eq!(decide(Some(29_999), vec![running(ACTIVE, 0)]), Ok(vec![]));
}

#[test]
fn knowledge_older_than_cancel_s_less_a_lease_renews_nobody() {
    let most = settings().view_age_most_ms();
    let at = |as_of| decide(as_of, vec![running(ACTIVE, 0)]);
    assert_eq!(at(Some(40_000 - most)), Ok(vec![]));
    assert_eq!(at(Some(40_000 - most - 1)), Err(Refusal::JobsNotRead));
    assert_eq!(at(None), Err(Refusal::JobsNotRead));
}

#[test]
fn exited_tasks_are_not_kept_by_an_answer() {
    let exited = TaskReport { state: TaskState::Exited(Why::Done), ..running(ABSENT, 0) };
    assert_eq!(decide(Some(29_999), vec![exited]), Ok(vec![]));
}

#[test]
fn each_stop_is_said_once_without_grace_and_within_the_bound() {
    let (cfg, table) = (settings(), table());
    let (entitled_since, jobs_as_of) = (Some(0), Some(100));
    let knowledge = Knowledge { cfg: &cfg, table: &table, now: 200, entitled_since, jobs_as_of };
    let permit = || knowledge.permit(&report(vec![running(CANCELLED, 0)])).unwrap();
    assert_eq!(permit().room(), ORDERS_MOST - 1);
    let own = Order::Forget { task: TaskId { job: ACTIVE, index: 9 }, attempt: Attempt(1) };
    let answer = |orders| match permit().answer(Token(1), orders) {
        Answer::Orders { orders, .. } => orders,
        other => panic!("{other:?}"),
    };
    assert_eq!(answer(vec![own]), vec![stop(CANCELLED, 0), own]);
    assert_eq!(answer(vec![own, stop(CANCELLED, 0)]), vec![own, stop(CANCELLED, 0)]);
    let task = TaskId { job: CANCELLED, index: 0 };
    let mild = Order::Stop { task, attempt: Attempt(7), grace_s: 5.0 };
    assert_eq!(answer(vec![own, mild]), vec![stop(CANCELLED, 0), own]);
    let many = |n| knowledge.permit(&report((0..n).map(|i| running(CANCELLED, i)).collect()));
    assert_eq!(many(STOPS_MOST as u32).unwrap().room(), 0);
    assert_eq!(many(STOPS_MOST as u32 + 1), Err(Refusal::TooManyStops));
}

/// The check at run time finds an answer that was made in any other way.
#[test]
fn an_answer_without_the_stop_is_found() {
    let (cfg, table) = (settings(), table());
    let (entitled_since, jobs_as_of) = (Some(0), Some(100));
    let knowledge = Knowledge { cfg: &cfg, table: &table, now: 200, entitled_since, jobs_as_of };
    let told = report(vec![running(ACTIVE, 0), running(CANCELLED, 1), running(ABSENT, 2)]);
    let kept = |orders| {
        knowledge.kept_without_knowledge(&told, &Answer::Orders { token: Token(1), orders })
    };
    let task = |job, index| TaskId { job, index };
    assert_eq!(kept(vec![]), vec![task(CANCELLED, 1), task(ABSENT, 2)]);
    assert_eq!(kept(vec![stop(CANCELLED, 1), stop(ABSENT, 2)]), Vec::new());
    // A stop that lets the task save is none at once.
    let mild = Order::Stop { task: task(CANCELLED, 1), attempt: Attempt(7), grace_s: 5.0 };
    assert_eq!(kept(vec![mild, stop(ABSENT, 2)]), vec![task(CANCELLED, 1)]);
    let late = Knowledge { now: 60_000, ..knowledge };
    let answer = Answer::Orders { token: Token(1), orders: vec![] };
    assert_eq!(late.kept_without_knowledge(&told, &answer).len(), 3);
}

#[test]
fn counters_tell_what_was_answered() {
    let mut counters = AnswerCounters::default();
    counters.count_orders(&[stop(CANCELLED, 0)]);
    counters.count_refusal(Refusal::JobUnknown);
    let detail = "renewed=1 starts=0 stops=1 forgets=0 violations=0 refused_job_unknown=1";
    assert_eq!(counters.detail(), detail);
}
