//! Reading and checking of presets in TOML or JSON files.

use std::path::Path;

use garde::Validate;

use crate::preset::Preset;

/// Maximum length of a file, in bytes.
pub const MAX_FILE_BYTES: usize = 64 * 1024;

/// Format of a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// TOML.
    Toml,
    /// JSON.
    Json,
}

impl Format {
    /// Returns the format for the extension of `path`, or `None` if it isn't a known one.
    pub fn of(path: &Path) -> Option<Self> {
        match path.extension()?.to_str()? {
            "toml" => Some(Self::Toml),
            "json" => Some(Self::Json),
            _ => None,
        }
    }
}

/// An error in a file.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fault {
    /// Line number, starting at 1, if it is known.
    pub line: Option<usize>,
    /// Name of the field, if it is known.
    pub field: Option<String>,
    /// The value, if it could be read.
    pub value: Option<String>,
    /// What is accepted, or why the file can't be read.
    pub expected: String,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        if let Some(field) = &self.field {
            write!(f, "{field}: ")?;
        }
        match &self.value {
            Some(value) => write!(f, "{value} isn't valid, {}", self.expected),
            None => f.write_str(&self.expected),
        }
    }
}

impl std::error::Error for Fault {}

/// Parses a preset; fields that are missing have their defaults.
///
/// # Errors
///
/// Fails with the first syntax or type error, or with every field that is out of its range.
///
/// # Examples
///
/// ```
/// use config::file::{parse, Format};
///
/// let preset = parse("hedge_budget = 0.05", Format::Toml).expect("a preset");
/// assert_eq!(preset.hedge_budget, 0.05);
///
/// let faults = parse("\nqueue = 0", Format::Toml).expect_err("a fault");
/// assert_eq!(faults[0].to_string(), "line 2: queue: 0 isn't valid, expected 1 to 10000");
/// ```
pub fn parse(text: &str, format: Format) -> Result<Preset, Vec<Fault>> {
    if text.len() > MAX_FILE_BYTES {
        return Err(vec![Fault {
            expected: format!("the file is longer than {MAX_FILE_BYTES} bytes"),
            ..Fault::default()
        }]);
    }
    let preset = match format {
        Format::Toml => toml::from_str(text).map_err(|error| from_toml(text, &error)),
        // Rejects an array, which serde would read as the fields in their order.
        Format::Json if !text.trim_start().starts_with('{') => {
            Err(fault_at(text, Some(1), "expected an object".to_owned()))
        }
        Format::Json => serde_json::from_str(text).map_err(|error| from_json(text, &error)),
    };
    let preset = preset.map_err(|fault| vec![fault])?;
    match check(&preset) {
        faults if faults.is_empty() => Ok(preset),
        faults => Err(faults
            .into_iter()
            .map(|fault| with_line(fault, text))
            .collect()),
    }
}

/// Returns every field of `preset` that is out of its range.
pub fn check(preset: &Preset) -> Vec<Fault> {
    let Err(report) = preset.validate() else {
        return Vec::new();
    };
    let values = serde_json::to_value(preset).unwrap_or_default();
    let faults = report.iter().map(|(path, error)| {
        let field = path.to_string();
        Fault {
            line: None,
            value: values.get(&field).map(format_value),
            field: Some(field),
            expected: error.message().to_owned(),
        }
    });
    faults.collect()
}

/// Formats a value; JSON has no form of a float that isn't finite, which becomes null.
fn format_value(value: &serde_json::Value) -> String {
    match value {
        serde_json::Value::Null => "the value".to_owned(),
        value => value.to_string(),
    }
}

fn with_line(fault: Fault, text: &str) -> Fault {
    let field = fault.field.as_deref();
    let mut keys = text.lines().map(key);
    let line = keys.position(|key| key.is_some() && key == field);
    Fault {
        line: line.map(|line| line + 1),
        ..fault
    }
}

fn from_toml(text: &str, error: &toml::de::Error) -> Fault {
    let line = error
        .span()
        .and_then(|span| text.get(..span.start))
        .map(|before| before.matches('\n').count() + 1);
    fault_at(text, line, error.message().to_owned())
}

fn from_json(text: &str, error: &serde_json::Error) -> Fault {
    let full = error.to_string();
    let message = full.split(" at line ").next().unwrap_or_default();
    fault_at(text, Some(error.line()), message.to_owned())
}

fn fault_at(text: &str, line: Option<usize>, expected: String) -> Fault {
    let key = line
        .and_then(|line| text.lines().nth(line.checked_sub(1)?))
        .and_then(key);
    Fault {
        line,
        field: key.map(str::to_owned),
        value: None,
        expected,
    }
}

/// Returns the key at the start of a line of TOML or JSON.
fn key(line: &str) -> Option<&str> {
    let line = line.trim_start().trim_start_matches('{').trim_start();
    let (key, _) = line.split_once(['=', ':'])?;
    let key = key.trim().trim_matches('"');
    let is_name = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    (!key.is_empty() && key.bytes().all(is_name)).then_some(key)
}
