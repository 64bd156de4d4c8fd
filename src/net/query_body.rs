//! The fields of a query that the HTTP and Flight servers read from JSON. The platform's field names are mapped to the
//! terms of this code base here.

use crate::aggregator::NewPart;
use miniserde::Deserialize;

/// Maximum length of a request ID or an idempotency key.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// The JSON body of a query over HTTP.
#[derive(Deserialize)]
pub(crate) struct QueryBody {
    /// The requested parts, one per shard.
    #[serde(rename = "ranges")]
    pub parts: Vec<PartBody>,
    /// The predicate that each part sends to its leaf server, passed on unchanged.
    #[serde(rename = "predicate")]
    pub payload: String,
}

/// One part of a query.
#[derive(Deserialize)]
pub(crate) struct PartBody {
    /// Number of the shard.
    #[serde(rename = "range")]
    shard: u32,
    /// Share of the complete answer; the weights of all parts add up to one.
    #[serde(rename = "portion")]
    weight: f64,
    /// The client's estimate of the work in microseconds; `None` if it sends no estimate.
    #[serde(rename = "price")]
    cost_micros: Option<f64>,
}

impl PartBody {
    /// Converts the part for the aggregator, with the cost estimate in milliseconds.
    pub fn to_part(&self) -> NewPart {
        NewPart {
            shard: self.shard,
            weight: self.weight,
            cost_hint: self.cost_micros.map(|micros| micros / 1e3),
        }
    }
}

/// Maximum length of a class or tenant name in a query. Names in the settings are much shorter.
const MAX_NAME_BYTES: usize = 256;

/// Whether the name of a class or tenant may be kept with a query.
pub(crate) fn is_valid_name(name: &str) -> bool {
    name.len() <= MAX_NAME_BYTES
}

/// Whether an idempotency key is valid. Leaf frames contain it in a comma-separated list of `name=value` entries.
pub(crate) fn is_valid_idempotency_key(key: &str) -> bool {
    is_valid_request_id(key) && !key.contains([',', '='])
}

/// Whether a request ID is valid. Leaf frames separate it from other fields by spaces.
pub(crate) fn is_valid_request_id(request_id: &str) -> bool {
    !request_id.is_empty()
        && request_id.len() <= MAX_REQUEST_ID_BYTES
        && request_id.bytes().all(|byte| byte.is_ascii_graphic())
}
