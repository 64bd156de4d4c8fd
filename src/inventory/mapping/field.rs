//! The fields of an endpoint record and their names in the operator file.

/// A field of an endpoint record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Field {
    /// Name of the endpoint. Used for the name column of CSV files only.
    Name,
    /// Host name or IP address, optionally with a port.
    Address,
    /// Port from 1 to 65535.
    Port,
    /// Number of the cell, from 0.
    Cell,
    /// Name of the zone (failure domain).
    Zone,
    /// State: `ready`, `draining` or `absent`.
    State,
    /// Weight of the replica in the balancer, from 0.
    Weight,
    /// Protocol: `frames` or `flight`.
    Protocol,
    /// Time of the last start, in milliseconds since the Unix epoch.
    StartedAtMs,
}

impl Field {
    /// All fields, in the order of their discriminants.
    pub const ALL: [Field; 9] = [
        Field::Name,
        Field::Address,
        Field::Port,
        Field::Cell,
        Field::Zone,
        Field::State,
        Field::Weight,
        Field::Protocol,
        Field::StartedAtMs,
    ];

    /// The name of the field in the operator file.
    pub fn name(self) -> &'static str {
        self.default_variables()[0]
    }

    /// The field with that name; `None` if there is no such field.
    pub fn from_name(name: &str) -> Option<Field> {
        Field::ALL.into_iter().find(|field| field.name() == name)
    }

    /// The variables that are tried in order if the operator file maps none; the first one is the field's own name.
    pub(super) fn default_variables(self) -> &'static [&'static str] {
        match self {
            Field::Name => &["name"],
            Field::Address => &["address", "ansible_host", "host"],
            Field::Port => &["port", "ansible_port"],
            Field::Cell => &["cell"],
            Field::Zone => &["zone"],
            Field::State => &["state"],
            Field::Weight => &["weight"],
            Field::Protocol => &["protocol"],
            Field::StartedAtMs => &["started_at_ms"],
        }
    }
}
