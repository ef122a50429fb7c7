//! What a client can make its session keep is bounded, whatever it sends and however slowly its server answers.

use pooling::{Acquisition, Key, PoolLimits, Pools};

/// Guards issue 55: each user and database that a client named left an entry behind, though no connection was
/// opened.
#[test]
fn users_without_a_connection_leave_nothing_in_the_pools() {
    let mut pools = Pools::new(PoolLimits::default(), 1);
    for n in 0..1_000 {
        let user = format!("user-{n}");
        let key = Key { member: "s-1".into(), user: user.as_str().into(), database: "shop".into() };
        assert_eq!(pools.acquire(0.0, &key, 0, "tenant", n), Acquisition::Open);
        pools.cancel_wait(n);
    }
    assert_eq!(pools.tracked_keys(), 0);
}
