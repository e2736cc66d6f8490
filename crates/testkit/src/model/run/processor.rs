//! Processor time of the simulated nodes, which handle one message at a time.

use std::time::Duration;

use hazeltiller_units::time;

/// Times at which the nodes have handled all messages received so far.
#[derive(Debug, Default)]
pub(super) struct NodeProcessors {
    message_time: Duration,
    free_at: Vec<time::MonotonicTime>,
}

impl NodeProcessors {
    pub(super) fn new(message_time: Duration, nodes: usize) -> Self {
        Self {
            message_time,
            free_at: vec![time::MonotonicTime::default(); nodes],
        }
    }

    /// Returns whether handling a message takes time.
    pub(super) fn is_simulated(&self) -> bool {
        !self.message_time.is_zero()
    }

    /// Queues a message that a node receives; returns the time at which the node has handled it.
    pub(super) fn handle_message(
        &mut self,
        node: usize,
        received_at: time::MonotonicTime,
    ) -> time::MonotonicTime {
        let Some(free_at) = self.free_at.get_mut(node) else {
            return received_at;
        };
        *free_at = received_at.max(*free_at) + self.message_time;
        *free_at
    }
}
