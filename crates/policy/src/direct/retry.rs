//! Backoff after requests that did not reach a target.
//!
//! After a power loss, or at the last remaining replica of a shard, targets reset connections above
//! their limit until older ones have closed. The request has not reached the target, so a retry
//! adds no work there, but an immediate retry would be reset again.

use std::time::Duration;

/// Delay before the first retry, without jitter.
const INITIAL_DELAY: Duration = Duration::from_millis(10);

/// Longest delay without jitter; the delay doubles with each attempt.
const MAX_DELAY: Duration = Duration::from_millis(80);

/// Delay after `attempts` failed attempts, jittered by a factor of 0.5 to 1.5; `random` is 0 to 1.
pub fn backoff(attempts: usize, random: f64) -> Duration {
    let doublings = u32::try_from(attempts.saturating_sub(1)).unwrap_or(u32::MAX).min(10);
    let delay = MAX_DELAY.min(INITIAL_DELAY * 2_u32.pow(doublings));
    delay.mul_f64(0.5 + random)
}
