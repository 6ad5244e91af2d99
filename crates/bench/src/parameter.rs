//! Parameters in the query string of a URI.

use percent_encoding::percent_decode_str;

/// Returns the first value of the parameter `name`, as written and without percent-decoding.
pub fn text<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Returns the first value of the parameter `name`, decoded like that of a form.
pub fn decoded(query: &str, name: &str) -> Option<String> {
    let value = text(query, name)?.replace('+', " ");
    let value = percent_decode_str(&value).decode_utf8_lossy();
    Some(value.into_owned())
}

/// Returns the parameter `name` as a number; `None` if it is missing or isn't a number.
pub fn number(query: &str, name: &str) -> Option<u64> {
    text(query, name)?.parse().ok()
}
