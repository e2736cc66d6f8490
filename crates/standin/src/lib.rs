//! Stand-in targets, which are small HTTP servers with scripted behaviour that log each run of a
//! request, and a load generator.
//!
//! The demo, the load generator and the tests compare the logs with the outcomes that callers
//! received. A stand-in therefore logs a run before it responds.

pub mod answer;
pub mod behaviour;
pub mod client;
pub mod endless;
pub mod headers;
pub mod load;
pub mod repeat;
pub mod runs;
pub mod settings;
pub mod target;
