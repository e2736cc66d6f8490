//! The decision logic of the system, as a single reducer without clock, disk or network.
//!
//! `reduce` takes the state, the time and one event; it updates the state and returns effects as
//! data. The caller carries out the effects and reports their results as further events. A fault is
//! thus a sequence of events, which a test can replay exactly.

pub mod admission;
pub mod allowance;
pub mod bandwidth;
pub mod calls;
pub mod connections;
pub mod dependencies;
pub mod dissemination;
pub mod event;
mod failed_store;
pub mod health;
pub mod ledger;
pub mod membership;
pub mod organisations;
pub mod quarantine;
pub mod reducer;
pub mod replication;
pub mod retry;
pub mod returns;
pub mod rollout;
pub mod routing;
pub mod settings;
pub mod signals;
pub mod timeline;
