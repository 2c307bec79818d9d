//! The checker finds a violation of each rule, and none in a history that complies with all rules.

use basaltrail_testbed::checker::{explain, find_violations, RunBounds, Violation};
use basaltrail_testbed::deployment::Deployment;
use basaltrail_testbed::history::{
    Event, EventKind, JobPhase, JobRequirements, TaskAttempt, TaskEndReason, UserRequest,
};

const JOB: u64 = 1_000;
const FAULTS_END: u64 = 20_000;
const END: u64 = 120_000;
/// Index of the submission in [`clean_history`].
const SUBMISSION: usize = 2;

fn requirements() -> JobRequirements {
    JobRequirements {
        team: "imports".into(),
        class: "array".into(),
        tasks: 1,
        cpus: 4.0,
        spot: true,
        zone: None,
        service: false,
    }
}

fn attempt(task: u32, number: u64, machine: &str) -> TaskAttempt {
    TaskAttempt { job: JOB, task, attempt: number, machine: machine.into() }
}

fn event_at(at_ms: u64, kind: EventKind) -> Event {
    Event { at_ms, kind }
}

fn submission(requirements: JobRequirements) -> Event {
    event_at(100, EventKind::SubmissionStarted { job: JOB, requirements })
}

fn task_started(at_ms: u64, number: u64, machine: &str) -> Event {
    event_at(at_ms, EventKind::TaskStarted(attempt(0, number, machine)))
}

fn task_ended(at_ms: u64, number: u64, machine: &str, reason: TaskEndReason) -> Event {
    event_at(at_ms, EventKind::TaskEnded { attempt: attempt(0, number, machine), reason })
}

fn response(at_ms: u64, request: UserRequest, status: u16, phase: Option<JobPhase>) -> Event {
    event_at(
        at_ms,
        EventKind::ResponseReceived {
            job: JOB,
            request,
            sent_ms: at_ms - 10,
            controller: 0,
            status: Some(status),
            phase,
            retry_after_s: None,
        },
    )
}

/// Returns the history of a job with one task that is accepted, runs on a machine and is reported
/// as done.
fn clean_history() -> Vec<Event> {
    let machine_started = |machine: &str, spot| EventKind::MachineStarted {
        machine: machine.into(),
        zone: "room-a".into(),
        spot,
    };
    vec![
        event_at(0, machine_started("m-1", true)),
        event_at(0, machine_started("m-2", false)),
        submission(requirements()),
        response(200, UserRequest::Submit, 201, Some(JobPhase::Queued)),
        task_started(1_000, 1, "m-1"),
        task_ended(3_000, 1, "m-1", TaskEndReason::Completed),
        response(25_000, UserRequest::Poll, 200, Some(JobPhase::Done)),
        response(26_000, UserRequest::Poll, 200, Some(JobPhase::Done)),
    ]
}

fn violations(mut events: Vec<Event>) -> Vec<Violation> {
    events.sort_by_key(|event| event.at_ms);
    let deployment = Deployment::new(3, 40);
    let bounds = RunBounds { deployment: &deployment, faults_end: FAULTS_END, end: END };
    find_violations(&events, &bounds)
}

fn violated_rules(events: Vec<Event>) -> Vec<&'static str> {
    violations(events).into_iter().map(|violation| violation.rule.name()).collect()
}

/// Returns the clean history with additional events.
fn clean_history_with(additional: Vec<Event>) -> Vec<Event> {
    clean_history().into_iter().chain(additional).collect()
}

/// Returns the events of the clean history before `end_ms`, with additional events.
fn clean_history_until(end_ms: u64, additional: Vec<Event>) -> Vec<Event> {
    let before = clean_history().into_iter().filter(|event| event.at_ms < end_ms);
    before.chain(additional).collect()
}

