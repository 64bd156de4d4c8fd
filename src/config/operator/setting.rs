//! Reading the records of the operator file from YAML: each type reads its own value, and reports an invalid one with
//! file, line and field. Reading continues after an error, so that all errors are reported at once.

use crate::diagnostic::Diagnostic;
use crate::yaml::{Entry, Node};
use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde::Serialize;
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A type that can be read from a value in the operator file.
pub trait Setting: Sized {
    /// Reads a value. Returns `None` if it is invalid; the reason is then reported to `context`.
    fn read(node: &Node, context: &mut FieldContext<'_>) -> Option<Self>;
}

/// The field that is being read, and the diagnostics found so far.
pub struct FieldContext<'a> {
    file: &'a str,
    path: String,
    diagnostics: &'a mut Vec<Diagnostic>,
}

impl<'a> FieldContext<'a> {
    /// The context of a file's top level.
    pub(super) fn root(file: &'a str, diagnostics: &'a mut Vec<Diagnostic>) -> Self {
        FieldContext { file, path: String::new(), diagnostics }
    }

    /// The context of a field of this record.
    pub(super) fn field(&mut self, name: &str) -> FieldContext<'_> {
        let path = match self.path.as_str() {
            "" => name.to_owned(),
            parent => format!("{parent}.{name}"),
        };
        FieldContext { file: self.file, path, diagnostics: self.diagnostics }
    }

    /// The context of an entry of this list.
    pub(super) fn entry(&mut self, index: usize) -> FieldContext<'_> {
        let path = format!("{}[{index}]", self.path);
        FieldContext { file: self.file, path, diagnostics: self.diagnostics }
    }

    /// Reports a problem of this field.
    pub(super) fn report(&mut self, line: u32, message: impl Into<String>) {
        self.diagnostics.push(Diagnostic::at(self.file, line, self.path.clone(), message));
    }
}

/// A closed record with a default for each field; implemented by [`records`].
pub(super) trait Record: Default {
    /// The names of its fields.
    const NAMES: &'static [&'static str];

    /// Reads the field `name`; returns false if there is no such field. An invalid value leaves the default.
    fn read_field(&mut self, name: &str, node: &Node, context: &mut FieldContext<'_>) -> bool;
}

/// Reads a record; null is read as the defaults.
pub(super) fn read_record<T: Record>(node: &Node, context: &mut FieldContext<'_>) -> Option<T> {
    let mut record = T::default();
    if node.is_null() {
        return Some(record);
    }
    let Some(entries) = node.map() else {
        context.report(node.line, format!("must be a map, not {}", node.kind_name()));
        return None;
    };
    for entry in entries {
        let mut field = context.field(&entry.name);
        if !record.read_field(&entry.name, &entry.value, &mut field) {
            let known = T::NAMES.join(", ");
            field.report(entry.line, format!("is unknown; known fields: {known}"));
        }
    }
    Some(record)
}

