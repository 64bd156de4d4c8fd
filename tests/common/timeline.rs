//! Events of several processes as a text table on one clock: one column per process, one row per event.

use std::fmt;

/// An event of a process.
#[derive(Clone, Debug)]
struct Row {
    at_ms: f64,
    column: usize,
    text: String,
}

/// Events of several processes, in order of insertion.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    names: Vec<&'static str>,
    rows: Vec<Row>,
}

impl Timeline {
    /// An empty timeline with a column for each name.
    pub fn new(names: &[&'static str]) -> Self {
        Timeline { names: names.to_vec(), rows: Vec::new() }
    }

    /// Adds an event of one of the processes.
    pub fn add(&mut self, at_ms: f64, name: &str, text: impl Into<String>) {
        let column = self.names.iter().position(|other| *other == name).expect("a column of that name");
        self.rows.push(Row { at_ms, column, text: text.into() });
    }

    /// The width of a column in characters.
    fn width(&self, column: usize) -> usize {
        let rows = self.rows.iter().filter(|row| row.column == column);
        let longest = rows.map(|row| row.text.chars().count()).max().unwrap_or(0);
        longest.max(self.names[column].len())
    }
}

impl fmt::Display for Timeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths: Vec<usize> = (0..self.names.len()).map(|column| self.width(column)).collect();
        let line = |time: &str, cells: &[&str]| {
            let cells = cells.iter().zip(&widths).map(|(cell, width)| format!(" | {cell:<width$}"));
            format!("{time:>8}{}", cells.collect::<String>()).trim_end().to_owned()
        };
        writeln!(f, "{}", line("ms", &self.names))?;
        let mut rows = self.rows.clone();
        rows.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        for row in &rows {
            let mut cells = vec![""; self.names.len()];
            cells[row.column] = &row.text;
            writeln!(f, "{}", line(&format!("{:.0}", row.at_ms), &cells))?;
        }
        Ok(())
    }
}
