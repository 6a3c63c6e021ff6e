//! The budget for requests beyond the first: hedges and retries.
//!
//! Every sub-query earns a fraction of a token and every extra request spends a whole one, so
//! that extra load stays below a stated share however badly the targets do. The share of a
//! sub-query is split between the two places that can send extra requests, so that the sum holds:
//! see [`split_extra`].

/// Debt that a budget may have, in bursts.
const CREDIT: f64 = 4.0;

/// Part of the burst that hedges leave for retries, unless stated otherwise.
const RESERVE: f64 = 0.5;

/// Tokens for extra requests.
#[derive(Clone, Debug)]
pub struct Budget {
    tokens: f64,
    share: f64,
    burst: f64,
    reserve: f64,
}

impl Budget {
    /// Budget that starts with `burst` tokens, its most, and earns `share` for each sub-query.
    pub fn new(share: f64, burst: f64) -> Self {
        Self { tokens: burst, share, burst, reserve: RESERVE }
    }

    /// Takes away what it has above `tokens`.
    pub fn limit(&mut self, tokens: f64) {
        self.tokens = self.tokens.min(tokens);
    }

    /// The same budget, of whose burst hedges leave the part `reserve` for retries.
    pub fn with_reserve(self, reserve: f64) -> Self {
        Self { reserve, ..self }
    }

    /// Earns the share of one sub-query.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.burst);
    }

    /// Spends a token on a retry; false if there is none.
    pub fn retry(&mut self) -> bool {
        self.spend(0.0)
    }

    /// Whether there is a token for a retry.
    pub fn can_retry(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Spends a token on a hedge; false unless the reserve stays for retries.
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

    /// Spends a token that may not be there, up to a debt of a few bursts; later hedges and
    /// retries pay for it.
    pub fn borrow(&mut self) -> bool {
        self.spend(-self.burst * CREDIT)
    }

    /// Changes the share and the most tokens; tokens that were spent stay spent.
    pub fn resize(&mut self, share: f64, burst: f64) {
        self.share = share;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Changes the share.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }
}

/// Parts of the extra-load share for the owner of a group and for the entry host.
///
/// The owner of a single replica has nowhere to send a second request; the entry host then gets
/// the whole share, and half of it otherwise.
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
