//! The load `overload`: about twice the work that the machines can do, for minutes, one class of
//! it all at one controller. EventKind each class gets done in each window shows whether one starves.

use crate::checker::{find_violations, RunBounds, Violation};
use crate::clock::Ms;
use crate::deployment::{Deployment, Team};
use crate::history::{self, Event, EventKind, JobRequirements, TaskEndReason, UserRequest};
use crate::metrics::{self, DurationSummary, SubmissionMetrics, TeamUsage};
use crate::racing::warm_up;
use crate::request::JobRequest;
use crate::users::Habits;
use crate::world::{Operators, RunError, Setup, World};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// Progress is looked at in windows of so long.
pub const WINDOW_MS: Ms = 60_000;
/// The first number of the jobs.
const FIRST_JOB: u64 = 10_000;
/// Tasks of a job, and how long they run: about 24 CPU-seconds a job.
const TASKS: std::ops::RangeInclusive<u32> = 2..=6;
const CPUS: [f64; 2] = [1.0, 2.0];
const RUN_MS: std::ops::Range<Ms> = 2_000..6_000;
const JOB_CPU_S: f64 = 24.0;
const HABITS: Habits = Habits { cancel_share: 0.0, repeat_share: 0.02, submit_to: None };

/// The teams: guaranteed and most CPUs as parts of the fleet.
const TEAMS: [(&str, f64, f64); 3] =
    [("imports", 0.3, 0.6), ("reports", 0.25, 0.5), ("archive", 0.1, 0.3)];

/// A class: its team, its priority, the work that is asked for as a part of what the machines can
/// do, and whether all of it goes to one controller.
struct Class {
    name: &'static str,
    team: &'static str,
    priority: &'static str,
    load: f64,
    one_node: bool,
}

const CLASSES: [Class; 4] = [
    Class { name: "checks", team: "imports", priority: "urgent", load: 0.9, one_node: true },
    Class { name: "rescans", team: "imports", priority: "best_effort", load: 0.5, one_node: false },
    Class { name: "wages", team: "reports", priority: "standard", load: 0.15, one_node: false },
    Class { name: "boxes", team: "archive", priority: "best_effort", load: 0.45, one_node: false },
];

/// EventKind to play.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The controllers' program.
    pub program: PathBuf,
    /// EventKind the controllers' operators set.
    pub operators: Operators,
    /// Controllers.
    pub nodes: usize,
    /// Machines that the cloud can rent.
    pub machines: usize,
    /// How long jobs are submitted.
    pub run_ms: Ms,
    /// Where histories, settings and logs go: a directory for each seed.
    pub directory: PathBuf,
}

/// EventKind became of one class.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassFigures {
    /// The class.
    pub class: &'static str,
    /// Its jobs that were submitted, accepted, and told to come back at least once.
    pub jobs: usize,
    /// See `jobs`.
    pub accepted: usize,
    /// See `jobs`.
    pub refused: usize,
    /// From the first submission until the first task began.
    pub waits: DurationSummary,
    /// CPU-seconds that were done in each window.
    pub done: Vec<f64>,
    /// The least part of its team's work that it got done in a window.
    pub least_share: f64,
}

/// How true it was when to come back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Returns {
    /// Refusals after which the user came back.
    pub returns: usize,
    /// Those of them that were accepted then.
    pub accepted: usize,
}

/// EventKind an overload showed.
#[derive(Debug, Serialize)]
pub struct Outcome {
    /// The seed.
    pub seed: u64,
    /// How submissions were answered.
    pub submissions: SubmissionMetrics,
    /// EventKind each team used.
    pub teams: Vec<TeamUsage>,
    /// EventKind became of each class.
    pub classes: Vec<ClassFigures>,
    /// How true it was when to come back.
    pub returns: Returns,
    /// Rules that were broken.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
}

/// Plays one seed.
///
/// # Errors
///
/// If the stand-ins or the controllers cannot be started, or files not be written.
pub async fn run(plan: &Plan, seed: u64) -> Result<Outcome, RunError> {
    let directory = plan.directory.join(format!("overload-{}-{seed}", plan.nodes));
    let deployment = Deployment::new(plan.nodes, plan.machines);
    let cpus = deployment.cpus();
    let team = |(name, guaranteed, most): (&'static str, f64, f64)| Team {
        name,
        cpus: (cpus * guaranteed).floor(),
        cpus_max: (cpus * most).floor(),
    };
    let deployment = Deployment { teams: TEAMS.map(team).to_vec(), ..deployment };
    let mut rng = SmallRng::seed_from_u64(seed);
    let setup = Setup {
        program: &plan.program,
        operators: &plan.operators,
        deployment: &deployment,
        directory: &directory,
        first_port: None,
        seed,
    };
    let world = World::start(&setup, rng.random()).await?;
    warm_up(&world).await?;
    let begin = world.clock.now();
    let end = begin + plan.run_ms;
    let classes = CLASSES.iter().enumerate();
    let submitting: Vec<_> = classes
        .map(|(number, class)| {
            let first = FIRST_JOB * (number as u64 + 1);
            tokio::spawn(submit(world.clone(), class, first, end, rng.random()))
        })
        .collect();
    for submitting in submitting {
        // A load that panics is a fault of the testbed, and shows as jobs that are missing.
        let _ = submitting.await;
    }
    world.end().await;
    let events = world.history.events();
    history::write(&directory.join("history.jsonl"), &events)?;
    let bounds = RunBounds { deployment: &world.deployment, faults_end: end, end };
    Ok(Outcome {
        seed,
        submissions: metrics::submissions(&events),
        teams: metrics::team_usage(&events, &world.deployment),
        classes: by_class(&events, begin, plan.run_ms),
        returns: returns(&events),
        violations: find_violations(&events, &bounds),
    })
}

