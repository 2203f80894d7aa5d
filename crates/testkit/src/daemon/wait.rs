//! Waiting for what can only be asked.

use std::{future::Future, time::Duration};

use actix_rt::time::{sleep, timeout};

/// Longest wait for anything that has no bound of its own. Far longer than
/// needed, so that a slow machine fails no test.
pub const MAX_WAIT: Duration = Duration::from_secs(30);
/// Time between two questions.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Asks until there is an answer. Returns none after [`MAX_WAIT`].
///
/// # Examples
///
/// ```
/// use comfreyway_testkit::daemon::eventually;
///
/// # actix_rt::System::new().block_on(async {
/// let mut asked = 0;
/// let answer = eventually(|| {
///     asked += 1;
///     let answer = (asked == 2).then_some("yes");
///     async move { answer }
/// });
/// assert_eq!(answer.await, Some("yes"));
/// # });
/// ```
pub async fn eventually<T, F, Fut>(mut ask: F) -> Option<T>
where
    F: FnMut() -> Fut,
    Fut: Future<Output = Option<T>>,
{
    let asked = async {
        loop {
            if let Some(answer) = ask().await {
                return answer;
            }
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(MAX_WAIT, asked).await.ok()
}
