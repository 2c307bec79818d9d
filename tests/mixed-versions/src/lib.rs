//! The simulation of `basaltrail-core` with processes of several versions: see
//! `tests/simulation.rs`.
