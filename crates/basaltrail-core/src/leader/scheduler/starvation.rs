//! Jobs of which nothing has run for long.

use crate::leader::cluster::Cluster;
use crate::leader::Context;
use crate::model::{JobId, Ms};

/// Workers' leases after which a job of which nothing runs counts as starved.
const STARVED_LEASES: Ms = 4;

/// The starved jobs, the longest first. Also notes since when nothing of each job runs.
pub(in crate::leader) fn starved_jobs(ctx: &Context, cluster: &mut Cluster) -> Vec<JobId> {
    let patience = ctx.cfg.lease_ms * STARVED_LEASES;
    let mut starved = Vec::new();
    for job in cluster.jobs.values_mut() {
        let nothing_runs = job.ended.is_none() && job.pending() > 0 && job.placed.is_empty();
        job.unplaced_since = nothing_runs.then(|| job.unplaced_since.unwrap_or(ctx.now));
        if let Some(since) = job.unplaced_since.filter(|since| ctx.now > since + patience) {
            starved.push((since, job.id));
        }
    }
    starved.sort();
    starved.into_iter().map(|(_, id)| id).collect()
}
