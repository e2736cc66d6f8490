//! Waiting for a state with a generous bound, so that no verdict depends on the machine's speed.

use std::time::Duration;

use tokio::time;

/// After this long a state is taken never to come.
pub const WAIT_TIMEOUT: Duration = Duration::from_mins(1);
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// Asks again and again until there is an answer.
///
/// # Panics
///
/// When there is none within [`WAIT_TIMEOUT`].
pub async fn until<T, F: Future<Output = Option<T>>>(what: &str, mut ask: impl FnMut() -> F) -> T {
    let asking = async {
        loop {
            if let Some(answer) = ask().await {
                return answer;
            }
            time::sleep(POLL_PERIOD).await;
        }
    };
    let answer = time::timeout(WAIT_TIMEOUT, asking).await.ok();
    answer.unwrap_or_else(|| panic!("waited in vain: {what}"))
}
