//! What integration tests share: real processes behind fault-injecting proxies, and patience.
//!
//! Nothing here imitates the system: tests start the real daemon, or the real reducers on a small
//! fake network, and meddle with what is between them.

pub mod entries;
pub mod fleet;
pub mod model;
pub mod node;
pub mod proxy;
pub mod reducers;
pub mod rollouts;
pub mod wait;
