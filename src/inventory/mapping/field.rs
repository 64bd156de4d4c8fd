//! The fields of an endpoint record as the operator's file names them.

/// A field of an endpoint record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Field {
    /// The endpoint's name; a column of CSV only.
    Name,
    /// Host, with or without a port.
    Address,
    /// Port.
    Port,
    /// Cell.
    Cell,
    /// Zone.
    Zone,
    /// State: `ready`, `draining` or `absent`.
    State,
    /// Weight.
    Weight,
    /// Protocol: `frames` or `flight`.
    Protocol,
    /// Last start, in Unix milliseconds.
    StartedAtMs,
}

impl Field {
    /// All fields, in the order of their numbers.
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

    /// Its name in the operator's file.
    pub fn name(self) -> &'static str {
        self.default_variables()[0]
    }

    /// The field of that name.
    pub fn from_name(name: &str) -> Option<Field> {
        Field::ALL.into_iter().find(|field| field.name() == name)
    }

    /// The variables that hold the field if none is mapped; the first one is the field's own name.
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
