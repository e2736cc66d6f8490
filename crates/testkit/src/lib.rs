//! Shared infrastructure of integration tests: daemon processes behind fault-injecting proxies,
//! reducers in simulations with virtual time, and waiting with a time-out.
//!
//! The code under test is never replaced by a mock: tests run the daemon itself, or the reducers
//! themselves on a simulated network, and inject faults between the instances.

pub mod entries;
pub mod fleet;
pub mod model;
pub mod node;
pub mod proxy;
pub mod reducers;
pub mod rollouts;
pub mod wait;
