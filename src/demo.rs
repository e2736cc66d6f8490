//! A small fleet in one process, with traffic and a check of its results.
//!
//! Nothing is simulated: the fleet consists of the processes that the daemon runs, which listen on
//! loopback, and requests go over real sockets. The results are checked against the run logs of the
//! targets, not against data that the system reports about itself.

pub mod fleet;
pub mod report;
pub mod traffic;
