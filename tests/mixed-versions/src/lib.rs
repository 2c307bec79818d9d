//! The days of the simulation, played by processes of several versions: see `tests/simulation.rs`.
