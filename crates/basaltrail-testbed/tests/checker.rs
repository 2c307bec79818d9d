//! The checker finds each rule broken, and finds nothing in a history that keeps them all.

use basaltrail_testbed::checker::{account, judge, Bounds, Breach};
use basaltrail_testbed::deployment::Deployment;
use basaltrail_testbed::history::{Attempt, Condition, Event, JobShape, Off, Question, What};

const JOB: u64 = 1_000;
const FAULTS_END: u64 = 20_000;
const END: u64 = 120_000;

fn shape() -> JobShape {
    JobShape {
        team: "imports".into(),
        class: "array".into(),
        tasks: 1,
        cpus: 4.0,
        spot: true,
        zone: None,
        service: false,
    }
}

fn attempt(task: u32, number: u64, machine: &str) -> Attempt {
    Attempt { job: JOB, task, attempt: number, machine: machine.into() }
}

fn at(at_ms: u64, what: What) -> Event {
    Event { at_ms, what }
}

fn on(at_ms: u64, number: u64, machine: &str) -> Event {
    at(at_ms, What::TaskOn(attempt(0, number, machine)))
}

fn off(at_ms: u64, number: u64, machine: &str, why: Off) -> Event {
    at(at_ms, What::TaskOff { attempt: attempt(0, number, machine), why })
}

fn told(at_ms: u64, question: Question, status: u16, condition: Option<Condition>) -> Event {
    let (asked_ms, status) = (at_ms - 10, Some(status));
    let (job, node, retry_after_s) = (JOB, 0, None);
    at(at_ms, What::Told { job, question, asked_ms, node, status, condition, retry_after_s })
}

/// A job of one task that is accepted, runs on a machine, and is told to be done.
fn good() -> Vec<Event> {
    let up = |machine: &str, spot| What::MachineUp {
        machine: machine.into(),
        zone: "room-a".into(),
        spot,
    };
    vec![
        at(0, up("m-1", true)),
        at(0, up("m-2", false)),
        at(100, What::Submitting { job: JOB, shape: shape() }),
        told(200, Question::Submit, 201, Some(Condition::Queued)),
        on(1_000, 1, "m-1"),
        off(3_000, 1, "m-1", Off::Done),
        told(25_000, Question::Poll, 200, Some(Condition::Done)),
        told(26_000, Question::Poll, 200, Some(Condition::Done)),
    ]
}

fn breaches(mut events: Vec<Event>) -> Vec<Breach> {
    events.sort_by_key(|event| event.at_ms);
    let deployment = Deployment::new(3, 40);
    judge(&events, &Bounds { deployment: &deployment, faults_end: FAULTS_END, end: END })
}

fn rules(events: Vec<Event>) -> Vec<&'static str> {
    breaches(events).into_iter().map(|breach| breach.rule).collect()
}

/// The good history with some events more.
fn with(more: Vec<Event>) -> Vec<Event> {
    good().into_iter().chain(more).collect()
}

/// The good history up to a moment, with some events more.
fn until(at_ms: u64, more: Vec<Event>) -> Vec<Event> {
    good().into_iter().filter(|event| event.at_ms < at_ms).chain(more).collect()
}

/// The job's user cancels at 2 s, while its task runs.
fn cancelled(more: Vec<Event>) -> Vec<Event> {
    let mut events = until(2_000, more);
    events.push(at(1_900, What::Cancelling { job: JOB }));
    events.push(told(2_000, Question::Cancel, 200, Some(Condition::Aborted)));
    events
}

#[test]
fn a_history_that_keeps_the_rules() {
    assert_eq!(breaches(good()), Vec::new());
    // Again elsewhere, once it is gone; and stopped in time after a cancellation.
    let again = vec![
        off(1_500, 1, "m-1", Off::LeaseEnded),
        on(1_500, 2, "m-2"),
        off(4_000, 2, "m-2", Off::Done),
        told(25_000, Question::Poll, 200, Some(Condition::Done)),
    ];
    assert_eq!(breaches(until(1_001, again)), Vec::new());
    let cancel_ms = Deployment::new(3, 40).cancel_ms;
    let in_time = off(2_000 + cancel_ms, 1, "m-1", Off::Stopped);
    assert_eq!(breaches(cancelled(vec![in_time])), Vec::new());
}

#[test]
fn ran_twice() {
    let twice = vec![on(2_000, 2, "m-2"), off(2_500, 2, "m-2", Off::Stopped)];
    assert_eq!(rules(with(twice)), ["ran_twice"]);
    // Also where the first attempt never ends.
    let events = until(2_000, vec![on(90_000, 2, "m-2"), off(91_000, 2, "m-2", Off::Failed)]);
    assert!(rules(events).contains(&"ran_twice"));
}

