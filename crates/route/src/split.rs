//! Distribution of a route's requests over services by weight.

use std::sync::Arc;

/// The fractional part of the golden ratio.
///
/// The fractional parts of its multiples fill the unit interval evenly, so that even a few hundred requests
/// follow the weights closely, with a counter as the only state.
const STRIDE: f64 = 0.618_033_988_749_894_8;

/// Services with their weights.
#[derive(Debug, Clone, PartialEq)]
pub struct Split(Vec<(Arc<str>, f64)>);

impl Split {
    /// Makes a split; services whose weight isn't above 0 get no requests.
    pub fn new(parts: Vec<(Arc<str>, f64)>) -> Self {
        let positive = |weight: f64| if weight > 0.0 { weight } else { 0.0 };
        let parts: Vec<_> = parts
            .into_iter()
            .map(|(name, weight)| (name, positive(weight)))
            .collect();
        Self(parts)
    }

    /// Returns the service for the request with the given sequence number, or `None` without a weight above 0.
    pub fn pick(&self, number: u64) -> Option<&Arc<str>> {
        let total: f64 = self.0.iter().map(|(_, weight)| weight).sum();
        let mut point = (number as f64 * STRIDE).fract() * total;
        for (name, weight) in self.0.iter().filter(|(_, weight)| *weight > 0.0) {
            if point < *weight {
                return Some(name);
            }
            point -= weight;
        }
        // Rounding may leave the point just beyond the last weight.
        self.0
            .iter()
            .rfind(|(_, weight)| *weight > 0.0)
            .map(|(name, _)| name)
    }

    /// Returns the services with their weights.
    pub fn parts(&self) -> &[(Arc<str>, f64)] {
        &self.0
    }

    /// Returns the services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        self.0.iter().map(|(name, _)| name)
    }
}
