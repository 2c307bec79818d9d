//! A soak: controllers of the real program against all stand-ins, with faults at seeded random
//! moments, and the verdict on what users and workers saw.

use crate::checker::{explain, find_violations, RunBounds, Violation, RECOVERY_MS};
use crate::clock::Ms;
use crate::deployment::Deployment;
use crate::faults::{self, FaultKind};
use crate::history::{self, EventKind};
use crate::users::{self, Told};
use crate::world::{Operators, RunError, Setup, World};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The part of a run in which faults come; the rest is for all to end.
const FAULTS_PART: f64 = 0.65;

/// EventKind to run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The controllers' program.
    pub program: PathBuf,
    /// EventKind the controllers' operators set.
    pub operators: Operators,
    /// The deployment.
    pub deployment: Deployment,
    /// Kinds of faults that may come.
    pub faults: Vec<FaultKind>,
    /// How long a run lasts.
    pub run_ms: Ms,
    /// Where histories, settings and logs go: a directory for each seed.
    pub directory: PathBuf,
}

/// EventKind a run showed.
#[derive(Debug)]
pub struct Outcome {
    /// Rules that were broken, by time.
    pub violations: Vec<Violation>,
    /// How each was broken: the events of its job and machine.
    pub accounts: Vec<Vec<String>>,
    /// Kinds of faults that could not be carried out here, and why.
    pub not_run: BTreeMap<FaultKind, String>,
    /// Jobs, and how many of them were told to be over.
    pub jobs: usize,
    /// See `jobs`.
    pub over: usize,
    /// Tasks that were on machines.
    pub tasks: usize,
    /// The highest token: how many leaderships there were.
    pub leaderships: u64,
    /// Faults that were carried out.
    pub faults: usize,
    /// The history, as JSON lines.
    pub history: PathBuf,
}

/// Plays one seed.
///
/// # Errors
///
/// If the stand-ins or the controllers cannot be started, or files not be written.
pub async fn run(plan: &Plan, seed: u64, progress: impl Fn(&World)) -> Result<Outcome, RunError> {
    let directory = plan.directory.join(format!("seed-{seed}"));
    let mut rng = SmallRng::seed_from_u64(seed);
    let setup = Setup {
        program: &plan.program,
        operators: &plan.operators,
        deployment: &plan.deployment,
        directory: &directory,
        first_port: None,
        seed,
    };
    let world = World::start(&setup, rng.random()).await?;
    let begin = world.clock.now();
    let faults_end = begin + (plan.run_ms as f64 * FAULTS_PART) as Ms;
    let end = begin + plan.run_ms;
    tokio::spawn(users::submit_jobs(world.users.clone(), faults_end, rng.random()));
    tokio::spawn(users::ask_for_strangers(world.users.clone(), rng.random()));
    let fault_rng = SmallRng::seed_from_u64(rng.random());
    // Machines and jobs are there before the first fault.
    let faults = tokio::spawn({
        let (world, kinds) = (world.clone(), plan.faults.clone());
        async move {
            world.clock.sleep_until(begin + 6_000).await;
            faults::play(world, kinds, faults_end, fault_rng).await
        }
    });
    while !faults.is_finished() {
        progress(&world);
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    let not_run = faults.await.unwrap_or_default();
    // Faults that last are over after this.
    let longest = world.deployment.cancel_ms + world.deployment.lease_ms;
    let faults_end = world.clock.now() + longest;
    settle(&world, faults_end, end, &progress).await;
    finish(&world, directory, faults_end, not_run).await
}

/// Waits until every job is over, or its time is and each was spoken of.
async fn settle(world: &World, faults_end: Ms, end: Ms, progress: &impl Fn(&World)) {
    let latest = end.max(faults_end + RECOVERY_MS);
    while world.clock.now() < latest {
        progress(world);
        let seen = world.users.seen();
        let accepted = seen.values().filter(|seen| seen.told == Told::Accepted);
        let (mut live, mut silent) = (0, 0);
        for seen in accepted {
            live += 1;
            silent += usize::from(seen.answered < faults_end);
        }
        let enough = world.clock.now() >= end && silent == 0;
        if live == 0 || enough {
            return;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

async fn finish(
    world: &World,
    directory: PathBuf,
    faults_end: Ms,
    not_run: BTreeMap<FaultKind, String>,
) -> Result<Outcome, RunError> {
    let end = world.clock.now();
    world.end().await;
    for (controller, line) in world.controllers.faults()? {
        world.history.record(end, EventKind::ControllerFaultLogged { controller, line });
    }
    let events = world.history.events();
    let path = directory.join("history.jsonl");
    history::write(&path, &events)?;
    let bounds = RunBounds { deployment: &world.deployment, faults_end, end };
    let violations = find_violations(&events, &bounds);
    let accounts = violations.iter().map(|violation| explain(&events, violation)).collect();
    let seen = world.users.seen();
    let count = |is: fn(&EventKind) -> bool| events.iter().filter(|event| is(&event.kind)).count();
    Ok(Outcome {
        violations,
        accounts,
        not_run,
        jobs: seen.len(),
        over: seen.values().filter(|seen| seen.told == Told::Over).count(),
        tasks: count(|what| matches!(what, EventKind::TaskStarted(_))),
        leaderships: world.fleet.token.load(Ordering::Relaxed),
        faults: count(|what| matches!(what, EventKind::FaultInjected { .. })),
        history: path,
    })
}
