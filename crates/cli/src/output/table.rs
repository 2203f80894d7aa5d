//! Plain tables that fit a terminal of 80 columns.

use std::fmt;

/// Largest width of a line, in characters.
const MAX_WIDTH: usize = 80;

/// Space between two columns, in characters.
const COLUMN_GAP: usize = 2;

/// Smallest width to which a column is cut, in characters.
const MIN_COLUMN_WIDTH: usize = 6;

/// A table with a line of headings.
///
/// # Examples
///
/// ```
/// use comfreyway_cli::output::Table;
///
/// let table = Table::new(&["HOST", "VERSION"]).with_row(["entry-1", "12"]);
/// assert_eq!(table.to_string(), "HOST     VERSION\nentry-1  12\n");
/// ```
#[derive(Clone, Debug)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows.
    #[must_use]
    pub fn new(headings: &[&str]) -> Self {
        Self { rows: vec![headings.iter().map(|&text| text.to_owned()).collect()] }
    }

    /// Adds a row.
    #[must_use]
    pub fn with_row<I, T>(mut self, cells: I) -> Self
    where
        I: IntoIterator<Item = T>,
        T: Into<String>,
    {
        self.push(cells);
        self
    }

    /// Adds a row.
    pub fn push<I, T>(&mut self, cells: I)
    where
        I: IntoIterator<Item = T>,
        T: Into<String>,
    {
        self.rows.push(cells.into_iter().map(Into::into).collect());
    }

    /// Returns the widths of the columns. The widest are cut until a line fits.
    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let mut widths: Vec<_> = (0..columns).map(width).collect();
        let gaps = COLUMN_GAP * columns.saturating_sub(1);
        while widths.iter().sum::<usize>() + gaps > MAX_WIDTH {
            let Some(widest) = widths.iter_mut().max().filter(|width| **width > MIN_COLUMN_WIDTH)
            else {
                break;
            };
            *widest -= 1;
        }
        widths
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for row in &self.rows {
            let cells = row.iter().zip(&widths).map(|(cell, &width)| fit(cell, width));
            let line = cells.collect::<Vec<_>>().join(&" ".repeat(COLUMN_GAP));
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}

/// Cuts or pads a text to a width.
fn fit(text: &str, width: usize) -> String {
    if text.chars().count() <= width {
        return format!("{text:width$}");
    }
    let kept: String = text.chars().take(width.saturating_sub(1)).collect();
    format!("{kept}…")
}
