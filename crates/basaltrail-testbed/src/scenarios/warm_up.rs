//! The first phase of a load test: waits for the controllers and makes them provision
//! machines.

use super::START_TIMEOUT_MS;
use crate::clock::Ms;
use crate::history::JobRequirements;
use crate::job_request::JobRequest;
use crate::testbed::{RunError, Testbed};
use crate::users::UserBehavior;
use std::time::Duration;

/// Number of the first job.
const FIRST_JOB: u64 = 500;
/// CPUs per task.
const TASK_CPUS: f64 = 2.0;
/// Run time of a task, in milliseconds.
const RUN_MS: Ms = 3_000;
/// Maximum time to wait for the jobs, in milliseconds.
const TIMEOUT_MS: Ms = 30_000;
/// Interval of the checks for unfinished jobs.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
const BEHAVIOR: UserBehavior =
    UserBehavior { cancel_share: 0.0, resubmit_share: 0.05, submission_controller: None };

/// Waits until the controllers are ready, and makes them provision machines. Controllers provision
/// machines only for pending work, so each team submits a job that fills its guarantee.
///
/// # Errors
///
/// Fails if a controller does not become ready in time.
pub(super) async fn warm_up(testbed: &Testbed) -> Result<(), RunError> {
    testbed.wait_until_ready(START_TIMEOUT_MS).await?;
    for (index, team) in testbed.deployment.teams.iter().enumerate() {
        let tasks = (team.guaranteed_cpus / TASK_CPUS) as u32;
        let requirements = JobRequirements::array(team.name, tasks, TASK_CPUS);
        let request = JobRequest { requirements, priority: "standard", run_ms: RUN_MS };
        let index = index as u64;
        testbed.users.submit(FIRST_JOB + index, &request, BEHAVIOR, index);
    }
    let deadline = testbed.clock.now() + TIMEOUT_MS;
    while testbed.users.unfinished_count() > 0 && testbed.clock.now() < deadline {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    Ok(())
}
