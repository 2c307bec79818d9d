//! Amounts of work, in which backlogs and quotas are counted.

/// So many jobs, and so many CPU-seconds of work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkAmount {
    /// Jobs.
    pub jobs: u32,
    /// CPU-seconds.
    pub work: f64,
}

impl WorkAmount {
    /// Whether one more job is admitted out of this amount. The job's work may be more than what
    /// is left: otherwise a job larger than a controller's quota could never be admitted.
    pub fn admits_job(self) -> bool {
        self.jobs >= 1 && self.work > 0.0
    }

    /// Both together.
    pub fn plus(self, other: WorkAmount) -> WorkAmount {
        WorkAmount { jobs: self.jobs.saturating_add(other.jobs), work: self.work + other.work }
    }

    /// What is left without the other; never less than nothing.
    pub fn minus(self, other: WorkAmount) -> WorkAmount {
        WorkAmount {
            jobs: self.jobs.saturating_sub(other.jobs),
            work: (self.work - other.work).max(0.0),
        }
    }

    /// The larger of each.
    pub fn max(self, other: WorkAmount) -> WorkAmount {
        WorkAmount { jobs: self.jobs.max(other.jobs), work: self.work.max(other.work) }
    }

    /// The smaller of each.
    pub fn min(self, other: WorkAmount) -> WorkAmount {
        WorkAmount { jobs: self.jobs.min(other.jobs), work: self.work.min(other.work) }
    }

    /// A part of it, rounded down to whole jobs.
    pub fn scaled(self, part: f64) -> WorkAmount {
        WorkAmount { jobs: (f64::from(self.jobs) * part) as u32, work: self.work * part }
    }
}
