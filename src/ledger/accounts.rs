//! Billing lines: the accounts that queries are billed to, the keys under which usage is summed, and the sums.

use super::period::Period;
use super::record::{Entry, Outcome, QuotaShare};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of unknown tenant names with an account of their own; all further names share one.
const MAX_UNKNOWN_TENANTS: usize = 1000;

/// The account that a query is billed to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Account {
    /// A configured tenant.
    Tenant(String),
    /// A tenant name that is not configured; empty if the client sent none.
    Unknown(String),
    /// All unknown tenant names beyond the maximum number of accounts.
    Others,
}

impl Account {
    /// The account's name in manifests and command output.
    pub fn name(&self) -> String {
        match self {
            Account::Tenant(name) => name.clone(),
            Account::Unknown(name) if name.is_empty() => "(none)".to_owned(),
            Account::Unknown(name) => format!("(unknown) {name}"),
            Account::Others => "(unknown, all others)".to_owned(),
        }
    }
}

/// Unknown tenant names with an account of their own. Their number is bounded because clients choose the names.
#[derive(Clone, Debug, Default)]
pub(super) struct UnknownTenants {
    pub(super) names: BTreeSet<String>,
}

impl UnknownTenants {
    /// Returns the account that an entry is billed to. A new unknown name gets an account of its own until the maximum
    /// is reached.
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
    /// The period in which the queries are billed.
    pub period: Period,
    /// The account that is billed.
    pub account: Account,
    /// The query class.
    pub class: String,
    /// Whether the queries were within the tenant's quota.
    pub share: QuotaShare,
}

/// The usage summed in one billing line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Queries with a final answer.
    pub queries: u64,
    /// Queries that are billed: those with a complete or partial answer.
    pub billed: u64,
    /// Queries that were rejected.
    pub rejected: u64,
    /// Queries that failed or expired, or whose client disconnected.
    pub failed: u64,
    /// Parts requested.
    pub requested_parts: u64,
    /// Parts billed: those served in answers, each counted once.
    pub parts: u64,
    /// Attempts sent to leaf servers.
    pub attempts: u64,
    /// Work billed, in thousandths of a unit.
    pub work: u64,
    /// Queries that were recorded after their own period had closed.
    pub late: u64,
}

impl Usage {
    /// Adds an entry; `late` is whether the entry's own period had already closed.
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

    /// Adds the usage of the same billing line in another ledger.
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

/// Usage by billing line.
pub type Totals = BTreeMap<BillingLine, Usage>;
