//! Malformed replies, written to the socket past the HTTP codec.

use super::fault::MalformedReply;
use crate::socket::Socket;

/// Writes the bytes that a fault of this kind sends before or instead of the reply with `body`.
pub fn write(kind: MalformedReply, socket: Socket, body: &str) {
    match kind {
        MalformedReply::None | MalformedReply::WrongRequest => {}
        MalformedReply::Duplicate => socket.write(complete_reply(body).as_bytes()),
        MalformedReply::Truncate => {
            let text = complete_reply(body);
            let half = text.len() - body.len() / 2;
            socket.write(&text.as_bytes()[..half]);
            socket.shutdown();
        }
        MalformedReply::Nonsense => {
            socket.write(b"\x00\xff?? this is no reply\r\n\r\n");
            socket.shutdown();
        }
        MalformedReply::TwoLengths => {
            let length = body.len();
            let lengths = format!("Content-Length: {length}\r\nContent-Length: 2\r\n");
            socket.write(format!("HTTP/1.1 200 OK\r\n{lengths}\r\n{body}").as_bytes());
            socket.shutdown();
        }
    }
}

fn complete_reply(body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
}
