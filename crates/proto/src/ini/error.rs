//! Errors in a configuration file.

use quick_error::quick_error;

quick_error! {
    /// An error in a configuration file, displayed as one line.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum IniError {
        /// The text is not valid INI.
        Syntax(line: usize, cause: String) {
            display("line {line}: {cause}; expected [section] or key = value")
        }
        /// The section is not a known kind with valid names, or depends on a
        /// section that is missing.
        InvalidSection(line: usize, name: String, expected: String) {
            display("line {line}: [{name}]: unknown section; expected {expected}")
        }
        /// The section occurs twice.
        DuplicateSection(line: usize, name: String) {
            display("line {line}: [{name}]: given twice; expected it once")
        }
        /// The key is unknown in this section, or occurs twice.
        InvalidKey(line: usize, section: String, key: String, expected: String) {
            display("line {line}: [{section}] {key}: unknown or given twice; expected {expected}")
        }
        /// A required key is missing.
        MissingKey(line: usize, section: String, key: String, expected: String) {
            display("line {line}: [{section}] {key}: missing; expected {expected}")
        }
        /// The value is invalid.
        InvalidValue(line: usize, section: String, key: String, value: String, expected: String) {
            display("line {line}: [{section}] {key}: bad value {value:?}; expected {expected}")
        }
    }
}
