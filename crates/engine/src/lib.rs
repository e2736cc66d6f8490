//! Every decision of the system, as one reducer without clock, disk or network.
//!
//! `reduce` takes the state, the time and one event, changes the state and returns effects as data.
//! Whoever runs the effects reports back with further events. So a fault is a sequence of events,
//! and a test replays it exactly.

pub mod admission;
pub mod calls;
pub mod dissemination;
pub mod event;
mod failed_store;
pub mod health;
pub mod ledger;
pub mod membership;
pub mod quarantine;
pub mod reducer;
pub mod replication;
pub mod retry;
pub mod rollout;
pub mod routing;
pub mod settings;
pub mod timeline;