/// Returns the clean history with other requirements of the job.
fn clean_history_requiring(requirements: JobRequirements) -> Vec<Event> {
    let mut events = clean_history();
    events[SUBMISSION] = submission(requirements);
    events
}

/// Returns a history whose job is cancelled at 2 s while its task is running, with additional
/// events.
fn cancelled_history_with(additional: Vec<Event>) -> Vec<Event> {
    let mut events = clean_history_until(2_000, additional);
    events.push(event_at(1_900, EventKind::CancellationStarted { job: JOB }));
    events.push(response(2_000, UserRequest::Cancel, 200, Some(JobPhase::Cancelled)));
    events
}

#[test]
fn a_history_that_complies_with_all_rules_has_no_violations() {
    assert_eq!(violations(clean_history()), Vec::new());
    // A task is restarted on another machine after the lease of the first one expired.
    let restarted = vec![
        task_ended(1_500, 1, "m-1", TaskEndReason::LeaseExpired),
        task_started(1_500, 2, "m-2"),
        task_ended(4_000, 2, "m-2", TaskEndReason::Completed),
        response(25_000, UserRequest::Poll, 200, Some(JobPhase::Done)),
    ];
    assert_eq!(violations(clean_history_until(1_001, restarted)), Vec::new());
    // A task is stopped exactly at the deadline of a cancellation.
    let max_cancellation_ms = Deployment::new(3, 40).max_cancellation_ms;
    let in_time = task_ended(2_000 + max_cancellation_ms, 1, "m-1", TaskEndReason::Stopped);
    assert_eq!(violations(cancelled_history_with(vec![in_time])), Vec::new());
}

#[test]
fn ran_twice_finds_a_task_on_two_machines_at_once() {
    let overlapping =
        vec![task_started(2_000, 2, "m-2"), task_ended(2_500, 2, "m-2", TaskEndReason::Stopped)];
    assert_eq!(violated_rules(clean_history_with(overlapping)), ["ran_twice"]);
    // The first attempt never ends.
    let overlapping =
        vec![task_started(90_000, 2, "m-2"), task_ended(91_000, 2, "m-2", TaskEndReason::Failed)];
    let events = clean_history_until(2_000, overlapping);
    assert!(violated_rules(events).contains(&"ran_twice"));
}

#[test]
fn quota_finds_a_team_above_its_limit() {
    let limit = Deployment::new(3, 40).teams[0].max_cpus;
    let above_limit = JobRequirements { cpus: limit + 1.0, ..requirements() };
    assert_eq!(violated_rules(clean_history_requiring(above_limit)), ["quota"]);
}

#[test]
fn wrong_place_finds_a_task_on_an_excluded_spot_machine_or_zone() {
    for violated in [
        JobRequirements { spot: false, ..requirements() },
        JobRequirements { zone: Some("room-b".into()), ..requirements() },
    ] {
        assert_eq!(violated_rules(clean_history_requiring(violated)), ["wrong_place"]);
    }
}

#[test]
fn ran_cancelled_finds_a_task_that_runs_after_the_deadline_and_explains_it() {
    let max_cancellation_ms = Deployment::new(3, 40).max_cancellation_ms;
    let late = task_ended(2_001 + max_cancellation_ms, 1, "m-1", TaskEndReason::Stopped);
    let events = cancelled_history_with(vec![late]);
    assert_eq!(violated_rules(events.clone()), ["ran_cancelled"]);
    assert_eq!(violated_rules(cancelled_history_with(Vec::new())), ["ran_cancelled"]);
    let restarted = vec![
        task_ended(2_500, 1, "m-1", TaskEndReason::Stopped),
        task_started(60_000, 2, "m-2"),
        task_ended(60_001, 2, "m-2", TaskEndReason::Stopped),
    ];
    assert_eq!(violated_rules(cancelled_history_with(restarted)), ["ran_cancelled"]);
    // The explanation contains the job's events and the renewals of the machine's lease.
    let renewal = EventKind::LeaseRenewed { machine: "m-1".into(), controller: 1, token: 7 };
    let mut events = events;
    events.push(event_at(9_000, renewal));
    events.sort_by_key(|event| event.at_ms);
    let deployment = Deployment::new(3, 40);
    let bounds = RunBounds { deployment: &deployment, faults_end: FAULTS_END, end: END };
    let explanation = explain(&events, &find_violations(&events, &bounds)[0]).join("\n");
    assert!(
        explanation.contains("\"lease_renewed\"") && explanation.contains("\"cancelled\""),
        "{explanation}"
    );
}

