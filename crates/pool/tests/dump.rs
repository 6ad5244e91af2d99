//! The state dump works at any time, also before a service has any latency sample.

mod common;

use std::sync::Arc;

use config::{
    catalog::Service,
    Catalog,
    View, //
};
use pool::Pool;

#[test]
fn state_lists_a_service_that_was_never_used() {
    let state = common::run(async {
        let pool = Pool::new(Arc::from("north-a"));
        let mut catalog = Catalog::default();
        let service = Arc::new(Service::default());
        catalog.services.insert(Arc::from("deskline-00"), service);
        let view = View {
            catalog: Arc::new(catalog),
            ..View::default()
        };
        pool.update(Arc::new(view), &|_| true);
        pool.state()
    });
    assert!(state.to_string().contains("deskline-00"), "{state}");
}
