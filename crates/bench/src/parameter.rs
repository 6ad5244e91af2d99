//! Parameters of a URI's query.

/// Returns the text given for `name`, if there is some.
pub fn text<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Returns the number given for `name`, if there is one.
pub fn number(query: &str, name: &str) -> Option<u64> {
    text(query, name)?.parse().ok()
}
