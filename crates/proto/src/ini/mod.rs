//! INI format of the configuration, for files that operators edit.
//!
//! Each element is a section named by its kind and name, such as
//! `[class quote]` or `[runner llm r1]`. [`read`] and [`write()`] are inverses,
//! except for the version, which a file does not contain.

mod error;
mod reader;
mod section;
mod value;
mod writer;

pub use self::{
    error::IniError,
    reader::read,
    value::{DurationText, YesNo},
    writer::{write, write_element},
};
