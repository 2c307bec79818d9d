//! The autoscaler of a leader: how many machines there are, of which kinds, and in which zones.

pub mod inventory;
pub mod provisioning;
pub mod provisioning_time;
pub mod returned;
pub mod scale_in;
pub mod scale_out;

use crate::model::Ms;
use crate::settings::Settings;
use provisioning::Provisioning;
use returned::ReturnedMachines;
use std::collections::BTreeMap;

/// The state of the autoscaler.
pub struct Autoscaler {
    /// Requests to the cloud and what is known of its answers.
    pub(in crate::leader) rental: Provisioning,
    /// Machines returned of late.
    pub(in crate::leader) returned: ReturnedMachines,
    /// Since when there are more machines than work pays for.
    pub(in crate::leader) surplus_since: Option<Ms>,
    /// Machines that work of late could use, fading; nothing is known at first.
    pub(in crate::leader) peak: f64,
    /// When the peak was last taken.
    pub(in crate::leader) peak_at: Ms,
    /// The zone with the most machines.
    pub(in crate::leader) primary_zone: Option<String>,
    /// Zones that were cut off of late, and until when they count as such.
    pub(in crate::leader) cut_until: BTreeMap<String, Ms>,
}

impl Autoscaler {
    /// As of the election.
    pub fn new(settings: &Settings, now: Ms) -> Self {
        Autoscaler {
            rental: Provisioning::default(),
            returned: ReturnedMachines::new(settings),
            surplus_since: None,
            peak: f64::MAX,
            peak_at: now,
            primary_zone: None,
            cut_until: BTreeMap::new(),
        }
    }
}
