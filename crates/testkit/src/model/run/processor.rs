//! Processors of the model's nodes: messages wait for one another.

use std::time::Duration;

use hazeltiller_units::time;

/// When each node has handled what it has got.
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

    /// Whether messages take any time.
    pub(super) fn is_charged(&self) -> bool {
        !self.message_time.is_zero()
    }

    /// Takes a message that reaches a node; returns when the node has handled it.
    pub(super) fn take(
        &mut self,
        node: usize,
        reached: time::MonotonicTime,
    ) -> time::MonotonicTime {
        let Some(free_at) = self.free_at.get_mut(node) else {
            return reached;
        };
        *free_at = reached.max(*free_at) + self.message_time;
        *free_at
    }
}
