//! Which jobs can still be in time, when more is asked than can be done.
//!
//! By dates alone an overload makes every job a little late. Taken by their dates, jobs
//! whose tasks cannot all be begun in time give up the largest among them (Moore and
//! Hodgson's rule for the least number of late jobs), which then tries its next date.

use crate::model::JobId;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// A job that may be in time.
#[derive(Clone, Debug)]
pub struct Candidate {
    pub job: JobId,
    /// CPUs of its tasks that wait to be begun.
    pub need: f64,
    /// Seconds until its last task must have begun, by objective, the nearest last.
    pub spares: Vec<f64>,
}

struct Next(f64, Candidate);

impl Ord for Next {
    fn cmp(&self, o: &Self) -> Ordering {
        o.0.total_cmp(&self.0).then(o.1.job.cmp(&self.1.job))
    }
}
impl PartialOrd for Next {
    fn partial_cmp(&self, o: &Self) -> Option<Ordering> {
        Some(self.cmp(o))
    }
}
impl PartialEq for Next {
    fn eq(&self, o: &Self) -> bool {
        self.cmp(o) == Ordering::Equal
    }
}
impl Eq for Next {}

/// The jobs in reach with the seconds each can lose, if `at_once` CPUs can be begun now
/// and `per_s` more in every second.
pub fn in_reach(candidates: Vec<Candidate>, at_once: f64, per_s: f64) -> Vec<(JobId, f64)> {
    let next = |mut c: Candidate| c.spares.pop().map(|s| Next(s, c));
    let mut open: BinaryHeap<Next> = candidates.into_iter().filter_map(next).collect();
    let mut kept: Vec<(f64, Candidate)> = Vec::new();
    let mut begun = 0.0;
    while let Some(Next(spare, c)) = open.pop() {
        begun += c.need;
        kept.push((spare, c));
        while begun > at_once + per_s * spare.max(0.0) + 1e-9 {
            let largest = (0..kept.len()).max_by(|a, b| {
                let (a, b) = (&kept[*a], &kept[*b]);
                a.1.need.total_cmp(&b.1.need).then(b.1.job.cmp(&a.1.job))
            });
            let Some(largest) = largest.filter(|l| kept[*l].1.need > 0.0) else { break };
            let (_, out) = kept.swap_remove(largest);
            begun -= out.need;
            open.extend(next(out));
        }
    }
    kept.into_iter().map(|(spare, c)| (c.job, spare)).collect()
}

#[cfg(test)]
#[path = "deadline_feasibility_tests.rs"]
mod tests;
