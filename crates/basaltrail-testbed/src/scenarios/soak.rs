//! The soak test: runs controllers of the real program against all stand-ins, injects faults at
//! seeded random times, and checks the history of the run.

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

/// Fraction of a run during which jobs are submitted and faults are injected. The rest lets all
/// jobs finish.
const FAULT_PHASE_SHARE: f64 = 0.65;
/// Time before the first fault, in which machines are provisioned and the first jobs are submitted,
/// in milliseconds.
const FIRST_FAULT_DELAY_MS: Ms = 6_000;
/// Interval of the progress reports and of the checks for the end of the run.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Kinds of requested faults that could not be injected, with the first error of each.
type FailedFaults = BTreeMap<FaultKind, ControllerError>;

/// Configuration of a soak test.
#[derive(Clone, Debug)]
pub struct SoakConfig {
    /// Options common to all scenarios; each seed writes to its own subdirectory.
    pub common: ScenarioConfig,
    /// Kinds of faults to inject.
    pub faults: Vec<FaultKind>,
    /// Duration of a run, in milliseconds.
    pub duration_ms: Ms,
}

/// Outcome of a soak test.
#[derive(Debug)]
pub struct SoakOutcome {
    /// Violations of rules, ordered by time.
    pub violations: Vec<Violation>,
    /// For each violation, the events that explain it, one line each.
    pub explanations: Vec<Vec<String>>,
    /// Kinds of faults that could not be injected, with the first error of each.
    pub failed_faults: BTreeMap<FaultKind, ControllerError>,
    /// Number of jobs.
    pub jobs: usize,
    /// Number of finished jobs.
    pub finished: usize,
    /// Number of task starts.
    pub tasks: usize,
    /// Number of leader terms, which equals the highest fencing token.
    pub leader_terms: u64,
    /// Number of injected faults.
    pub faults: usize,
    /// Path of the history file (JSON lines).
    pub history: PathBuf,
}

/// Runs the scenario with one seed, and calls `progress` a few times per second.
///
/// # Errors
///
/// Fails if the testbed cannot be started or a file cannot be written.
pub async fn run(
    config: &SoakConfig,
    seed: u64,
    progress: impl Fn(&Testbed),
) -> Result<SoakOutcome, RunError> {
    let common = &config.common;
    let directory = common.directory.join(format!("seed-{seed}"));
    let (testbed, mut rng) = common.start_testbed(&common.deployment(), &directory, seed).await?;
    let start = testbed.clock.now();
    let submissions_end = start + (config.duration_ms as f64 * FAULT_PHASE_SHARE) as Ms;
    let end = start + config.duration_ms;
    tokio::spawn(users::submit_jobs(testbed.users.clone(), submissions_end, rng.random()));
    tokio::spawn(users::query_unknown_jobs(testbed.users.clone(), rng.random()));
    let fault_rng = SmallRng::seed_from_u64(rng.random());
    let faults = spawn_fault_injection(
        testbed.clone(),
        config.faults.clone(),
        start,
        submissions_end,
        fault_rng,
    );
    while !faults.is_finished() {
        progress(&testbed);
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    let failed_faults = faults.await.unwrap_or_default();
    // The effects of the last fault end within this time.
    let max_effect_ms = testbed.deployment.max_cancellation_ms + testbed.deployment.worker_lease_ms;
    let faults_end = testbed.clock.now() + max_effect_ms;
    wait_for_recovery(&testbed, faults_end, end, &progress).await;
    stop_and_check(&testbed, &directory, faults_end, failed_faults).await
}

fn spawn_fault_injection(
    testbed: Arc<Testbed>,
    kinds: Vec<FaultKind>,
    start: Ms,
    end: Ms,
    rng: SmallRng,
) -> JoinHandle<FailedFaults> {
    tokio::spawn(async move {
        testbed.clock.sleep_until(start + FIRST_FAULT_DELAY_MS).await;
        inject_faults(testbed, kinds, end, rng).await
    })
}

/// Waits until every accepted job is finished. After `end` it suffices that the progress of each
/// unfinished job was reported since `faults_end`. Stops waiting in any case at `end` or at the end
/// of PROTOCOL's recovery time, which begins at `faults_end`, whichever is later.
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

async fn stop_and_check(
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
