//! Events of several nodes as text: one column a node, one row an event, on the one clock.

use std::fmt;

/// What happened, where and when.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    names: Vec<&'static str>,
    rows: Vec<(f64, usize, String)>,
}

impl Timeline {
    pub fn new(names: &[&'static str]) -> Self {
        Timeline { names: names.to_vec(), rows: Vec::new() }
    }

    /// Something has happened at a node; times in ms.
    pub fn add(&mut self, at: f64, node: &str, what: impl Into<String>) {
        let column = self.names.iter().position(|n| *n == node).expect("a column of that name");
        self.rows.push((at, column, what.into()));
    }
}

impl fmt::Display for Timeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widest = |(i, name): (usize, &&'static str)| {
            let texts = self.rows.iter().filter(|r| r.1 == i).map(|r| r.2.chars().count());
            texts.max().unwrap_or(0).max(name.len())
        };
        let widths: Vec<usize> = self.names.iter().enumerate().map(widest).collect();
        let line = |at: &str, cells: &[&str]| {
            let cells = cells.iter().zip(&widths).map(|(cell, width)| format!(" | {cell:<width$}"));
            format!("{at:>8}{}", cells.collect::<String>()).trim_end().to_owned()
        };
        writeln!(f, "{}", line("ms", &self.names))?;
        let mut rows = self.rows.clone();
        rows.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (at, column, what) in &rows {
            let mut cells = vec![""; self.names.len()];
            cells[*column] = what;
            writeln!(f, "{}", line(&format!("{at:.0}"), &cells))?;
        }
        Ok(())
    }
}
