//! Budget for extra requests: hedges and retries.
//!
//! Every sub-query earns a fraction of a token and every extra request spends a whole one, so
//! that extra load stays below a configured share however badly the targets perform. The owner of a
//! group and the entry host both send extra requests; [`split_extra`] divides the share between
//! them, so that their sum stays within it.

/// Limit of the debt of a budget, in bursts.
const MAX_DEBT: f64 = 4.0;

/// Default fraction of the burst that is reserved for retries.
const RETRY_RESERVE: f64 = 0.5;

/// Token bucket for extra requests.
#[derive(Clone, Debug)]
pub struct Budget {
    tokens: f64,
    share: f64,
    burst: f64,
    reserve: f64,
}

impl Budget {
    /// Creates a budget with `burst` tokens, its capacity, that earns `share` tokens per sub-query.
    pub fn new(share: f64, burst: f64) -> Self {
        Self { tokens: burst, share, burst, reserve: RETRY_RESERVE }
    }

    /// Discards the tokens above `tokens`.
    pub fn limit(&mut self, tokens: f64) {
        self.tokens = self.tokens.min(tokens);
    }

    /// Sets the fraction of the burst that is reserved for retries.
    pub fn with_reserve(self, reserve: f64) -> Self {
        Self { reserve, ..self }
    }

    /// Adds the tokens earned by one sub-query.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.burst);
    }

    /// Spends a token on a retry; returns false if there is none.
    pub fn retry(&mut self) -> bool {
        self.spend(0.0)
    }

    /// Whether there is a token for a retry.
    pub fn can_retry(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Spends a token on a hedge; returns false if that would use the reserve for retries.
    pub fn hedge(&mut self) -> bool {
        self.spend(self.burst * self.reserve)
    }

    fn spend(&mut self, reserve: f64) -> bool {
        if self.tokens < reserve + 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Spends a token even if there is none, up to a debt of a few bursts, which later hedges and
    /// retries have to wait for.
    pub fn borrow(&mut self) -> bool {
        self.spend(-self.burst * MAX_DEBT)
    }

    /// Changes the share and the capacity; tokens that were spent are not restored.
    pub fn resize(&mut self, share: f64, burst: f64) {
        self.share = share;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Changes the tokens earned per sub-query.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }
}

/// Splits the share of extra load between the owner of a group and the entry host, in this order.
///
/// The owner of a single replica has no second target for an extra request, so the entry host gets
/// the whole share; otherwise each gets half.
///
/// ```
/// use sapphirerack_policy::split_extra;
///
/// assert_eq!(split_extra(0.05, 1), (0.0, 0.05));
/// assert_eq!(split_extra(0.05, 3), (0.025, 0.025));
/// ```
pub fn split_extra(share: f64, replicas: usize) -> (f64, f64) {
    if replicas < 2 { (0.0, share) } else { (share / 2.0, share / 2.0) }
}
