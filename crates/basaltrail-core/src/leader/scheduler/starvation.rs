//! Detection of starved jobs, which have had no placed task for a long time.

use crate::leader::cluster::Cluster;
use crate::leader::Context;
use crate::model::{JobId, Ms};

/// Time without a placed task after which a job counts as starved, in worker leases.
const STARVED_LEASES: Ms = 4;

/// Updates the time since which each job has had no placed task, and returns the starved jobs, the
/// longest wait first.
pub(in crate::leader) fn update_starved_jobs(ctx: &Context, cluster: &mut Cluster) -> Vec<JobId> {
    let max_wait_ms = ctx.cfg.worker_lease_ms * STARVED_LEASES;
    let mut starved = Vec::new();
    for job in cluster.jobs.values_mut() {
        let is_unplaced = job.outcome.is_none() && job.pending_tasks() > 0 && job.placed.is_empty();
        job.unplaced_since = is_unplaced.then(|| job.unplaced_since.unwrap_or(ctx.now));
        if let Some(since) = job.unplaced_since.filter(|since| ctx.now > since + max_wait_ms) {
            starved.push((since, job.id));
        }
    }
    starved.sort();
    starved.into_iter().map(|(_, id)| id).collect()
}
