//! Integration tests: real processes, ports chosen by the system, a module a feature.

mod command_line;
mod crashing;
mod decoders;
mod demo;
mod drain;
mod examples;
mod fleet;
mod hygiene;
mod limits;
mod links;
mod once;
mod pages;
mod peers;
mod pipelining;
mod promises;
mod raw;
mod reload;
mod replication;
mod revision;
mod seeing;
mod soak;
mod streaming;
mod support;
mod what_fails;
mod whole_path;
