//! Diagnostics of files that operators write: which file, which line, which field, and what is wrong.
//!
//! Made by `config::operator` and `inventory`, printed by `cli` and logged by `net`.

use std::fmt;

/// One thing that is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// The file's path.
    pub file: String,
    /// The line, from 1; `None` if no single line is at fault.
    pub line: Option<u32>,
    /// The field, as `inventory.files[0].path` or `s3.cell`; empty for the whole file.
    pub field: String,
    /// What is wrong with it.
    pub message: String,
}

impl Diagnostic {
    /// A diagnostic of a whole file.
    pub fn for_file(file: &str, message: impl Into<String>) -> Self {
        Diagnostic { file: file.to_owned(), line: None, field: String::new(), message: message.into() }
    }

    /// A diagnostic of a field at a line, counted from 1.
    pub fn at(file: &str, line: u32, field: impl Into<String>, message: impl Into<String>) -> Self {
        Diagnostic { file: file.to_owned(), line: Some(line), field: field.into(), message: message.into() }
    }
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if !self.field.is_empty() {
            write!(f, ": {}", self.field)?;
        }
        write!(f, ": {}", self.message)
    }
}

impl std::error::Error for Diagnostic {}

/// Everything that is wrong with one or several files; never empty. Displayed one to a line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostics(pub Vec<Diagnostic>);

impl fmt::Display for Diagnostics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, diagnostic) in self.0.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{diagnostic}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Diagnostics {}
