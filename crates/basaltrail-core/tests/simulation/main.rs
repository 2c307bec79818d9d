//! Days of a small deployment, simulated: see [`simulated`].

mod simulated;
mod versions;
