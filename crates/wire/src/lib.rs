//! Messages between the processes of the system, and their encoding.
//!
//! Messages are plain data; the logic that sends and handles them is in `hazeltiller-engine`. The
//! message type of each submodule of the reducer is in the file of the same name here.

pub mod allowance;
pub mod calls;
pub mod codec;
pub mod dissemination;
pub mod document;
pub mod handshake;
pub mod ledger;
pub mod membership;
pub mod message;
pub mod quarantine;
pub mod replication;
pub mod rollout;
pub mod signals;
