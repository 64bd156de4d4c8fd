//! Endpoint lists in discovery's JSON format, as received by the discovery watch and stored in the platform's file
//! (`known`).

use crate::endpoints::{Endpoint, EndpointList, EndpointState};
use crate::json::{Field, FieldError};
use std::sync::Arc;

/// Maximum length of a name or address.
const MAX_TEXT_BYTES: usize = 256;

/// Parses an endpoint list in discovery's JSON format.
///
/// # Errors
/// The first field that is missing or has an invalid value.
pub fn parse_endpoint_list(list: &Field<'_>) -> Result<EndpointList, FieldError> {
    let mut entries = Vec::new();
    for instance in list.get("instances").as_list()? {
        entries.push(parse_endpoint(&instance)?);
    }
    let complete = list.get("reset").bool_or(false)?;
    let generation = list.get("generation").as_u64()?;
    Ok(EndpointList { generation, complete, entries })
}

fn parse_endpoint(instance: &Field<'_>) -> Result<Endpoint, FieldError> {
    Ok(Endpoint {
        name: short_text(&instance.get("instanceId"), instance.get("instanceId").as_str()?)?,
        address: short_text(&instance.get("hostPort"), instance.get("hostPort").as_str()?)?,
        zone: short_text(&instance.get("zone"), instance.get("zone").str_or("")?)?,
        cell: instance.get("cell").u32_or(0)?,
        weight: instance.get("weight").f64_or(1.0)?,
        state: parse_state(&instance.get("lifecycle"))?,
        started_at_unix: instance.get("startedAtMs").f64_or(0.0)?,
    })
}

/// A text that is kept with the endpoint.
fn short_text(field: &Field<'_>, text: &str) -> Result<Arc<str>, FieldError> {
    if text.len() > MAX_TEXT_BYTES {
        return field.report(field.error(format!("is longer than {MAX_TEXT_BYTES} bytes")), "".into());
    }
    Ok(text.into())
}

fn parse_state(lifecycle: &Field<'_>) -> Result<EndpointState, FieldError> {
    match lifecycle.as_str()? {
        "Ready" => Ok(EndpointState::Ready),
        "Terminating" => Ok(EndpointState::Draining),
        "Gone" => Ok(EndpointState::Gone),
        other => lifecycle.report(
            lifecycle.error(format!("must be Ready, Terminating or Gone, not {other:?}")),
            EndpointState::Gone,
        ),
    }
}
