//! A soak: controllers of the real program against all stand-ins, with faults at seeded random
//! instants, and the checker's verdict on what users and workers observed.

use super::{check_history, CheckedHistory, ScenarioConfig};
use crate::checker::{explain, Violation, RECOVERY_MS};
use crate::clock::Ms;
use crate::controllers::ControllerError;
use crate::faults::{inject_faults, FaultKind};
use crate::history::EventKind;
use crate::testbed::{RunError, Testbed};
use crate::users::{self, JobProgress};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// The share of a run in which faults are injected; in the rest all jobs can finish.
const FAULTS_SHARE: f64 = 0.65;
/// The time before the first fault, in which machines are rented and jobs submitted.
const FIRST_FAULT_MS: Ms = 6_000;
/// How often the progress is shown and the end is looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Faults that were asked for and could not be injected, with the first error of each kind.
type FailedFaults = BTreeMap<FaultKind, ControllerError>;

/// Configuration of a soak.
#[derive(Clone, Debug)]
pub struct SoakConfig {
    /// What all scenarios are configured with; each seed gets a directory of its own.
    pub common: ScenarioConfig,
    /// Kinds of faults that may be injected.
    pub faults: Vec<FaultKind>,
    /// Duration of a run, in milliseconds.
    pub duration_ms: Ms,
}

/// Result of a soak.
#[derive(Debug)]
pub struct SoakOutcome {
    /// Rules that were violated, ordered by time.
    pub violations: Vec<Violation>,
    /// The events that explain each violation, one line each.
    pub explanations: Vec<Vec<String>>,
    /// Kinds of faults that could not be injected here, and why.
    pub failed_faults: BTreeMap<FaultKind, ControllerError>,
    /// Number of jobs.
    pub jobs: usize,
    /// Number of finished jobs.
    pub finished: usize,
    /// Number of task starts.
    pub tasks: usize,
    /// Number of leader terms: the highest fencing token.
    pub leader_terms: u64,
    /// Number of faults that were injected.
    pub faults: usize,
    /// The file of the history (JSON lines).
    pub history: PathBuf,
}

/// Runs one seed; `progress` is called a few times a second.
///
/// # Errors
///
/// If the testbed cannot be started or a file cannot be written.
pub async fn run(
    config: &SoakConfig,
    seed: u64,
    progress: impl Fn(&Testbed),
) -> Result<SoakOutcome, RunError> {
    let common = &config.common;
    let directory = common.directory.join(format!("seed-{seed}"));
    let (testbed, mut rng) = common.start_testbed(&common.deployment(), &directory, seed).await?;
    let start = testbed.clock.now();
    let submissions_end = start + (config.duration_ms as f64 * FAULTS_SHARE) as Ms;
    let end = start + config.duration_ms;
    tokio::spawn(users::submit_jobs(testbed.users.clone(), submissions_end, rng.random()));
    tokio::spawn(users::query_unknown_jobs(testbed.users.clone(), rng.random()));
    let fault_rng = SmallRng::seed_from_u64(rng.random());
    let faults =
        start_faults(testbed.clone(), config.faults.clone(), start, submissions_end, fault_rng);
    while !faults.is_finished() {
        progress(&testbed);
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    let failed_faults = faults.await.unwrap_or_default();
    // The effects of the last fault end within this.
    let longest_ms = testbed.deployment.cancel_ms + testbed.deployment.lease_ms;
    let faults_end = testbed.clock.now() + longest_ms;
    wait_for_recovery(&testbed, faults_end, end, &progress).await;
    finish(&testbed, &directory, faults_end, failed_faults).await
}

fn start_faults(
    testbed: Arc<Testbed>,
    kinds: Vec<FaultKind>,
    start: Ms,
    end: Ms,
    rng: SmallRng,
) -> JoinHandle<FailedFaults> {
    tokio::spawn(async move {
        testbed.clock.sleep_until(start + FIRST_FAULT_MS).await;
        inject_faults(testbed, kinds, end, rng).await
    })
}

/// Waits until every job is finished. At `end` it stops waiting as soon as each job was reported
/// since the faults, and in any case after PROTOCOL's time for that.
async fn wait_for_recovery(
    testbed: &Testbed,
    faults_end: Ms,
    end: Ms,
    progress: &impl Fn(&Testbed),
) {
    let latest = end.max(faults_end + RECOVERY_MS);
    while testbed.clock.now() < latest {
        progress(testbed);
        let jobs = testbed.users.jobs();
        let live = jobs.values().filter(|job| job.progress == JobProgress::Accepted);
        let live: Vec<_> = live.collect();
        let all_reported = live.iter().all(|job| job.updated_ms >= faults_end);
        if live.is_empty() || (testbed.clock.now() >= end && all_reported) {
            return;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

async fn finish(
    testbed: &Testbed,
    directory: &Path,
    faults_end: Ms,
    failed_faults: FailedFaults,
) -> Result<SoakOutcome, RunError> {
    let end = testbed.clock.now();
    testbed.stop().await;
    for (controller, line) in testbed.controllers.logged_faults()? {
        testbed.history.record(end, EventKind::ControllerFaultLogged { controller, line });
    }
    let checked = check_history(testbed, directory, faults_end, end)?;
    let CheckedHistory { events, violations, path } = checked;
    let explanations = violations.iter().map(|violation| explain(&events, violation)).collect();
    let count = |is_counted: fn(&EventKind) -> bool| {
        events.iter().filter(|event| is_counted(&event.kind)).count()
    };
    Ok(SoakOutcome {
        explanations,
        violations,
        failed_faults,
        jobs: testbed.users.jobs().len(),
        finished: testbed.users.finished_count(),
        tasks: count(|kind| matches!(kind, EventKind::TaskStarted(_))),
        leader_terms: testbed.fleet.highest_token(),
        faults: count(|kind| matches!(kind, EventKind::FaultInjected { .. })),
        history: path,
    })
}
