//! Parameters in the query string of a URI.

/// Returns the first value of the parameter `name`, as written and without percent-decoding.
pub fn text<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Returns the parameter `name` as a number; `None` if it is missing or isn't a number.
pub fn number(query: &str, name: &str) -> Option<u64> {
    text(query, name)?.parse().ok()
}
