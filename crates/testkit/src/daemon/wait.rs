//! Polling for a condition.

use std::{future::Future, time::Duration};

use actix_rt::time::{sleep, timeout};

/// Longest wait for a condition without a time limit of its own. Far longer than
/// needed, so that no test fails on a slow machine.
pub const MAX_WAIT: Duration = Duration::from_secs(30);
/// Time between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Calls `poll` until it returns a value. Returns none after [`MAX_WAIT`].
///
/// # Examples
///
/// ```
/// use comfreyway_testkit::daemon::eventually;
///
/// # actix_rt::System::new().block_on(async {
/// let mut polls = 0;
/// let value = eventually(|| {
///     polls += 1;
///     let value = (polls == 2).then_some("yes");
///     async move { value }
/// });
/// assert_eq!(value.await, Some("yes"));
/// # });
/// ```
pub async fn eventually<T, F, Fut>(mut poll: F) -> Option<T>
where
    F: FnMut() -> Fut,
    Fut: Future<Output = Option<T>>,
{
    let polled = async {
        loop {
            if let Some(value) = poll().await {
                return value;
            }
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(MAX_WAIT, polled).await.ok()
}
