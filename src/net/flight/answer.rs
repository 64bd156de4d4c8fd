//! Encodes the aggregator's reply as a Flight stream: one record batch per part, in the order of the query, with the
//! platform's column names. The schema metadata states whether the answer is complete.

use crate::aggregator::Reply;
use arrow_array::{ArrayRef, RecordBatch, StringArray, UInt32Array};
use arrow_flight::FlightData;
use arrow_flight::encode::FlightDataEncoderBuilder;
use arrow_schema::{DataType, Field, Schema, SchemaRef};
use bytes::Bytes;
use futures_util::stream::{self, BoxStream, StreamExt, TryStreamExt};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tonic::{Code, Response, Status};
use tonic_types::{ErrorDetails, StatusExt};

/// A stream of encoded record batches.
pub(super) type FlightStream = BoxStream<'static, Result<FlightData, Status>>;

/// Returns the schema of an answer; `complete` goes into its metadata.
pub(super) fn schema(complete: bool) -> SchemaRef {
    let shard = Field::new("range", DataType::UInt32, false);
    let value = Field::new("blob", DataType::Utf8, false);
    let metadata = HashMap::from([("total".to_owned(), complete.to_string())]);
    Arc::new(Schema::new_with_metadata(vec![shard, value], metadata))
}

/// Builds the response to a `DoGet` call.
///
/// # Errors
/// Returns an error status if the reply is not an answer, or if a value is not valid UTF-8.
pub(super) fn response(reply: Reply) -> Result<Response<FlightStream>, Status> {
    match reply {
        Reply::Answer { complete, values } => {
            let schema = schema(complete);
            let mut batches = Vec::with_capacity(values.len());
            for (shard, rows) in &values {
                batches.push(Ok(record_batch(&schema, *shard, rows)?));
            }
            let encoder = FlightDataEncoderBuilder::new().with_schema(schema);
            let data = encoder.build(stream::iter(batches));
            Ok(Response::new(data.map_err(Status::from).boxed()))
        }
        Reply::Rejected { retry_after } => {
            let delay = retry_after.map(|millis| Duration::from_secs_f64(millis.max(0.0) / 1e3));
            let details = ErrorDetails::with_retry_info(delay);
            Err(Status::with_error_details(Code::Unavailable, "refused", details))
        }
        Reply::Expired => Err(Status::deadline_exceeded("expired")),
        Reply::BadRequest(reason) => Err(Status::invalid_argument(reason)),
        Reply::Failed | Reply::Health { .. } | Reply::Metrics(_) => Err(Status::aborted("failed")),
    }
}

fn record_batch(schema: &SchemaRef, shard: u32, rows: &[Bytes]) -> Result<RecordBatch, Status> {
    let strings: Result<Vec<&str>, _> = rows.iter().map(|row| std::str::from_utf8(row)).collect();
    let strings = strings.map_err(|_| Status::internal("a value is no text"))?;
    let shards: ArrayRef = Arc::new(UInt32Array::from(vec![shard; rows.len()]));
    let values: ArrayRef = Arc::new(StringArray::from(strings));
    RecordBatch::try_new(schema.clone(), vec![shards, values])
        .map_err(|error| Status::internal(error.to_string()))
}
