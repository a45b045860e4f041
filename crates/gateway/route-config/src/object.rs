//! Reading the members of a JSON object by name; each fault tells the path of the member.

use compact_str::{format_compact, CompactString};
use jzon::object::Object;
use jzon::JsonValue;

use crate::error::{ConfigError, ConfigFault};

/// The largest integer that is exact in every reader of JSON.
pub(crate) const MAX_EXACT: u64 = 1 << 53;

/// An object and its path.
pub(crate) struct ObjectReader<'a> {
    object: &'a Object,
    path: CompactString,
}

/// The value of a member; none if it is missing.
type Member<T> = Result<Option<T>, ConfigError>;

impl<'a> ObjectReader<'a> {
    /// The members of a value that must be an object.
    pub fn of(value: &'a JsonValue, path: CompactString) -> Result<Self, ConfigError> {
        match value {
            JsonValue::Object(object) => Ok(ObjectReader { object, path }),
            _ => Err(ConfigError::new(
                ConfigFault::WrongType,
                display_path(&path),
                "must be an object",
            )),
        }
    }

    /// The path of a member.
    pub fn path(&self, name: &str) -> CompactString {
        if self.path.is_empty() {
            name.into()
        } else {
            format_compact!("{}.{name}", self.path)
        }
    }

    /// A fault of a member.
    pub fn error(&self, fault: ConfigFault, name: &str, detail: impl Into<String>) -> ConfigError {
        ConfigError::new(fault, &self.path(name), detail)
    }

    /// A member; `null` counts as missing.
    pub fn get(&self, name: &str) -> Option<&'a JsonValue> {
        self.object.get(name).filter(|value| !value.is_null())
    }

    /// Whether there is such a member, also if it is `null`.
    pub fn has(&self, name: &str) -> bool {
        self.object.get(name).is_some()
    }

    /// A required member.
    pub fn required<T>(&self, value: Option<T>, name: &str) -> Result<T, ConfigError> {
        value.ok_or_else(|| self.error(ConfigFault::Missing, name, "is missing"))
    }

    /// The members of an object.
    pub fn object(&self, name: &str) -> Member<ObjectReader<'a>> {
        self.get(name)
            .map(|value| ObjectReader::of(value, self.path(name)))
            .transpose()
    }

    /// The values of a list of at most `max_len`.
    pub fn list(&self, name: &str, max_len: usize) -> Result<&'a [JsonValue], ConfigError> {
        match self.get(name) {
            None => Ok(&[]),
            Some(JsonValue::Array(list)) if list.len() > max_len => Err(self.error(
                ConfigFault::TooManyEntries,
                name,
                format!("has {} entries; {max_len} are the most", list.len()),
            )),
            Some(JsonValue::Array(list)) => Ok(list),
            Some(_) => Err(self.error(ConfigFault::WrongType, name, "must be a list")),
        }
    }

    /// True or false.
    pub fn flag(&self, name: &str) -> Member<bool> {
        match self.get(name) {
            None => Ok(None),
            Some(JsonValue::Boolean(flag)) => Ok(Some(*flag)),
            Some(_) => Err(self.error(ConfigFault::WrongType, name, "must be true or false")),
        }
    }

    /// A text of at most `max_bytes`, without control characters; an empty one counts as missing.
    pub fn text(&self, name: &str, max_bytes: usize) -> Member<&'a str> {
        let Some(value) = self.get(name) else {
            return Ok(None);
        };
        let text = value
            .as_str()
            .ok_or_else(|| self.error(ConfigFault::WrongType, name, "must be a text"))?;
        if text.len() > max_bytes {
            return Err(self.error(
                ConfigFault::BadName,
                name,
                format!("is {} bytes long; {max_bytes} are the most", text.len()),
            ));
        }
        if text.chars().any(char::is_control) {
            return Err(self.error(ConfigFault::BadName, name, "holds control characters"));
        }
        Ok(Some(text).filter(|text| !text.is_empty()))
    }

    /// A number from 0 to `max`.
    pub fn number(&self, name: &str, max: f64) -> Member<f64> {
        let Some(value) = self.get(name) else {
            return Ok(None);
        };
        let number = value
            .as_f64()
            .ok_or_else(|| self.error(ConfigFault::WrongType, name, "must be a figure"))?;
        if !(0.0..=max).contains(&number) {
            return Err(self.error(
                ConfigFault::BadNumber,
                name,
                format!("is {number}; it must be from 0 to {max}"),
            ));
        }
        Ok(Some(number))
    }

    /// An integer from 0 to `max`; a fraction is rounded up.
    pub fn count(&self, name: &str, max: u64) -> Member<u64> {
        Ok(self
            .number(name, max as f64)?
            .map(|number| number.ceil() as u64))
    }

    /// An integer of 32 bits; a fraction is rounded up.
    pub fn count_u32(&self, name: &str) -> Member<u32> {
        Ok(self
            .count(name, u64::from(u32::MAX))?
            .map(|count| count as u32))
    }
}

/// The outermost object has no name of its own.
fn display_path(path: &str) -> &str {
    match path {
        "" => "the body",
        path => path,
    }
}
