//! `sailmux ledger correct`: changes what was billed by a record of its own.

use super::super::failure::Failure;
use super::submit::unique_id;
use super::{LedgerLocation, now};
use crate::ledger::{Correction, Period, QuotaShare, Request};

#[derive(clap::Args)]
pub(in crate::cli) struct Correct {
    #[command(flatten)]
    location: LedgerLocation,
    /// The tenant
    #[arg(long)]
    tenant: String,
    /// The class
    #[arg(long)]
    class: String,
    /// The period that was wrong
    #[arg(long, value_name = "PERIOD")]
    corrects: Period,
    /// Queries to add; may be negative
    #[arg(long, default_value_t = 0, allow_negative_numbers = true)]
    queries: i64,
    /// Parts to add
    #[arg(long, default_value_t = 0, allow_negative_numbers = true)]
    parts: i64,
    /// Thousandths of a unit of work to add
    #[arg(long, default_value_t = 0, allow_negative_numbers = true)]
    work: i64,
    /// The queries were over the tenant's quota
    #[arg(long)]
    beyond: bool,
    /// Who makes the correction
    #[arg(long)]
    by: String,
    /// The reason
    #[arg(long)]
    why: String,
}

impl Correct {
    pub(super) fn run(self) -> Result<(), Failure> {
        let correction = Correction {
            at: now(),
            id: unique_id(),
            tenant: self.tenant,
            class: self.class,
            corrected_period: self.corrects.to_string(),
            share: if self.beyond { QuotaShare::OverQuota } else { QuotaShare::WithinQuota },
            queries: self.queries,
            parts: self.parts,
            work: self.work,
            author: self.by,
            reason: self.why,
        };
        self.location.submit(Request::Correct(correction))
    }
}
