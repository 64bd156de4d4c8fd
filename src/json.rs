//! Reading JSON documents by field name; errors contain the path of the invalid field.
//!
//! [`Field`] walks a tree parsed by miniserde and remembers the path to each value; `config` reads the platform's
//! settings and endpoint lists through it. [`ObjectScanner`] finds the end of an object in a streamed body, for the
//! discovery watch. Both are independent of what the fields mean.

use miniserde::json::{Number, Value};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::rc::Rc;

/// A field that is missing or has a value that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldError {
    /// The field's path, such as `settings.limits.maxOpen`.
    pub field: String,
    /// The problem with the value, without the field's path.
    pub message: String,
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "field {}: {}", self.field, self.message)
    }
}

impl std::error::Error for FieldError {}

/// The errors reported so far by a field from [`Field::collecting_errors`] and by all fields below it, in order.
pub type CollectedErrors = Rc<RefCell<Vec<FieldError>>>;

/// The paths of all keys below a field, such as `settings.limits.maxOpen`. Below a list, only the keys that all of its
/// entries have, such as `settings.categories[].name`.
pub type KeyPaths = BTreeSet<String>;

/// A value in a JSON document with its path; the value may be absent.
#[derive(Clone, Debug)]
pub struct Field<'a> {
    path: String,
    value: Option<&'a Value>,
    /// Where errors are collected; if `None`, reading stops at the first error.
    errors: Option<CollectedErrors>,
}

impl<'a> Field<'a> {
    /// The document's root. Reading stops at the first error.
    pub fn root(value: &'a Value) -> Self {
        Field { path: String::new(), value: Some(value), errors: None }
    }

    /// The document's root, for reading the complete document: errors go to the returned list, and each invalid field
    /// is read as a placeholder.
    pub fn collecting_errors(value: &'a Value) -> (Self, CollectedErrors) {
        let errors = CollectedErrors::default();
        let root = Field { path: String::new(), value: Some(value), errors: Some(errors.clone()) };
        (root, errors)
    }

    /// Reports an error about a field: returns it or, if errors are collected, stores it and returns the placeholder, so
    /// that reading continues. Only the first error of each field is stored.
    ///
    /// # Errors
    /// The error itself, unless errors are collected.
    pub fn report<T>(&self, error: FieldError, placeholder: T) -> Result<T, FieldError> {
        let Some(errors) = &self.errors else { return Err(error) };
        let mut errors = errors.borrow_mut();
        let is_reported = errors.iter().any(|reported| reported.field == error.field);
        if !is_reported {
            errors.push(error);
        }
        Ok(placeholder)
    }

    /// An error about this field.
    pub fn error(&self, message: impl Into<String>) -> FieldError {
        FieldError { field: self.path.clone(), message: message.into() }
    }

