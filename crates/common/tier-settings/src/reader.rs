//! Reads values by key; each error names the key and its line.

use crate::error::{Address, Fault, SettingsError, Type};
use crate::ports::PortRange;
use crate::MAX_ENTRIES;
use compact_str::{format_compact, CompactString};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// Longest text of a value, in bytes.
const MAX_TEXT_BYTES: usize = 1_024;

/// A table and its name.
pub(crate) struct TableReader<'a> {
    text: &'a str,
    name: &'a str,
    table: &'a DeTable<'a>,
}

/// A value, if its key is there.
type Read<T> = Result<Option<T>, SettingsError>;

type Value<'a> = Spanned<DeValue<'a>>;

impl<'a> TableReader<'a> {
    pub fn new(text: &'a str, name: &'a str, table: &'a DeTable<'a>) -> Self {
        TableReader { text, name, table }
    }

    fn path(&self, key: &str) -> CompactString {
        if self.name.is_empty() {
            key.into()
        } else {
            format_compact!("{}.{key}", self.name)
        }
    }

    fn error(&self, key: &str, at: &Value<'_>, fault: Fault) -> SettingsError {
        SettingsError::new(&self.path(key), fault).at(self.text, at.span().start)
    }

    fn wrong_type(&self, key: &str, at: &Value<'_>, expected: Type) -> SettingsError {
        self.error(key, at, Fault::WrongType(expected))
    }

    /// Whether the key is there.
    pub fn has(&self, key: &str) -> bool {
        self.table.contains_key(key)
    }

    fn get(&self, key: &str) -> Option<&'a Value<'a>> {
        self.table.get(key)
    }

    /// A value that must be there.
    pub fn required<T>(&self, value: Option<T>, key: &str) -> Result<T, SettingsError> {
        value.ok_or_else(|| SettingsError::new(&self.path(key), Fault::Missing))
    }

    /// A table of this one.
    pub fn table(&self, key: &'a str) -> Read<TableReader<'a>> {
        let Some(value) = self.get(key) else {
            return Ok(None);
        };
        match value.get_ref() {
            DeValue::Table(table) => Ok(Some(TableReader {
                text: self.text,
                name: key,
                table,
            })),
            _ => Err(self.wrong_type(key, value, Type::Table)),
        }
    }

    fn checked_text(&self, key: &str, value: &Value<'_>) -> Result<CompactString, SettingsError> {
        let DeValue::String(text) = value.get_ref() else {
            return Err(self.wrong_type(key, value, Type::Text));
        };
        if text.len() > MAX_TEXT_BYTES {
            return Err(self.error(key, value, Fault::TextTooLong));
        }
        if text.chars().any(char::is_control) {
            return Err(self.error(key, value, Fault::ControlCharacters));
        }
        Ok(text.as_ref().into())
    }

    /// A text.
    pub fn text(&self, key: &str) -> Read<CompactString> {
        self.get(key)
            .map(|value| self.checked_text(key, value))
            .transpose()
    }

    /// A text that must not be empty.
    pub fn non_empty_text(&self, key: &str) -> Read<CompactString> {
        let Some(value) = self.get(key) else {
            return Ok(None);
        };
        let text = self.checked_text(key, value)?;
        if text.is_empty() {
            return Err(self.error(key, value, Fault::EmptyText));
        }
        Ok(Some(text))
    }

    /// True or false.
    pub fn flag(&self, key: &str) -> Read<bool> {
        let Some(value) = self.get(key) else {
            return Ok(None);
        };
        match value.get_ref() {
            DeValue::Boolean(flag) => Ok(Some(*flag)),
            _ => Err(self.wrong_type(key, value, Type::Flag)),
        }
    }

    /// The entries of a list; none if the key isn't there.
    fn list(&self, key: &str) -> Result<&'a [Value<'a>], SettingsError> {
        let Some(value) = self.get(key) else {
            return Ok(&[]);
        };
        match value.get_ref() {
            DeValue::Array(list) if list.len() > MAX_ENTRIES => {
                Err(self.error(key, value, Fault::TooManyEntries))
            }
            DeValue::Array(list) => Ok(list),
            _ => Err(self.wrong_type(key, value, Type::List)),
        }
    }

    /// A list of texts.
    pub fn texts(&self, key: &str) -> Result<Vec<CompactString>, SettingsError> {
        self.list(key)?
            .iter()
            .map(|value| self.checked_text(key, value))
            .collect()
    }

