//! The fields of a query that both servers, HTTP and Flight, read from JSON. The platform's field names are mapped to
//! the field's terms here.

use crate::aggregator::NewPart;
use miniserde::Deserialize;

/// Longest name of a query, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// The JSON body of a query over HTTP.
#[derive(Deserialize)]
pub(crate) struct QueryBody {
    /// The parts.
    #[serde(rename = "ranges")]
    pub parts: Vec<PartBody>,
    /// What each part asks its leaf server.
    #[serde(rename = "predicate")]
    pub payload: String,
}

/// One part of a query.
#[derive(Deserialize)]
pub(crate) struct PartBody {
    /// The shard.
    #[serde(rename = "range")]
    shard: u32,
    /// The part's share of the complete answer.
    #[serde(rename = "portion")]
    weight: f64,
    /// An estimate of the work, in microseconds.
    #[serde(rename = "price")]
    cost_micros: Option<f64>,
}

impl PartBody {
    /// The part as the aggregator takes it.
    pub fn to_part(&self) -> NewPart {
        NewPart {
            shard: self.shard,
            weight: self.weight,
            cost_hint: self.cost_micros.map(|micros| micros / 1e3),
        }
    }
}

/// Whether an idempotency key is valid: it is one entry of a comma-separated list in a leaf frame.
pub(crate) fn is_valid_idempotency_key(key: &str) -> bool {
    is_valid_name(key) && !key.contains([',', '='])
}

/// Whether a query's name is valid: leaf frames separate it from other fields by blanks.
pub(crate) fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(|byte| byte.is_ascii_graphic())
}
