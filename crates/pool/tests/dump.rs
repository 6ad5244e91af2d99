//! The dump can be asked for at any moment.

mod common;

use std::sync::Arc;

use config::{
    catalog::Service,
    Catalog,
    View, //
};
use pool::Pool;

#[test]
fn a_service_is_shown_before_it_has_been_used() {
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
