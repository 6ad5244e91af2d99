//! Replies of watchers: round trips, wrong and oversized ones.

use std::{
    io::Write,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use flate2::{
    write::ZlibEncoder,
    Compression, //
};
use http::{
    Response,
    Uri, //
};
use platform::{
    Failure,
    Listing, //
};
use relay::{
    feed::{
        parse_reply,
        Query, //
    },
    mirror::{
        Mirror,
        Position,
        Reading, //
    },
};

const MAX_AGE: Duration = Duration::from_secs(4);

fn response(status: u16, encoding: Option<&str>, age: &str, body: Vec<u8>) -> Response<Bytes> {
    let mut response = Response::builder()
        .status(status)
        .header("tanageryoke-age-ms", age);
    if let Some(encoding) = encoding {
        response = response.header("content-encoding", encoding);
    }
    response.body(Bytes::from(body)).expect("a response")
}

fn result(response: &Response<Bytes>) -> Result<Option<u64>, Failure> {
    let reading = parse_reply(response, MAX_AGE)?;
    Ok(reading.map(|reading| reading.listing.revision))
}

fn compressed(plain: &[u8]) -> Vec<u8> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(plain).expect("written");
    encoder.finish().expect("finished")
}

#[test]
fn reply_is_a_reading_or_a_failure() {
    let listing = b"{\"era\":1,\"revision\":7,\"objects\":[]}".to_vec();
    let bomb = compressed(&vec![b' '; 64 * 1024 * 1024]);
    let results = [
        result(&response(200, None, "12", listing.clone())),
        result(&response(200, Some("deflate"), "12", compressed(&listing))),
        result(&response(204, None, "", Vec::new())),
        result(&response(200, None, "9000", listing.clone())),
        result(&response(200, None, "-1", listing.clone())),
        result(&response(200, Some("deflate"), "12", listing)),
        result(&response(200, Some("deflate"), "12", bomb)),
        result(&response(200, None, "12", b"{}".to_vec())),
        result(&response(409, None, "12", Vec::new())),
        result(&response(410, None, "12", Vec::new())),
        result(&response(503, None, "12", Vec::new())),
        result(&response(404, None, "12", Vec::new())),
    ];
    insta::assert_debug_snapshot!(results);
}

#[test]
fn query_round_trips() {
    let after = Some(Position {
        era: 3,
        revision: 99,
    });
    for (after, wait_ms, is_probe) in [(None, 0, false), (after, 1_500, false), (after, 20, true)] {
        let query = Query {
            kind: "servers",
            after,
            wait: Duration::from_millis(wait_ms),
            generation: after.map(|after| after.revision),
            is_probe,
        };
        let uri: Uri = query.target().parse().expect("a target");
        assert_eq!(Query::parse(&uri), Some(query));
    }
}

#[test]
fn arbitrary_replies_and_targets_do_not_panic() {
    bolero::check!()
        .with_type::<(bool, Vec<u8>, String)>()
        .for_each(|(is_compressed, body, path)| {
            let encoding = is_compressed.then_some("deflate");
            // Only that it returns is of interest.
            let _ = result(&response(200, encoding, "1", body.clone()));
            if let Ok(uri) = format!("/feed/{path}").parse::<Uri>() {
                let _ = Query::parse(&uri);
            }
        });
}

fn listing(era: u64, revision: u64, names: &[(&str, u64)]) -> Listing {
    let objects = names.iter().map(|(name, version)| {
        let text = format!("{{\"name\":\"{name}\",\"version\":{version},\"value\":{version}}}");
        serde_json::from_str(&text).expect("an object")
    });
    Listing {
        era,
        revision,
        objects: objects.collect(),
        deleted: Vec::new(),
    }
}

fn reading(listing: Listing) -> Reading {
    Reading {
        listing,
        fresh_at: Instant::now(),
    }
}

/// A watcher lists again after the store has compacted its history: readers get the differences only, and only those of
/// another era or from before the first listing have to list again.
#[test]
fn reader_resumes_after_a_new_listing_of_the_same_era() {
    let mirror = Mirror::default();
    let changes = |era, revision| {
        let reading = mirror.changes("kind", Position { era, revision })?;
        let listing = reading.listing;
        let changed = listing.objects.iter().map(|object| object.name.to_string());
        let deleted = listing.deleted.iter().map(|name| format!("-{name}"));
        Ok::<_, Failure>((listing.revision, changed.chain(deleted).collect::<Vec<_>>()))
    };
    let mut results = vec![changes(1, 5)];
    mirror.replace("kind", &reading(listing(1, 10, &[("a", 3), ("b", 8)])));
    results.extend([changes(1, 9), changes(1, 10)]);
    mirror.update("kind", &reading(listing(1, 12, &[("c", 12)])));
    mirror.replace("kind", &reading(listing(1, 20, &[("b", 8), ("c", 15)])));
    results.extend([
        changes(1, 10),
        changes(1, 12),
        changes(1, 20),
        changes(2, 3),
    ]);
    mirror.replace("kind", &reading(listing(2, 6, &[("a", 3)])));
    results.extend([changes(1, 20), changes(2, 5), changes(2, 6)]);
    insta::assert_debug_snapshot!(results);
}