    /// All entries of the table, which must be texts.
    pub fn all_texts(&self) -> Result<BTreeMap<CompactString, CompactString>, SettingsError> {
        if self.table.len() > MAX_ENTRIES {
            return Err(SettingsError::new(self.name, Fault::TooManyEntries));
        }
        let read = |(key, value): (&Spanned<_>, _)| {
            let key: &str = AsRef::<str>::as_ref(Spanned::get_ref(key));
            Ok((key.into(), self.checked_text(key, value)?))
        };
        self.table.iter().map(read).collect()
    }

    fn parsed<T: FromStr>(
        &self,
        key: &str,
        value: &Value<'_>,
        expected: Address,
    ) -> Result<T, SettingsError> {
        let text = self.checked_text(key, value)?;
        let bad = || {
            self.error(
                key,
                value,
                Fault::BadAddress {
                    text: text.clone(),
                    expected,
                },
            )
        };
        text.parse().map_err(|_| bad())
    }

    /// An IP address.
    pub fn ip(&self, key: &str) -> Read<IpAddr> {
        self.get(key)
            .map(|value| self.parsed(key, value, Address::Ip))
            .transpose()
    }

    /// An IP address with a port; an empty text is none.
    pub fn socket_addr(&self, key: &str) -> Read<SocketAddr> {
        let Some(value) = self.get(key) else {
            return Ok(None);
        };
        if matches!(value.get_ref(), DeValue::String(text) if text.is_empty()) {
            return Ok(None);
        }
        self.parsed(key, value, Address::Socket).map(Some)
    }

    /// A list of IP addresses with ports.
    pub fn socket_addrs(&self, key: &str) -> Result<Vec<SocketAddr>, SettingsError> {
        let list = self.list(key)?.iter();
        list.map(|value| self.parsed(key, value, Address::Socket))
            .collect()
    }

    /// The first and the last port of a range.
    pub fn port_range(&self, key: &str) -> Read<PortRange> {
        let Some(value) = self.get(key) else {
            return Ok(None);
        };
        let port = |value: &Value<'_>| {
            number(value.get_ref())
                .filter(|number| number.fract() == 0.0 && (1.0..=65_535.0).contains(number))
                .map(|number| number as u16)
        };
        let range = match self.list(key)? {
            [first, last] => port(first).zip(port(last)),
            _ => None,
        };
        match range {
            Some((first, last)) if first <= last => Ok(Some(PortRange { first, last })),
            _ => Err(self.error(key, value, Fault::BadPortRange)),
        }
    }

    /// A finite number.
    fn number(&self, key: &str) -> Read<(f64, &'a Value<'a>)> {
        let Some(value) = self.get(key) else {
            return Ok(None);
        };
        match number(value.get_ref()) {
            Some(number) => Ok(Some((number, value))),
            None => Err(self.wrong_type(key, value, Type::Number)),
        }
    }
}

fn number(value: &DeValue<'_>) -> Option<f64> {
    let number = match value {
        DeValue::Integer(i) => i64::from_str_radix(i.as_str(), i.radix()).ok()? as f64,
        DeValue::Float(f) => f.as_str().parse().ok()?,
        _ => return None,
    };
    number.is_finite().then_some(number)
}

/// A key of a number: its default and its range.
pub(crate) struct NumberKey {
    pub key: &'static str,
    pub default: f64,
    pub min: f64,
    pub max: f64,
}

impl NumberKey {
    /// Any number of the range.
    pub fn read(&self, table: Option<&TableReader<'_>>) -> Result<f64, SettingsError> {
        let Some(table) = table else {
            return Ok(self.default);
        };
        let Some((found, value)) = table.number(self.key)? else {
            return Ok(self.default);
        };
        let (min, max) = (self.min, self.max);
        if (min..=max).contains(&found) {
            return Ok(found);
        }
        Err(table.error(self.key, value, Fault::OutOfRange { min, max, found }))
    }

    /// An integer of the range; a fraction is cut off.
    pub fn read_u64(&self, table: Option<&TableReader<'_>>) -> Result<u64, SettingsError> {
        Ok(self.read(table)? as u64)
    }

    /// A time in milliseconds, of a key that counts in `unit_ms` of them; rounded up.
    pub fn read_ms(
        &self,
        table: Option<&TableReader<'_>>,
        unit_ms: f64,
    ) -> Result<u64, SettingsError> {
        Ok((self.read(table)? * unit_ms).ceil() as u64)
    }
}
