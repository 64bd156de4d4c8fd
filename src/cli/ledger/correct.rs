//! `sailmux ledger correct`: corrects billed usage by appending a correction record.

use super::super::failure::Failure;
use super::submit::unique_id;
use super::{LedgerLocation, now};
use crate::ledger::{Correction, Period, QuotaShare, Request};

#[derive(clap::Args)]
pub(in crate::cli) struct Correct {
    #[command(flatten)]
    location: LedgerLocation,
    /// The tenant to correct
    #[arg(long)]
    tenant: String,
    /// The class of the queries
    #[arg(long)]
    class: String,
    /// The billing period to correct, such as 2026-11
    #[arg(long, value_name = "PERIOD")]
    corrects: Period,
    /// Number of queries to add; may be negative
    #[arg(long, default_value_t = 0, allow_negative_numbers = true)]
    queries: i64,
    /// Number of parts to add; may be negative
    #[arg(long, default_value_t = 0, allow_negative_numbers = true)]
    parts: i64,
    /// Work to add, in thousandths of a unit; may be negative
    #[arg(long, default_value_t = 0, allow_negative_numbers = true)]
    work: i64,
    /// The queries were over the tenant's quota
    #[arg(long)]
    beyond: bool,
    /// Author of the correction
    #[arg(long)]
    by: String,
    /// The reason for the correction
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
