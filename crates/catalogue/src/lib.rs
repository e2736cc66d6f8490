//! The catalogue: what operators write, and the only thing they steer the system by.
//!
//! A catalogue is a value. A change either yields the next whole value or a list of faults, so a
//! version can never be in force in part, and no value with a dangling reference can be built.

pub mod change;
pub mod check;
pub mod delta;
pub mod entry;
pub mod file;
pub mod rollout;
pub mod state;
