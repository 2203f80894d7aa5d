//! Faults of a configuration file.

use quick_error::quick_error;

quick_error! {
    /// A fault of a configuration file, printed as one line.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum IniError {
        /// The text is not INI.
        Syntax(line: usize, cause: String) {
            display("line {line}: {cause}; expected [section] or key = value")
        }
        /// The section's name is not a kind with its names.
        Section(line: usize, name: String, expected: String) {
            display("line {line}: [{name}]: unknown section; expected {expected}")
        }
        /// The section stands twice.
        Duplicate(line: usize, name: String) {
            display("line {line}: [{name}]: given twice; expected it once")
        }
        /// The section has no such key, or has it twice.
        Key(line: usize, section: String, key: String, expected: String) {
            display("line {line}: [{section}] {key}: unknown or given twice; expected {expected}")
        }
        /// A key is missing.
        Missing(line: usize, section: String, key: String, expected: String) {
            display("line {line}: [{section}] {key}: missing; expected {expected}")
        }
        /// The value can't be used.
        Value(line: usize, section: String, key: String, value: String, expected: String) {
            display("line {line}: [{section}] {key}: bad value {value:?}; expected {expected}")
        }
    }
}
