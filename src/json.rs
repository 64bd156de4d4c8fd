//! JSON read by miniserde into a tree, from which the few values used are taken by name; an error says where.

use miniserde::json::{Number, Value};
use std::fmt;

/// What is wrong with a field, and which one it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldError {
    /// The field, as `settings.limits.maxOpen`.
    pub field: String,
    /// What it should have been.
    pub problem: String,
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "field {}: {}", self.field, self.problem)
    }
}

impl std::error::Error for FieldError {}

/// A place in a JSON text that remembers its path; there may be nothing at it.
#[derive(Clone, Debug)]
pub struct Field<'a> {
    path: String,
    value: Option<&'a Value>,
}

impl<'a> Field<'a> {
    /// The whole text.
    pub fn root(value: &'a Value) -> Self {
        Field { path: String::new(), value: Some(value) }
    }

    /// The field of that name.
    pub fn get(&self, name: &str) -> Field<'a> {
        let path = if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) };
        let value = match self.value {
            Some(Value::Object(o)) => o.get(name),
            _ => None,
        };
        Field { path, value }
    }

    /// The field itself where it is there and not null.
    pub fn present(self) -> Option<Self> {
        if matches!(self.value, None | Some(Value::Null)) { None } else { Some(self) }
    }

    /// An error about this field.
    pub fn wrong(&self, problem: impl Into<String>) -> FieldError {
        FieldError { field: self.path.clone(), problem: problem.into() }
    }

    /// Its text.
    pub fn text(&self) -> Result<&'a str, FieldError> {
        match self.value {
            Some(Value::String(s)) => Ok(s),
            _ => Err(self.expected("a text")),
        }
    }

    /// Its number.
    pub fn number(&self) -> Result<f64, FieldError> {
        match self.value {
            Some(Value::Number(Number::U64(n))) => Ok(*n as f64),
            Some(Value::Number(Number::I64(n))) => Ok(*n as f64),
            Some(Value::Number(Number::F64(n))) if n.is_finite() => Ok(*n),
            _ => Err(self.expected("a number")),
        }
    }

    /// Its number, or another one where the field is absent.
    pub fn number_or(&self, absent: f64) -> Result<f64, FieldError> {
        self.clone().present().map_or(Ok(absent), |f| f.number())
    }

    /// Its whole number, 0 or above.
    pub fn count(&self) -> Result<u64, FieldError> {
        let n = self.number()?;
        if n >= 0.0 && n.fract() == 0.0 && n <= u64::MAX as f64 {
            Ok(if let Some(Value::Number(Number::U64(exact))) = self.value { *exact } else { n as u64 })
        } else {
            Err(self.expected("a whole number, 0 or above"))
        }
    }

    /// Its whole number as `u32`.
    pub fn small(&self) -> Result<u32, FieldError> {
        u32::try_from(self.count()?).map_err(|_| self.wrong("is too large"))
    }

    /// Its truth value.
    pub fn flag(&self) -> Result<bool, FieldError> {
        match self.value {
            Some(Value::Bool(b)) => Ok(*b),
            _ => Err(self.expected("true or false")),
        }
    }

    /// Its entries.
    pub fn entries(&self) -> Result<Vec<Field<'a>>, FieldError> {
        let Some(Value::Array(all)) = self.value else { return Err(self.expected("a list")) };
        let entry = |(i, v)| Field { path: format!("{}[{i}]", self.path), value: Some(v) };
        Ok(all.iter().enumerate().map(entry).collect())
    }

    fn expected(&self, what: &str) -> FieldError {
        let state = if self.value.is_none() { "is missing" } else { "is something else" };
        self.wrong(format!("{state}, must be {what}"))
    }
}