    /// The field with this name in this object; absent if this value is not an object.
    pub fn get(&self, name: &str) -> Field<'a> {
        let path = if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) };
        let value = match self.value {
            Some(Value::Object(object)) => object.get(name),
            _ => None,
        };
        Field { path, value, errors: self.errors.clone() }
    }

    /// The field itself, or `None` if it is absent or null.
    pub fn optional(self) -> Option<Self> {
        match self.value {
            None | Some(Value::Null) => None,
            Some(_) => Some(self),
        }
    }

    /// The string.
    ///
    /// # Errors
    /// The field is absent or not a string.
    pub fn as_str(&self) -> Result<&'a str, FieldError> {
        match self.value {
            Some(Value::String(text)) => Ok(text),
            _ => self.report(self.type_error("a string"), ""),
        }
    }

    /// The string, or the default if the field is absent or null.
    ///
    /// # Errors
    /// The field is not a string.
    pub fn str_or(self, default: &'a str) -> Result<&'a str, FieldError> {
        match self.optional() {
            Some(field) => field.as_str(),
            None => Ok(default),
        }
    }

    /// The finite number.
    ///
    /// # Errors
    /// The field is absent or not a finite number.
    pub fn as_f64(&self) -> Result<f64, FieldError> {
        match self.value {
            Some(Value::Number(Number::U64(number))) => Ok(*number as f64),
            Some(Value::Number(Number::I64(number))) => Ok(*number as f64),
            Some(Value::Number(Number::F64(number))) if number.is_finite() => Ok(*number),
            _ => self.report(self.type_error("a number"), 0.0),
        }
    }

    /// The finite number, or the default if the field is absent or null.
    ///
    /// # Errors
    /// The field is not a finite number.
    pub fn f64_or(self, default: f64) -> Result<f64, FieldError> {
        match self.optional() {
            Some(field) => field.as_f64(),
            None => Ok(default),
        }
    }

    /// The finite number, or `None` if the field is absent or null.
    ///
    /// # Errors
    /// The field is not a finite number.
    pub fn optional_f64(self) -> Result<Option<f64>, FieldError> {
        self.optional().map(|field| field.as_f64()).transpose()
    }

    /// The whole number, 0 or above, as 64 bits.
    ///
    /// # Errors
    /// The field is absent, not a whole number, negative or too large.
    pub fn as_u64(&self) -> Result<u64, FieldError> {
        let number = self.as_f64()?;
        if let Some(Value::Number(Number::U64(exact))) = self.value {
            return Ok(*exact);
        }
        if number >= 0.0 && number.fract() == 0.0 && number <= u64::MAX as f64 {
            return Ok(number as u64);
        }
        self.report(self.type_error("a whole number, 0 or above"), 0)
    }

    /// The whole number, 0 or above, as 32 bits.
    ///
    /// # Errors
    /// The field is absent, not a whole number, negative or too large.
    pub fn as_u32(&self) -> Result<u32, FieldError> {
        let number = self.as_u64()?;
        u32::try_from(number).or_else(|_| self.report(self.error("is too large"), 0))
    }

    /// The whole number, 0 or above, as 32 bits, or the default if the field is absent or null.
    ///
    /// # Errors
    /// The field is not a whole number, negative or too large.
    pub fn u32_or(self, default: u32) -> Result<u32, FieldError> {
        match self.optional() {
            Some(field) => field.as_u32(),
            None => Ok(default),
        }
    }

    /// The whole number, 0 or above, as 32 bits, or `None` if the field is absent or null.
    ///
    /// # Errors
    /// The field is not a whole number, negative or too large.
    pub fn optional_u32(self) -> Result<Option<u32>, FieldError> {
        self.optional().map(|field| field.as_u32()).transpose()
    }

    /// The boolean.
    ///
    /// # Errors
    /// The field is absent or not a boolean.
    pub fn as_bool(&self) -> Result<bool, FieldError> {
        match self.value {
            Some(Value::Bool(flag)) => Ok(*flag),
            _ => self.report(self.type_error("true or false"), false),
        }
    }

    /// The boolean, or the default if the field is absent or null.
    ///
    /// # Errors
    /// The field is not a boolean.
    pub fn bool_or(self, default: bool) -> Result<bool, FieldError> {
        match self.optional() {
            Some(field) => field.as_bool(),
            None => Ok(default),
        }
    }

    /// The entries of a list.
    ///
    /// # Errors
    /// The field is absent or not a list.
    pub fn as_list(&self) -> Result<Vec<Field<'a>>, FieldError> {
        let Some(Value::Array(values)) = self.value else {
            return self.report(self.type_error("a list"), Vec::new());
        };
        let entry = |(index, value)| Field {
            path: format!("{}[{index}]", self.path),
            value: Some(value),
            errors: self.errors.clone(),
        };
        Ok(values.iter().enumerate().map(entry).collect())
    }

    /// The entries of a list; none if the field is absent or null.
    ///
    /// # Errors
    /// The field is not a list.
    pub fn list_or_empty(self) -> Result<Vec<Field<'a>>, FieldError> {
        match self.optional() {
            Some(field) => field.as_list(),
            None => Ok(Vec::new()),
        }
    }

    /// The paths of all keys below this field.
    pub fn key_paths(&self) -> KeyPaths {
        let mut paths = KeyPaths::new();
        if let Some(value) = self.value {
            collect_key_paths(value, &self.path, &mut paths);
        }
        paths
    }

    fn type_error(&self, expected: &str) -> FieldError {
        let state = if self.value.is_none() { "is missing" } else { "has the wrong type" };
        self.error(format!("{state}, must be {expected}"))
    }
}