async fn submit(world: Arc<World>, class: &'static Class, first: u64, end: Ms, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let per_s = class.load * world.deployment.cpus() / JOB_CPU_S;
    let habits = Habits { submit_to: class.one_node.then_some(0), ..HABITS };
    let mut job = first;
    while world.clock.now() < end {
        let shape = JobRequirements {
            team: class.team.into(),
            class: class.name.into(),
            tasks: rng.random_range(TASKS),
            cpus: CPUS[rng.random_range(0..CPUS.len())],
            spot: true,
            zone: None,
            service: false,
        };
        let run_ms = rng.random_range(RUN_MS);
        let request = JobRequest { shape, priority: class.priority, run_ms };
        world.users.submit(job, &request, habits, rng.random());
        job += 1;
        let pause = rng.random_range(0.0..2.0) / per_s;
        tokio::time::sleep(Duration::from_secs_f64(pause)).await;
    }
}

#[derive(Default)]
struct JobSeen {
    submitted: Ms,
    accepted: bool,
    refused: bool,
    begun: Option<Ms>,
}

fn by_class(events: &[Event], begin: Ms, run_ms: Ms) -> Vec<ClassFigures> {
    let windows = (run_ms / WINDOW_MS).max(1) as usize;
    let mut shapes: HashMap<u64, &JobRequirements> = HashMap::new();
    let mut jobs: BTreeMap<u64, JobSeen> = BTreeMap::new();
    let mut on: HashMap<(u64, u32, u64), Ms> = HashMap::new();
    let mut done: HashMap<&str, Vec<f64>> = HashMap::new();
    for event in events.iter().filter(|event| event.at_ms >= begin) {
        let at = event.at_ms;
        match &event.kind {
            EventKind::SubmissionStarted { job, requirements: shape } => {
                shapes.insert(*job, shape);
                jobs.insert(*job, JobSeen { submitted: at, ..JobSeen::default() });
            }
            EventKind::ResponseReceived {
                job,
                request: UserRequest::Submit,
                status: Some(status),
                ..
            } => {
                let Some(seen) = jobs.get_mut(job) else { continue };
                seen.accepted |= matches!(status, 200 | 201);
                seen.refused |= *status == 503;
            }
            EventKind::TaskStarted(attempt) => {
                on.insert((attempt.job, attempt.task, attempt.attempt), at);
                if let Some(seen) = jobs.get_mut(&attempt.job) {
                    seen.begun.get_or_insert(at);
                }
            }
            EventKind::TaskEnded { attempt, reason: TaskEndReason::Completed } => {
                let key = (attempt.job, attempt.task, attempt.attempt);
                let (Some(since), Some(shape)) = (on.remove(&key), shapes.get(&attempt.job)) else {
                    continue;
                };
                let windows = done.entry(&shape.class).or_insert_with(|| vec![0.0; windows]);
                let window = ((at - begin) / WINDOW_MS) as usize;
                if let Some(cpu_s) = windows.get_mut(window) {
                    *cpu_s += shape.cpus * (at - since) as f64 / 1000.0;
                }
            }
            _ => {}
        }
    }
    let done_of = |class: &str| done.get(class).cloned().unwrap_or_else(|| vec![0.0; windows]);
    let figures = |class: &Class| {
        let own = jobs.iter().filter(|(job, _)| shapes[job].class == class.name);
        let own: Vec<&JobSeen> = own.map(|(_, seen)| seen).collect();
        let waits = own.iter().filter_map(|seen| Some(seen.begun? - seen.submitted));
        let of_team = CLASSES.iter().filter(|other| other.team == class.team);
        let of_team: Vec<Vec<f64>> = of_team.map(|other| done_of(other.name)).collect();
        let done = done_of(class.name);
        let share = |window: usize| {
            let team: f64 = of_team.iter().map(|done| done[window]).sum();
            done[window] / team.max(1.0)
        };
        ClassFigures {
            class: class.name,
            jobs: own.len(),
            accepted: own.iter().filter(|seen| seen.accepted).count(),
            refused: own.iter().filter(|seen| seen.refused).count(),
            waits: DurationSummary::of(waits),
            least_share: (0..windows).map(share).fold(1.0, f64::min),
            done,
        }
    };
    CLASSES.iter().map(figures).collect()
}

fn returns(events: &[Event]) -> Returns {
    let mut refused: HashMap<u64, ()> = HashMap::new();
    let mut found = Returns::default();
    for event in events {
        let EventKind::ResponseReceived {
            job,
            request: UserRequest::Submit,
            status: Some(status),
            ..
        } = &event.kind
        else {
            continue;
        };
        if refused.remove(job).is_some() {
            found.returns += 1;
            found.accepted += usize::from(matches!(status, 200 | 201));
        }
        if *status == 503 {
            refused.insert(*job, ());
        }
    }
    found
}