#[test]
fn quota() {
    let limit = Deployment::new(3, 40).teams[0].cpus_max;
    let wide = JobShape { cpus: limit + 1.0, ..shape() };
    let mut events = good();
    events[2] = at(100, What::Submitting { job: JOB, shape: wide });
    assert_eq!(rules(events), ["quota"]);
}

#[test]
fn wrong_place() {
    for wrong in
        [JobShape { spot: false, ..shape() }, JobShape { zone: Some("room-b".into()), ..shape() }]
    {
        let mut events = good();
        events[2] = at(100, What::Submitting { job: JOB, shape: wrong });
        assert_eq!(rules(events), ["wrong_place"]);
    }
}

#[test]
fn ran_cancelled() {
    let cancel_ms = Deployment::new(3, 40).cancel_ms;
    let late = off(2_001 + cancel_ms, 1, "m-1", Off::Stopped);
    let events = cancelled(vec![late]);
    assert_eq!(rules(events.clone()), ["ran_cancelled"]);
    assert_eq!(rules(cancelled(Vec::new())), ["ran_cancelled"]);
    let started = vec![
        off(2_500, 1, "m-1", Off::Stopped),
        on(60_000, 2, "m-2"),
        off(60_001, 2, "m-2", Off::Stopped),
    ];
    assert_eq!(rules(cancelled(started)), ["ran_cancelled"]);
    // The account names the job's events and what renewed the machine.
    let renewed = What::Renewed { machine: "m-1".into(), node: 1, token: 7 };
    let mut events = events;
    events.push(at(9_000, renewed));
    events.sort_by_key(|event| event.at_ms);
    let deployment = Deployment::new(3, 40);
    let bounds = Bounds { deployment: &deployment, faults_end: FAULTS_END, end: END };
    let account = account(&events, &judge(&events, &bounds)[0]).join("\n");
    assert!(account.contains("\"renewed\"") && account.contains("\"aborted\""), "{account}");
}

#[test]
fn forgotten() {
    let denied = |question, status| with(vec![told(5_000, question, status, None)]);
    assert_eq!(rules(denied(Question::Poll, 404)), ["forgotten"]);
    assert_eq!(rules(denied(Question::Submit, 422)), ["forgotten"]);
    assert_eq!(rules(denied(Question::Submit, 503)), Vec::<&str>::new());
    let silent = until(3_500, vec![told(19_000, Question::Poll, 200, Some(Condition::Running))]);
    assert_eq!(rules(silent), ["forgotten"]);
    let spoken = until(3_500, vec![told(30_000, Question::Poll, 200, Some(Condition::Running))]);
    assert_eq!(rules(spoken), Vec::<&str>::new());
}

#[test]
fn invented() {
    assert_eq!(rules(with(vec![at(9, What::StrangerTold { job: 9, status: 200 })])), ["invented"]);
    assert!(rules(with(vec![at(9, What::StrangerTold { job: 9, status: 404 })])).is_empty());
}

#[test]
fn not_done() {
    let failed = vec![
        off(3_000, 1, "m-1", Off::Failed),
        told(25_000, Question::Poll, 200, Some(Condition::Done)),
    ];
    assert_eq!(rules(until(3_000, failed)), ["not_done"]);
    let early = told(2_500, Question::Poll, 200, Some(Condition::Done));
    assert_eq!(rules(with(vec![early])), ["not_done"]);
}

#[test]
fn went_back() {
    let back = told(27_000, Question::Poll, 200, Some(Condition::Running));
    assert_eq!(rules(with(vec![back])), ["went_back"]);
    // An answer that was asked for before the end was told may be older.
    let older = at(
        27_000,
        What::Told {
            job: JOB,
            question: Question::Poll,
            asked_ms: 24_000,
            node: 1,
            status: Some(200),
            condition: Some(Condition::Running),
            retry_after_s: None,
        },
    );
    assert_eq!(rules(with(vec![older])), Vec::<&str>::new());
    let nobody = told(2_000, Question::Poll, 200, Some(Condition::Aborted));
    let stopped = off(2_100, 1, "m-1", Off::Stopped);
    assert_eq!(rules(until(2_000, vec![nobody, stopped])), ["went_back"]);
}

#[test]
fn nothing_ran_and_what_a_controller_says_of_itself() {
    assert_eq!(rules(Vec::new()), ["nothing_ran"]);
    let line = "event=renewal_violation machine=m-1".to_string();
    assert_eq!(rules(with(vec![at(9, What::ControllerFault { node: 1, line })])), ["controller"]);
}
