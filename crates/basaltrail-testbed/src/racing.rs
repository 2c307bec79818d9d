//! The load `racing`: a thousand submissions in one instant to all controllers, while one team
//! stays within its guarantee. Teams' use is judged from the workers' side at every instant.

use crate::checker::{find_violations, RunBounds, Violation};
use crate::clock::Ms;
use crate::deployment::{Deployment, Team};
use crate::history::{self, JobRequirements};
use crate::metrics::{self, GuaranteedWaits, SubmissionMetrics, TeamUsage};
use crate::request::JobRequest;
use crate::serve::all_ready;
use crate::users::{Habits, Users};
use crate::world::{Operators, RunError, Setup, World};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

/// How long controllers may take to become ready, and the first jobs to end.
const START_MS: Ms = 30_000;
/// Jobs of the race run so long.
const RUN_MS: std::ops::Range<Ms> = 500..3_000;
/// The team within its guarantee submits a job so often, each of so many CPUs.
const GUARANTEED_EVERY_MS: Ms = 1_500;
const GUARANTEED_TASKS: u32 = 4;
/// It goes on for so long from the race's instant.
const GUARANTEED_MS: Ms = 30_000;
/// The race is followed for so long at the most.
const RACE_MS: Ms = 240_000;
/// CPUs of a task of the jobs that warm up.
const WARM_UP_CPUS: f64 = 2.0;
/// The first number of the jobs that warm up, of the race's, and of those within the guarantee.
const WARM_UP_JOBS: u64 = 500;
const RACE_JOBS: u64 = 1_000;
const GUARANTEED_JOBS: u64 = 100_000;

/// The teams: guaranteed and most CPUs as parts of the fleet. The last stays in its guarantee.
const TEAMS: [(&str, f64, f64); 3] =
    [("imports", 0.3, 0.45), ("archive", 0.1, 0.25), ("reports", 0.25, 0.5)];

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
    /// SubmissionMetrics in the one instant.
    pub jobs: u64,
    /// Where histories, settings and logs go: a directory for each seed.
    pub directory: PathBuf,
}

/// EventKind a race showed.
#[derive(Debug, Serialize)]
pub struct Outcome {
    /// The seed.
    pub seed: u64,
    /// Controllers.
    pub nodes: usize,
    /// How submissions were answered.
    pub submissions: SubmissionMetrics,
    /// EventKind each team used.
    pub teams: Vec<TeamUsage>,
    /// How long the jobs within their guarantee waited.
    pub guaranteed: GuaranteedWaits,
    /// Requests to the state service for each accepted job.
    pub requests_per_job: f64,
    /// Changes at the state service for each accepted job.
    pub changes_per_job: f64,
    /// Jobs that were told to be over.
    pub over: usize,
    /// Rules that were broken.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
}

impl Plan {
    fn deployment(&self) -> Deployment {
        let deployment = Deployment::new(self.nodes, self.machines);
        let cpus = deployment.cpus();
        let team = |(name, guaranteed, most): (&'static str, f64, f64)| Team {
            name,
            cpus: (cpus * guaranteed).floor(),
            cpus_max: (cpus * most).floor(),
        };
        Deployment { teams: TEAMS.map(team).to_vec(), ..deployment }
    }
}

/// Plays one seed.
///
/// # Errors
///
/// If the stand-ins or the controllers cannot be started, or files not be written.
pub async fn run(plan: &Plan, seed: u64) -> Result<Outcome, RunError> {
    let directory = plan.directory.join(format!("racing-{}-{seed}", plan.nodes));
    let deployment = plan.deployment();
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
    let before = world.state.served();
    let begin = world.clock.now();
    for job in 0..plan.jobs {
        let request = draw_racing(&mut rng);
        world.users.submit(RACE_JOBS + job, &request, RACE_HABITS, rng.random());
    }
    tokio::spawn(submit_guaranteed(world.users.clone(), begin + GUARANTEED_MS, rng.random()));
    wait_until_over(&world, begin + GUARANTEED_MS, begin + RACE_MS).await;
    let served = world.state.served();
    let end = world.clock.now();
    world.end().await;
    let events = world.history.events();
    history::write(&directory.join("history.jsonl"), &events)?;
    let submissions = metrics::submissions(&events);
    let per_job = |count: u64| count as f64 / submissions.accepted.max(1) as f64;
    let bounds = RunBounds { deployment: &world.deployment, faults_end: begin, end };
    Ok(Outcome {
        seed,
        nodes: plan.nodes,
        submissions,
        teams: metrics::team_usage(&events, &world.deployment),
        guaranteed: metrics::guaranteed_waits(&events, &world.deployment, begin + GUARANTEED_MS),
        requests_per_job: per_job(served.requests - before.requests),
        changes_per_job: per_job(served.changes - before.changes),
        over: world.users.over_count(),
        violations: find_violations(&events, &bounds),
    })
}

const RACE_HABITS: Habits = Habits { cancel_share: 0.0, repeat_share: 0.05, submit_to: None };

/// Waits until the controllers are ready and have rented machines. They do so only where there is
/// work: each team gets a job that fills its guarantee, which is waited for.
pub(crate) async fn warm_up(world: &World) -> Result<(), RunError> {
    if !all_ready(world, START_MS).await {
        return Err(std::io::Error::other("a controller is not ready").into());
    }
    for (number, team) in world.deployment.teams.iter().enumerate() {
        let shape = JobRequirements {
            team: team.name.into(),
            class: "array".into(),
            tasks: (team.cpus / WARM_UP_CPUS) as u32,
            cpus: WARM_UP_CPUS,
            spot: true,
            zone: None,
            service: false,
        };
        let request = JobRequest { shape, priority: "standard", run_ms: RUN_MS.end };
        world.users.submit(WARM_UP_JOBS + number as u64, &request, RACE_HABITS, number as u64);
    }
    let until = world.clock.now() + START_MS;
    while world.users.unfinished() > 0 && world.clock.now() < until {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Ok(())
}

/// Waits until every job is over, or its time is.
async fn wait_until_over(world: &World, least: Ms, most: Ms) {
    while world.clock.now() < most {
        tokio::time::sleep(Duration::from_millis(100)).await;
        if world.clock.now() >= least && world.users.unfinished() == 0 {
            return;
        }
    }
}

fn draw_racing(rng: &mut SmallRng) -> JobRequest {
    let team = TEAMS[rng.random_range(0..2)].0;
    let shape = JobRequirements {
        team: team.into(),
        class: "array".into(),
        tasks: rng.random_range(1..=4),
        cpus: [1.0, 2.0, 4.0][rng.random_range(0..3)],
        spot: true,
        zone: None,
        service: false,
    };
    JobRequest { shape, priority: "standard", run_ms: rng.random_range(RUN_MS) }
}

async fn submit_guaranteed(users: Arc<Users>, until: Ms, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut job = GUARANTEED_JOBS;
    while users.clock.now() < until && !users.over.load(Ordering::Relaxed) {
        let shape = JobRequirements {
            team: TEAMS[2].0.into(),
            class: "array".into(),
            tasks: GUARANTEED_TASKS,
            cpus: 2.0,
            spot: true,
            zone: None,
            service: false,
        };
        let request = JobRequest { shape, priority: "standard", run_ms: rng.random_range(RUN_MS) };
        users.submit(job, &request, RACE_HABITS, rng.random());
        job += 1;
        tokio::time::sleep(Duration::from_millis(GUARANTEED_EVERY_MS)).await;
    }
}
