//! Malformed replies, written to the socket past the HTTP codec.

use super::fault::Garble;
use crate::socket::Socket;

/// Writes the bytes that the fault sends before or instead of the reply with `body`.
pub fn write_malformed(garble: Garble, socket: Socket, body: &str) {
    match garble {
        Garble::None | Garble::WrongRequest => {}
        Garble::Duplicate => socket.write(complete_reply(body).as_bytes()),
        Garble::Truncate => {
            let text = complete_reply(body);
            let half = text.len() - body.len() / 2;
            socket.write(&text.as_bytes()[..half]);
            socket.shutdown();
        }
        Garble::Nonsense => {
            socket.write(b"\x00\xff?? this is no reply\r\n\r\n");
            socket.shutdown();
        }
        Garble::TwoLengths => {
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