#[test]
fn forgotten_finds_rejections_and_missing_answers_for_an_accepted_job() {
    let rejected =
        |request, status| clean_history_with(vec![response(5_000, request, status, None)]);
    assert_eq!(violated_rules(rejected(UserRequest::Poll, 404)), ["forgotten"]);
    assert_eq!(violated_rules(rejected(UserRequest::Submit, 422)), ["forgotten"]);
    assert_eq!(violated_rules(rejected(UserRequest::Submit, 503)), Vec::<&str>::new());
    let running = |at_ms| {
        let response = response(at_ms, UserRequest::Poll, 200, Some(JobPhase::Running));
        clean_history_until(3_500, vec![response])
    };
    assert_eq!(violated_rules(running(19_000)), ["forgotten"]);
    assert_eq!(violated_rules(running(30_000)), Vec::<&str>::new());
}

#[test]
fn invented_finds_a_report_of_a_job_that_was_never_submitted() {
    let answered = |status| {
        clean_history_with(vec![event_at(9, EventKind::UnknownJobQueried { job: 9, status })])
    };
    assert_eq!(violated_rules(answered(200)), ["invented"]);
    assert!(violated_rules(answered(404)).is_empty());
}

#[test]
fn not_done_finds_a_done_job_with_an_uncompleted_task() {
    let failed = vec![
        task_ended(3_000, 1, "m-1", TaskEndReason::Failed),
        response(25_000, UserRequest::Poll, 200, Some(JobPhase::Done)),
    ];
    assert_eq!(violated_rules(clean_history_until(3_000, failed)), ["not_done"]);
    let early = response(2_500, UserRequest::Poll, 200, Some(JobPhase::Done));
    assert_eq!(violated_rules(clean_history_with(vec![early])), ["not_done"]);
}

#[test]
fn went_back_finds_a_job_that_leaves_its_final_phase() {
    let regression = response(27_000, UserRequest::Poll, 200, Some(JobPhase::Running));
    assert_eq!(violated_rules(clean_history_with(vec![regression])), ["went_back"]);
    // A request that was sent before the final phase was reported may return an older phase.
    let older = event_at(
        27_000,
        EventKind::ResponseReceived {
            job: JOB,
            request: UserRequest::Poll,
            sent_ms: 24_000,
            controller: 1,
            status: Some(200),
            phase: Some(JobPhase::Running),
            retry_after_s: None,
        },
    );
    assert_eq!(violated_rules(clean_history_with(vec![older])), Vec::<&str>::new());
    // The job's user never requested a cancellation.
    let cancelled = response(2_000, UserRequest::Poll, 200, Some(JobPhase::Cancelled));
    let stopped = task_ended(2_100, 1, "m-1", TaskEndReason::Stopped);
    assert_eq!(violated_rules(clean_history_until(2_000, vec![cancelled, stopped])), ["went_back"]);
}

#[test]
fn nothing_ran_and_controller_find_a_run_without_tasks_and_logged_faults() {
    assert_eq!(violated_rules(Vec::new()), ["nothing_ran"]);
    let line = "event=renewal_violation machine=m-1".to_string();
    let logged = event_at(9, EventKind::ControllerFaultLogged { controller: 1, line });
    assert_eq!(violated_rules(clean_history_with(vec![logged])), ["controller"]);
}
