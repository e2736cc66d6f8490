//! The process around the reducer: listeners, links, timers and the disk.
//!
//! Nothing here decides. Each part turns what happens outside into an event, or an effect into
//! what happens outside; the reducer in `hazeltiller-engine` decides in between.

pub mod byte_counts;
pub mod callers;
pub mod claims_task;
pub mod critical_tasks;
pub mod dialect;
pub mod disk_writer;
pub mod drain;
pub mod engine_actor;
pub mod gauges;
pub mod handshake;
pub mod http;
pub mod http1;
pub mod links;
pub mod listener;
pub mod logging;
pub mod metrics;
pub mod observer;
pub mod operators;
pub mod owner;
pub mod peers;
pub mod pool;
pub mod probe;
pub mod process;
pub mod questions;
pub mod readiness;
pub mod reload;
pub mod replay;
pub mod response_buffer;
pub mod settings;
pub mod store_task;
pub mod targets;
pub mod timeline;
pub mod trace;
