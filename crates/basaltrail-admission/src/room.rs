//! Room for submissions.

/// So many jobs, and so many CPU-seconds of work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Room {
    /// Jobs.
    pub jobs: u32,
    /// CPU-seconds.
    pub work: f64,
}

impl Room {
    /// Whether one more job is admitted. The work of the last one may be more than what is left:
    /// otherwise a job larger than a controller's allotment could never be admitted.
    pub fn is_open(self) -> bool {
        self.jobs >= 1 && self.work > 0.0
    }

    /// Both together.
    pub fn plus(self, other: Room) -> Room {
        Room { jobs: self.jobs.saturating_add(other.jobs), work: self.work + other.work }
    }

    /// What is left without the other; never less than nothing.
    pub fn minus(self, other: Room) -> Room {
        Room { jobs: self.jobs.saturating_sub(other.jobs), work: (self.work - other.work).max(0.0) }
    }

    /// The larger of each.
    pub fn max(self, other: Room) -> Room {
        Room { jobs: self.jobs.max(other.jobs), work: self.work.max(other.work) }
    }

    /// The smaller of each.
    pub fn min(self, other: Room) -> Room {
        Room { jobs: self.jobs.min(other.jobs), work: self.work.min(other.work) }
    }

    /// A part of it, rounded down to whole jobs.
    pub fn part(self, share: f64) -> Room {
        Room { jobs: (f64::from(self.jobs) * share) as u32, work: self.work * share }
    }
}
