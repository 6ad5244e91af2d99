//! Parameters in the query string of a URI.

use percent_encoding::percent_decode_str;

/// Returns the first value of the parameter `name`, decoded like that of a form.
pub fn text(query: &str, name: &str) -> Option<String> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    let value = value.replace('+', " ");
    Some(percent_decode_str(&value).decode_utf8_lossy().into_owned())
}

/// Returns the parameter `name` as a number; `None` if it is missing or isn't a number.
pub fn number(query: &str, name: &str) -> Option<u64> {
    text(query, name)?.parse().ok()
}