fn collect_key_paths(value: &Value, path: &str, paths: &mut KeyPaths) {
    match value {
        Value::Object(object) => {
            for (name, value) in object {
                let path = format!("{path}.{name}");
                collect_key_paths(value, &path, paths);
                paths.insert(path);
            }
        }
        Value::Array(entries) => {
            let entry_path = format!("{path}[]");
            let paths_of_entry = |entry| {
                let mut paths = KeyPaths::new();
                collect_key_paths(entry, &entry_path, &mut paths);
                paths
            };
            let common = entries.iter().map(paths_of_entry).reduce(|common, other| &common & &other);
            paths.extend(common.unwrap_or_default());
        }
        _ => {}
    }
}

/// Why a streamed body does not contain a JSON object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ScanError {
    /// A line ends inside a string.
    UnterminatedString,
    /// Something other than whitespace precedes the object.
    NotAnObject,
    /// Values are nested too deeply.
    TooDeep,
    /// The object has too many values.
    TooManyValues,
}

/// Bounds on an object, whose parsed form takes far more memory than its text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScanLimits {
    /// Maximum depth of nested objects and lists.
    pub depth: u32,
    /// Maximum number of values.
    pub values: usize,
}

impl Default for ScanLimits {
    /// No limits.
    fn default() -> Self {
        ScanLimits { depth: u32::MAX, values: usize::MAX }
    }
}

impl Default for ObjectScanner {
    /// A scanner without limits.
    fn default() -> Self {
        ObjectScanner::new(ScanLimits::default())
    }
}

impl fmt::Display for ScanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ScanError::UnterminatedString => "a line ends inside a string",
            ScanError::NotAnObject => "a line is not a JSON object",
            ScanError::TooDeep => "values are nested too deeply",
            ScanError::TooManyValues => "an object has too many values",
        })
    }
}

impl std::error::Error for ScanError {}

/// Finds the end of a JSON object that arrives in pieces and may extend over several lines.
#[derive(Debug)]
pub struct ObjectScanner {
    limits: ScanLimits,
    /// Bytes scanned so far.
    scanned: usize,
    /// Number of objects that are open.
    depth: u32,
    /// Number of lists that are open.
    lists: u32,
    /// Number of values, counted by the characters before and between them.
    values: usize,
    in_string: bool,
    escaped: bool,
}

impl ObjectScanner {
    /// A scanner for one object.
    pub fn new(limits: ScanLimits) -> Self {
        ObjectScanner { limits, scanned: 0, depth: 0, lists: 0, values: 0, in_string: false, escaped: false }
    }

    /// Whether no object has started in the bytes scanned so far.
    pub fn is_before_object(&self) -> bool {
        self.depth == 0
    }

    /// Scans the bytes of `body` that are new since the last call. Returns the index one past the object's end, or
    /// `None` while the object is incomplete. Only whitespace may precede the object.
    ///
    /// # Errors
    /// The body contains something other than an object, or an object beyond the limits.
    pub fn find_end(&mut self, body: &[u8]) -> Result<Option<usize>, ScanError> {
        while let Some(byte) = body.get(self.scanned) {
            self.scanned += 1;
            if !self.in_string && !self.escaped {
                self.count_value(*byte)?;
            }
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\n' if self.in_string => return Err(ScanError::UnterminatedString),
                b'\\' if self.in_string => self.escaped = true,
                b'"' if self.depth > 0 => self.in_string = !self.in_string,
                _ if self.in_string => {}
                b'{' => self.depth += 1,
                b'}' if self.depth == 1 => return Ok(Some(self.scanned)),
                b'}' if self.depth > 1 => self.depth -= 1,
                _ if self.depth == 0 && !byte.is_ascii_whitespace() => return Err(ScanError::NotAnObject),
                _ => {}
            }
        }
        Ok(None)
    }

    fn count_value(&mut self, byte: u8) -> Result<(), ScanError> {
        match byte {
            b'[' => self.lists += 1,
            b']' => self.lists = self.lists.saturating_sub(1),
            _ => {}
        }
        self.values += usize::from(matches!(byte, b'{' | b'[' | b',' | b':'));
        if self.depth + self.lists > self.limits.depth {
            return Err(ScanError::TooDeep);
        }
        if self.values > self.limits.values {
            return Err(ScanError::TooManyValues);
        }
        Ok(())
    }
}
