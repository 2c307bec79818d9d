//! The unit in which backlogs and quotas are counted.

/// A number of jobs and an amount of work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkAmount {
    /// Number of jobs.
    pub jobs: u32,
    /// Work, in CPU-seconds.
    pub work: f64,
}

impl WorkAmount {
    /// Returns whether one more job may be admitted within this amount. The work of the job may
    /// exceed the amount; otherwise a job larger than a controller's quota could never be admitted.
    pub fn admits_job(self) -> bool {
        self.jobs >= 1 && self.work > 0.0
    }

    /// Returns the sum of both amounts.
    pub fn plus(self, other: WorkAmount) -> WorkAmount {
        WorkAmount { jobs: self.jobs.saturating_add(other.jobs), work: self.work + other.work }
    }

    /// Returns the difference of both amounts, at least zero in each component.
    pub fn minus(self, other: WorkAmount) -> WorkAmount {
        WorkAmount {
            jobs: self.jobs.saturating_sub(other.jobs),
            work: (self.work - other.work).max(0.0),
        }
    }

    /// Returns the maximum of both amounts in each component.
    pub fn max(self, other: WorkAmount) -> WorkAmount {
        WorkAmount { jobs: self.jobs.max(other.jobs), work: self.work.max(other.work) }
    }

    /// Returns the minimum of both amounts in each component.
    pub fn min(self, other: WorkAmount) -> WorkAmount {
        WorkAmount { jobs: self.jobs.min(other.jobs), work: self.work.min(other.work) }
    }

    /// Returns this amount multiplied by a factor, rounded down to whole jobs.
    pub fn scaled(self, factor: f64) -> WorkAmount {
        WorkAmount { jobs: (f64::from(self.jobs) * factor) as u32, work: self.work * factor }
    }
}
