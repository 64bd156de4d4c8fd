//! Text tables for the terminal.

/// Formats rows as columns aligned with spaces, separated by two spaces.
pub fn columns<const N: usize>(rows: &[[String; N]]) -> String {
    let width = |column: usize| rows.iter().map(|row| row[column].chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..N).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            line.push_str(&format!("{cell:width$}  "));
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}
