//! Polling for a condition, with a time-out long enough that slow machines cause no failures.

use std::time::Duration;

use tokio::time;

/// Time after which [`until`] fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_mins(1);
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// Polls `poll` until it returns a value, and returns that value.
///
/// # Panics
///
/// Panics with `description` if there is no value within [`WAIT_TIMEOUT`].
pub async fn until<T, F: Future<Output = Option<T>>>(
    description: &str,
    mut poll: impl FnMut() -> F,
) -> T {
    let polling = async {
        loop {
            if let Some(value) = poll().await {
                return value;
            }
            time::sleep(POLL_PERIOD).await;
        }
    };
    complete(description, polling).await
}

/// Returns the output of `future`.
///
/// # Panics
///
/// Panics with `description` if there is no output within [`WAIT_TIMEOUT`].
pub async fn complete<T>(description: &str, future: impl Future<Output = T>) -> T {
    let output = time::timeout(WAIT_TIMEOUT, future).await.ok();
    output.unwrap_or_else(|| panic!("timed out waiting for: {description}"))
}
