//! Checks that an answer is the complete answer to its request.

use http::{
    HeaderMap,
    HeaderName,
    Response, //
};
use relay::HeaderNames;
use route::{
    Gather,
    Target, //
};

use super::history::{
    Kind,
    Version, //
};
use crate::servers::content::{
    self,
    Signature, //
};

/// Returns the services that a successful answer was made by; none for a failure.
///
/// # Errors
///
/// Returns what is wrong with the answer.
pub fn check(
    names: &HeaderNames,
    kind: Kind,
    id: &str,
    answer: &Response<impl AsRef<[u8]>>,
    versions: &[Version],
) -> Result<Vec<String>, String> {
    let headers = answer.headers();
    let signed = joined_values(headers, &names.signature);
    match (answer.status().as_u16(), kind, signed) {
        (200..300, Kind::Query, _) => check_query(names, id, answer, versions),
        (200..300, _, Some(signed)) => check_signed(id, &signed, answer.body().as_ref()),
        (200..300, _, None) => Err("a success without a signature".to_owned()),
        (status, _, Some(signed)) => check_failure(id, &signed, status),
        (_, _, None) => Ok(Vec::new()),
    }
}

fn joined_values(headers: &HeaderMap, name: &HeaderName) -> Option<String> {
    let values = headers.get_all(name).iter();
    let values: Vec<_> = values.filter_map(|value| value.to_str().ok()).collect();
    (!values.is_empty()).then(|| values.join(","))
}

fn own_signature(id: &str, signed: &str) -> Result<Signature, String> {
    let signature =
        Signature::parse(signed).ok_or_else(|| format!("{signed:?} is no signature"))?;
    match signature.request == id {
        true => Ok(signature),
        false => Err(format!("{signed} signs another request")),
    }
}

fn check_signed(id: &str, signed: &str, body: &[u8]) -> Result<Vec<String>, String> {
    let signature = own_signature(id, signed)?;
    match content::reply_body(&signature) == body {
        true => Ok(vec![signature.service]),
        false => Err(format!(
            "{signed}: {} bytes that aren't its body",
            body.len()
        )),
    }
}

fn check_failure(id: &str, signed: &str, status: u16) -> Result<Vec<String>, String> {
    let signature = own_signature(id, signed)?;
    match content::failure_status(&signature) == status {
        true => Ok(Vec::new()),
        false => Err(format!("{status} with the signature of {signed}")),
    }
}

fn check_query(
    names: &HeaderNames,
    id: &str,
    answer: &Response<impl AsRef<[u8]>>,
    versions: &[Version],
) -> Result<Vec<String>, String> {
    let parts = joined_values(answer.headers(), &names.parts).unwrap_or_default();
    let missing = joined_values(answer.headers(), &names.missing).unwrap_or_default();
    let missing: usize = missing.parse().unwrap_or(0);
    let mut services = Vec::new();
    for signed in parts.split(',').filter(|part| !part.trim().is_empty()) {
        let service = own_signature(id, signed)?.service;
        if services.contains(&service) {
            return Err(format!("{service} twice"));
        }
        services.push(service);
    }
    let mut routes = versions
        .iter()
        .flat_map(|version| version.table.routes().cloned());
    let matching = routes.find_map(|route| match &route.target {
        Target::Gather(gather) if matches_gather(gather, &services, missing) => {
            Some(gather.clone())
        }
        _ => None,
    });
    let Some(gather) = matching else {
        return Err(format!(
            "{services:?} and {missing} missing are no configuration's"
        ));
    };
    if services.len() < gather.min_shards() {
        return Err(format!("only {} parts", services.len()));
    }
    match content::merge(id, &services, gather.max_records) == answer.body().as_ref() {
        true => Ok(services),
        false => Err("records that aren't the greatest of the parts".to_owned()),
    }
}

fn matches_gather(gather: &Gather, services: &[String], missing: usize) -> bool {
    let is_named = |service: &String| gather.services.iter().any(|name| **name == **service);
    services.len() + missing == gather.services.len() && services.iter().all(is_named)
}
