//! Billing lines: whose use is counted, under which key, and the sums of it.

use super::period::Period;
use super::record::{Entry, Outcome, QuotaShare};
use std::collections::{BTreeMap, BTreeSet};

/// Unknown tenant names that get an account of their own; all others share one.
const MAX_UNKNOWN_TENANTS: usize = 1000;

/// Whose use a line counts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Account {
    /// A tenant that the settings know.
    Tenant(String),
    /// A tenant name that the settings do not know.
    Unknown(String),
    /// All unknown names beyond the bound.
    Others,
}

impl Account {
    /// The name under which exports and commands print the account.
    pub fn name(&self) -> String {
        match self {
            Account::Tenant(name) => name.clone(),
            Account::Unknown(name) if name.is_empty() => "(none)".to_owned(),
            Account::Unknown(name) => format!("(unknown) {name}"),
            Account::Others => "(unknown, all others)".to_owned(),
        }
    }
}

/// Unknown tenant names with an account of their own: bounded, since clients choose the names.
#[derive(Clone, Debug, Default)]
pub(super) struct UnknownTenants {
    pub(super) names: BTreeSet<String>,
}

impl UnknownTenants {
    /// The account that an entry is billed to; a new unknown name gets an account while there is capacity.
    pub(super) fn account_of(&mut self, entry: &Entry) -> Account {
        if entry.tenant_is_known {
            return Account::Tenant(entry.tenant.clone());
        }
        if self.names.len() < MAX_UNKNOWN_TENANTS {
            self.names.insert(entry.tenant.clone());
        }
        if self.names.contains(&entry.tenant) {
            Account::Unknown(entry.tenant.clone())
        } else {
            Account::Others
        }
    }
}

/// The key of a billing line.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BillingLine {
    /// The period in which it is billed.
    pub period: Period,
    /// The account that is billed.
    pub account: Account,
    /// The query class.
    pub class: String,
    /// Within the tenant's quota or beyond it.
    pub share: QuotaShare,
}

/// What a billing line counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Queries with a final answer.
    pub queries: u64,
    /// Queries that are billed.
    pub billed: u64,
    /// Queries that were rejected.
    pub rejected: u64,
    /// Queries that failed, expired or lost their client.
    pub failed: u64,
    /// Parts requested.
    pub requested_parts: u64,
    /// Parts billed: served in answers, each once.
    pub parts: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Work billed, in thousandths of a unit.
    pub work: u64,
    /// Queries that were entered after their own period had closed.
    pub late: u64,
}

impl Usage {
    /// Counts an entry; `late` if its own period had closed.
    pub(super) fn add_entry(&mut self, entry: &Entry, late: bool) {
        self.queries += 1;
        match entry.outcome {
            outcome if outcome.is_billed() => {
                self.billed += 1;
                self.parts += u64::from(entry.parts_served);
                self.work += entry.work;
            }
            Outcome::Rejected => self.rejected += 1,
            _ => self.failed += 1,
        }
        self.requested_parts += u64::from(entry.parts);
        self.attempts += u64::from(entry.attempts);
        self.late += u64::from(late);
    }

    /// Adds the sums of the same line in another ledger.
    pub(super) fn add(&mut self, other: &Usage) {
        self.queries += other.queries;
        self.billed += other.billed;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.requested_parts += other.requested_parts;
        self.parts += other.parts;
        self.attempts += other.attempts;
        self.work += other.work;
        self.late += other.late;
    }
}

/// Billing lines and their sums.
pub type Totals = BTreeMap<BillingLine, Usage>;
