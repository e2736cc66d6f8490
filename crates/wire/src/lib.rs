//! What the system's own processes say to each other, and how it becomes bytes.
//!
//! Messages are data only: whoever sends or takes one decides in `hazeltiller-engine`. Each
//! submodule of the reducer has its message type in the file of the same name here.

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
