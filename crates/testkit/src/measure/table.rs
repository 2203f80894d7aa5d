//! Tables, printed as aligned text or as CSV.

use std::fmt::Write as _;

/// A table with named columns.
#[derive(Clone, Debug)]
pub struct Table {
    title: String,
    columns: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates an empty table.
    #[must_use]
    pub fn new(title: &str, columns: &[&str]) -> Self {
        let columns = columns.iter().map(|&c| c.to_owned()).collect();
        Self { title: title.to_owned(), columns, rows: Vec::new() }
    }

    /// Adds a row.
    pub fn push(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    /// Formats the table with aligned columns.
    #[must_use]
    pub fn text(&self) -> String {
        let width = |i: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(i));
            cells.chain([&self.columns[i]]).map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<_> = (0..self.columns.len()).map(width).collect();
        let mut out = format!("{}\n", self.title);
        for row in std::iter::once(&self.columns).chain(&self.rows) {
            for (cell, &width) in row.iter().zip(&widths) {
                // Writing to a string can't fail.
                let _ = write!(out, "  {cell:>width$}");
            }
            out.push('\n');
        }
        out
    }

    /// Formats the table as CSV, with the title in each row.
    #[must_use]
    pub fn csv(&self) -> String {
        let mut out = format!("table,{}\n", self.columns.join(","));
        for row in &self.rows {
            let _ = writeln!(out, "{},{}", self.title.replace(',', ";"), row.join(","));
        }
        out
    }
}
