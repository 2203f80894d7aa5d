//! Measures what a daemon costs and how that grows.
//!
//! [`measure`] starts stand-ins on threads of this process and real daemons as
//! processes, holds a load, and reads processor time, memory, messages and
//! calls. Each part prints a table; all of them together can be written as CSV.

mod configuration;
mod control;
mod coordination;
mod data_path;
mod hosts;
mod memory;
mod options;
mod rig;

use std::{fs, io};

use crate::measure::Table;

pub use self::options::{CapacityOptions, Part, options};

/// Runs the parts that are asked for and prints their tables.
///
/// # Errors
///
/// Fails if a process can't be started or read.
pub async fn measure(options: &CapacityOptions) -> io::Result<()> {
    let mut csv = String::new();
    let mut show = |table: Table| {
        println!("{}", table.text());
        csv.push_str(&table.csv());
    };
    if options.includes(Part::Data) {
        data_path::streams(options).await?.into_iter().for_each(&mut show);
        data_path::plain(options).await?.into_iter().for_each(&mut show);
    }
    if options.includes(Part::Memory) {
        memory::streams(options).await?.into_iter().for_each(&mut show);
    }
    if options.includes(Part::Control) {
        control::dimensions(options).await?.into_iter().for_each(&mut show);
    }
    if options.includes(Part::Hosts) {
        hosts::hosts(options).await?.into_iter().for_each(&mut show);
    }
    if options.includes(Part::Coordination) {
        coordination::coordination(options).await?.into_iter().for_each(&mut show);
    }
    if let Some(file) = &options.csv {
        fs::write(file, csv)?;
    }
    Ok(())
}