/// Declares records: for each the struct, its defaults, its reader and its JSON Schema. The doc comments are the
/// descriptions in the schema.
macro_rules! records {
    ($(
        $(#[doc = $type_doc:literal])+
        $name:ident { $($(#[doc = $field_doc:literal])+ $field:ident: $type:ty = $default:expr,)* }
    )*) => {$(
        $(#[doc = $type_doc])+
        #[derive(Clone, Debug, schemars::JsonSchema, serde::Serialize)]
        #[schemars(deny_unknown_fields, default)]
        pub struct $name { $($(#[doc = $field_doc])+ pub $field: $type,)* }

        impl Default for $name {
            fn default() -> Self {
                $name { $($field: $default,)* }
            }
        }

        impl $name {
            /// The names of its fields.
            pub const FIELDS: &[&str] = &[$(stringify!($field)),*];
        }

        impl $crate::config::operator::setting::Record for $name {
            const NAMES: &'static [&'static str] = Self::FIELDS;

            fn read_field(
                &mut self,
                name: &str,
                node: &$crate::yaml::Node,
                context: &mut $crate::config::operator::setting::FieldContext<'_>,
            ) -> bool {
                match name {
                    $(stringify!($field) => {
                        if let Some(value) = $crate::config::operator::setting::Setting::read(node, context) {
                            self.$field = value;
                        }
                    })*
                    _ => return false,
                }
                true
            }
        }

        impl $crate::config::operator::setting::Setting for $name {
            fn read(
                node: &$crate::yaml::Node,
                context: &mut $crate::config::operator::setting::FieldContext<'_>,
            ) -> Option<Self> {
                $crate::config::operator::setting::read_record(node, context)
            }
        }
    )*};
}
pub(super) use records;

/// Declares enums: for each variant its keyword in the file and in the JSON Schema.
macro_rules! choices {
    ($(
        $(#[doc = $type_doc:literal])+
        $name:ident { $($(#[doc = $variant_doc:literal])+ $variant:ident = $keyword:literal,)* }
    )*) => {$(
        $(#[doc = $type_doc])+
        #[derive(Clone, Copy, Debug, PartialEq, Eq, schemars::JsonSchema, serde::Serialize)]
        pub enum $name { $($(#[doc = $variant_doc])+ #[serde(rename = $keyword)] $variant,)* }

        impl $crate::config::operator::setting::Setting for $name {
            fn read(
                node: &$crate::yaml::Node,
                context: &mut $crate::config::operator::setting::FieldContext<'_>,
            ) -> Option<Self> {
                match node.as_str() {
                    $(Some($keyword) => Some($name::$variant),)*
                    _ => {
                        context.report(node.line, format!("must be one of {}", [$($keyword),*].join(", ")));
                        None
                    }
                }
            }
        }
    )*};
}
pub(super) use choices;

/// A whole number from `MIN` to `MAX`, both inclusive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Count<const MIN: u64, const MAX: u64>(pub u64);

impl<const MIN: u64, const MAX: u64> Setting for Count<MIN, MAX> {
    fn read(node: &Node, context: &mut FieldContext<'_>) -> Option<Self> {
        let number = node.as_str().and_then(|text| text.parse::<u64>().ok());
        match number {
            Some(number) if (MIN..=MAX).contains(&number) => Some(Count(number)),
            _ => {
                context.report(node.line, format!("must be a whole number from {MIN} to {MAX}"));
                None
            }
        }
    }
}

impl<const MIN: u64, const MAX: u64> JsonSchema for Count<MIN, MAX> {
    fn inline_schema() -> bool {
        true
    }

    fn schema_name() -> Cow<'static, str> {
        format!("Count{MIN}To{MAX}").into()
    }

    fn json_schema(_: &mut SchemaGenerator) -> Schema {
        json_schema!({ "type": "integer", "minimum": MIN, "maximum": MAX })
    }
}

/// An IP address and a port.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Address(pub SocketAddr);

impl Setting for Address {
    fn read(node: &Node, context: &mut FieldContext<'_>) -> Option<Self> {
        let address = node.as_str().and_then(|text| text.parse().ok());
        if address.is_none() {
            context.report(node.line, "is not an address and port");
        }
        address.map(Address)
    }
}

impl JsonSchema for Address {
    fn inline_schema() -> bool {
        true
    }

    fn schema_name() -> Cow<'static, str> {
        "Address".into()
    }

    fn json_schema(_: &mut SchemaGenerator) -> Schema {
        json_schema!({ "type": "string", "pattern": ":[0-9]+$" })
    }
}

impl Setting for String {
    fn read(node: &Node, context: &mut FieldContext<'_>) -> Option<Self> {
        let text = node.as_str();
        if text.is_none() {
            context.report(node.line, format!("must be a string, not {}", node.kind_name()));
        }
        text.map(str::to_owned)
    }
}

impl Setting for bool {
    fn read(node: &Node, context: &mut FieldContext<'_>) -> Option<Self> {
        let flag = node.as_bool();
        if flag.is_none() {
            context.report(node.line, "must be true or false");
        }
        flag
    }
}

impl<T: Setting> Setting for Option<T> {
    fn read(node: &Node, context: &mut FieldContext<'_>) -> Option<Self> {
        if node.is_null() { Some(None) } else { T::read(node, context).map(Some) }
    }
}

impl<T: Setting> Setting for Vec<T> {
    fn read(node: &Node, context: &mut FieldContext<'_>) -> Option<Self> {
        let Some(nodes) = node.list() else {
            context.report(node.line, format!("must be a list, not {}", node.kind_name()));
            return None;
        };
        let mut entries = Vec::new();
        for (index, node) in nodes.iter().enumerate() {
            entries.extend(T::read(node, &mut context.entry(index)));
        }
        Some(entries)
    }
}

impl<T: Setting> Setting for BTreeMap<String, T> {
    fn read(node: &Node, context: &mut FieldContext<'_>) -> Option<Self> {
        let Some(entries) = node.map() else {
            context.report(node.line, format!("must be a map, not {}", node.kind_name()));
            return None;
        };
        let mut values = BTreeMap::new();
        for Entry { name, value, .. } in entries {
            if let Some(value) = T::read(value, &mut context.field(name)) {
                values.insert(name.clone(), value);
            }
        }
        Some(values)
    }
}
