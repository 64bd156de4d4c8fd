//! Formatting of the changes of an endpoint list.

use crate::endpoints::{Change, Difference, Endpoint, EndpointState};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The changes of endpoints, by endpoint name.
pub(super) type ChangesByName = BTreeMap<Arc<str>, Change>;

/// One line for each change, followed by a line with the counts.
pub(super) fn changes_text(changes: &ChangesByName) -> String {
    let mut text = String::new();
    for (name, change) in changes {
        if let Some(line) = change_line(name, change) {
            text.push_str(line.trim_end());
            text.push('\n');
        }
    }
    let count = Difference::of(changes.values());
    text.push_str(&format!(
        "{} added, {} gone, {} drained, {} readied, {} changed\n",
        count.added, count.removed, count.started_draining, count.stopped_draining, count.changed
    ));
    text
}

fn change_line(name: &str, change: &Change) -> Option<String> {
    match (&change.before, &change.after) {
        (None, None) => None,
        (None, Some(after)) => Some(format!("added    {name}  {}, cell {}", after.address, after.cell)),
        (Some(before), None) => Some(format!("gone     {name}  {}, cell {}", before.address, before.cell)),
        (Some(before), Some(after)) => {
            let kind = match (is_draining(before), is_draining(after)) {
                (false, true) => "drained ",
                (true, false) => "readied ",
                _ => "changed ",
            };
            Some(format!("{kind} {name}  {}", changed_fields(before, after).join(", ")))
        }
    }
}

fn is_draining(endpoint: &Endpoint) -> bool {
    endpoint.state == EndpointState::Draining
}

/// The fields that differ, except the state.
fn changed_fields(before: &Endpoint, after: &Endpoint) -> Vec<String> {
    let mut fields = Vec::new();
    if before.address != after.address {
        fields.push(format!("address {} -> {}", before.address, after.address));
    }
    if before.cell != after.cell {
        fields.push(format!("cell {} -> {}", before.cell, after.cell));
    }
    if before.zone != after.zone {
        fields.push(format!("zone {} -> {}", before.zone, after.zone));
    }
    if before.weight != after.weight {
        fields.push(format!("weight {} -> {}", before.weight, after.weight));
    }
    if before.started_at_unix != after.started_at_unix {
        fields.push(format!("started {} -> {}", before.started_at_unix, after.started_at_unix));
    }
    fields
}
