//! The catalogue: the configuration that operators write and that is distributed to every node.
//!
//! A catalogue is an immutable value. A change either produces the complete next value or a list of
//! faults, so that no version can be in force in part and no catalogue contains a dangling
//! reference.

pub mod change;
pub mod check;
pub mod delta;
pub mod entry;
pub mod file;
pub mod rollout;
pub mod state;
