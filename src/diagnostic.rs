//! Diagnostics of files that operators write: the file, the line, the field and the problem.
//!
//! Created by `config::operator` and `inventory`, printed by `cli` and logged by `net`.

use std::fmt;

/// One problem in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// The file's path.
    pub file: String,
    /// The line, counted from 1; `None` if the problem is not in a single line.
    pub line: Option<u32>,
    /// The field, such as `inventory.files[0].path` or `s3.cell`; empty if the problem concerns the complete file.
    pub field: String,
    /// The problem, without file, line and field.
    pub message: String,
}

impl Diagnostic {
    /// A diagnostic of a complete file.
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

/// All problems of one or several files; never empty. Displayed as one line for each problem.
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
