//! The autoscaler of a leader: how many machines there are, of which kinds, and in which zones.

pub mod inventory;
pub mod provisioning;
pub mod provisioning_time;
pub mod scale_in;
pub mod scale_out;
