//! What a new leader recovers from its predecessor, and how heartbeats are reconciled with it.

pub mod heartbeats;
pub mod reconciliation;
pub mod recovery;
