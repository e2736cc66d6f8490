//! Faults of a settings file.

use std::fmt;

use hazeltiller_units::code;

/// One fault of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsFault {
    /// Result code.
    pub code: code::ResultCode,
    /// Dotted path of the key; empty if the fault concerns the whole file.
    pub path: String,
    /// Value in the file, as JSON; empty if there is none.
    pub value: String,
    /// What is expected there, or what is wrong with the key or file.
    pub allowed: String,
    /// Known key that was probably meant instead of an unknown one.
    pub near: Option<String>,
}

impl SettingsFault {
    /// Returns a fault of the whole file, such as a syntax error.
    pub fn of_file(message: String) -> Self {
        Self {
            code: code::ResultCode::SettingsInvalid,
            path: String::new(),
            value: String::new(),
            allowed: message,
            near: None,
        }
    }

    /// Returns the fault of a file that can't be read.
    pub fn unreadable(message: String) -> Self {
        Self {
            code: code::ResultCode::SettingsUnreadable,
            ..Self::of_file(message)
        }
    }
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.code)?;
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        if !self.value.is_empty() {
            write!(f, "found {}; ", self.value)?;
        }
        f.write_str(&self.allowed)?;
        match &self.near {
            Some(near) => write!(f, "; did you mean \"{near}\"?"),
            None => Ok(()),
        }
    }
}

impl std::error::Error for SettingsFault {}
