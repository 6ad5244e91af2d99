//! HTTP/1.1 messages with a length, as the stand-ins read and write them.

use std::io::{self, BufRead, Write};

/// A request.
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// A response.
#[derive(Debug, Clone)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// Returns the value of a header.
pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let named = headers.iter().find(|(one, _)| one.eq_ignore_ascii_case(name));
    named.map(|(_, value)| value.as_str())
}

fn line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    match reader.read_line(&mut line)? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(line.trim_end().to_owned()),
    }
}

/// Reads the headers after the first line.
pub fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = line(reader)?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Reads a request with a length, or without a body.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Request> {
    let first = line(reader)?;
    let mut words = first.split(' ');
    let (Some(method), Some(target)) = (words.next(), words.next()) else {
        return Err(io::ErrorKind::InvalidData.into());
    };
    let headers = read_headers(reader)?;
    let length = header(&headers, "content-length").map_or(Ok(0), str::parse);
    let mut body = vec![0; length.map_err(|_| io::ErrorKind::InvalidData)?];
    reader.read_exact(&mut body)?;
    Ok(Request {
        method: method.to_owned(),
        target: target.to_owned(),
        headers,
        body,
    })
}

/// Reads the status line of a response.
pub fn read_status(reader: &mut impl BufRead) -> io::Result<u16> {
    let first = line(reader)?;
    let status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
    status.ok_or_else(|| io::ErrorKind::InvalidData.into())
}

/// Writes a response with a length.
pub fn write_response(writer: &mut impl Write, response: &Response) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {} Status\r\n", response.status);
    for (name, value) in &response.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", response.body.len()));
    let mut message = text.into_bytes();
    message.extend_from_slice(&response.body);
    writer.write_all(&message)?;
    writer.flush()
}
