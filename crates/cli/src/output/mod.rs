//! Output of the commands.

mod change;
mod table;

pub use self::{
    change::{print_change_report, print_change_state},
    table::Table,
};

/// Prints a value as indented JSON.
pub(crate) fn print_json<T>(value: &T)
where
    T: serde::Serialize,
{
    match serde_json::to_string_pretty(value) {
        Ok(text) => println!("{text}"),
        Err(e) => eprintln!("comfreyway: can't write the report as JSON: {e}"),
    }
}
