//! The I/O around the reducer: listeners, links to other processes, timers and disk writers.
//!
//! The protocols are decided in `hazeltiller-engine`, whose reducer is a pure function of events.
//! The modules here turn I/O into events for the reducer and carry out the effects that it returns.

pub mod byte_counts;
pub mod callers;
pub mod claims_task;
pub mod client_connections;
pub mod counted_stream;
pub mod critical_tasks;
pub mod dialect;
pub mod disk_writer;
pub mod drain;
pub mod engine_actor;
pub mod gauges;
pub mod handshake;
pub mod http;
pub mod http1;
pub mod link_shares;
pub mod links;
pub mod listener;
pub mod logging;
pub mod metrics;
pub mod notices_task;
pub mod observer;
pub mod operators;
pub mod owner;
pub mod peers;
pub mod pool;
pub mod probe;
pub mod process;
pub mod process_limits;
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
