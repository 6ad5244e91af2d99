//! The little JSON that the stand-in store needs: members of an object as raw text.

/// Returns the raw text of a member of a JSON object.
pub fn member<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let bytes = object.as_bytes();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at = skip_space(bytes, at + 1);
    while bytes.get(at) == Some(&b'"') {
        let key_end = value_end(bytes, at)?;
        let key = &object[at + 1..key_end - 1];
        at = skip_space(bytes, key_end);
        if bytes.get(at) != Some(&b':') {
            return None;
        }
        let start = skip_space(bytes, at + 1);
        let end = value_end(bytes, start)?;
        if key == name {
            return Some(&object[start..end]);
        }
        at = skip_space(bytes, end);
        if bytes.get(at) != Some(&b',') {
            return None;
        }
        at = skip_space(bytes, at + 1);
    }
    None
}

/// Returns a text without its quotes.
pub fn unquoted(text: &str) -> Option<&str> {
    text.strip_prefix('"')?.strip_suffix('"')
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

fn value_end(bytes: &[u8], start: usize) -> Option<usize> {
    let mut depth = 0_usize;
    let mut at = start;
    let mut is_text = false;
    while at < bytes.len() {
        match bytes[at] {
            b'\\' if is_text => at += 1,
            b'"' => is_text = !is_text,
            _ if is_text => {}
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return Some(at),
            b'}' | b']' => depth -= 1,
            b',' if depth == 0 => return Some(at),
            _ => {}
        }
        at += 1;
        let is_closed = depth == 0 && !is_text && matches!(bytes[at - 1], b'"' | b'}' | b']');
        if is_closed {
            return Some(at);
        }
    }
    (at > start).then_some(at)
}
