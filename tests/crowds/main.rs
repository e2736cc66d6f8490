//! Crowds of clients that don't behave, against real processes on a machine with lowered limits.
//!
//! A crowd sends for a fixed time and reads nothing, or next to nothing. Each test checks that no
//! process ends, that memory and descriptors stay within the limits, and that an ordinary request is
//! answered beside the crowd and after it. The tests run one at a time, in a program of their own, so
//! that a peak belongs to one crowd.

mod connections;
mod http1;
mod http2;
mod links;
mod operators;
mod scene;
mod slow;
#[path = "../all/support.rs"]
#[expect(dead_code, reason = "the other test program uses the rest of it")]
mod support;
