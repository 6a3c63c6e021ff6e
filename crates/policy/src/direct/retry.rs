//! When a target is asked again that could not take a request a moment ago.
//!
//! The load that this answers: after a power loss, or at the only replica that a shard has left,
//! targets reset connections above their limit until older ones have ended. Nothing has reached
//! the target then, so trying again adds no work; trying again at once would only be reset again.

use std::time::Duration;

/// Usual pause before the first new try.
const FIRST_PAUSE: Duration = Duration::from_millis(10);

/// Longest usual pause; each is twice the one before.
const LONGEST_PAUSE: Duration = Duration::from_millis(80);

/// Pause before a try after `tries` ones that failed; `random` from 0 to 1 spreads it by half.
pub fn backoff(tries: usize, random: f64) -> Duration {
    let doublings = u32::try_from(tries.saturating_sub(1)).unwrap_or(u32::MAX).min(10);
    let usual = LONGEST_PAUSE.min(FIRST_PAUSE * 2_u32.pow(doublings));
    usual.mul_f64(0.5 + random)
}
