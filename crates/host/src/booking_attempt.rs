//! An attempt of a claimed booking at one target.

use std::time::Duration;

use sapphirerack_clients::{BookingRequest, TargetClient};
use sapphirerack_policy::Clock;
use sapphirerack_policy::booking::AttemptOutcome;
use sapphirerack_protocol::ClaimedBooking;

/// Sends a claimed booking to a target, unless its deadline has passed.
pub(crate) fn run(
    client: &TargetClient,
    clock: &dyn Clock,
    claimed: &ClaimedBooking,
) -> AttemptOutcome {
    let deadline = Duration::from_micros(claimed.deadline);
    let timeout = deadline.saturating_sub(clock.unix());
    if timeout.is_zero() {
        return AttemptOutcome::NotRun;
    }
    let request = format!("{}.{}", claimed.key, claimed.attempt);
    let booking = BookingRequest {
        request: &request,
        key: &claimed.key,
        deadline,
        timeout,
        body: &claimed.body,
    };
    client.book(&booking)
}
