//! Distribution of a route's requests over services by weight.

use std::sync::Arc;

/// The fractional part of the golden ratio.
///
/// Multiples of it fill the unit interval evenly, so that even a few hundred requests keep close to
/// the weights without any state but a counter.
const STRIDE: f64 = 0.618_033_988_749_894_8;

/// Services with their shares.
#[derive(Debug, Clone, PartialEq)]
pub struct Split(Vec<(Arc<str>, f64)>);

impl Split {
    /// Makes a split of services with weights; weights that aren't above 0 get no requests.
    pub fn new(parts: Vec<(Arc<str>, f64)>) -> Self {
        let weight = |weight: f64| if weight > 0.0 { weight } else { 0.0 };
        let parts: Vec<_> = parts
            .into_iter()
            .map(|(name, part)| (name, weight(part)))
            .collect();
        Self(parts)
    }

    /// Returns the service of the `number`th request.
    pub fn pick(&self, number: u64) -> Option<&Arc<str>> {
        let total: f64 = self.0.iter().map(|(_, weight)| weight).sum();
        let mut point = (number as f64 * STRIDE).fract() * total;
        for (name, weight) in self.0.iter().filter(|(_, weight)| *weight > 0.0) {
            if point < *weight {
                return Some(name);
            }
            point -= weight;
        }
        // Rounding may leave the point just beyond the last part.
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
