//! Measures the resource use of a daemon and how it scales.
//!
//! [`measure`] starts stand-ins on threads of this process and real daemons as
//! processes, generates load, and reads CPU time, memory, messages and store
//! calls. Each part prints its tables; all of them can go to a CSV file.

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

/// Runs the selected parts and prints their tables.
///
/// # Errors
///
/// Fails if a process can't be started or sampled, or the CSV file written.
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
        control::scale_dimensions(options).await?.into_iter().for_each(&mut show);
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
