//! The outside seam to backend servers: a trait, and a link over HTTP/1.1.
