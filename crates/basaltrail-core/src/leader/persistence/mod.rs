//! What a leader keeps durable: the machine registry, completions and the fairness ledger.

pub mod flush;
pub mod machine_registry;
