//! Decides when server connections are opened, reused and closed, and who waits for one.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;

/// Identifies interchangeable connections: those to one member, for one user and database.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    /// The member.
    pub member: Rc<str>,
    /// The user.
    pub user: Rc<str>,
    /// The database.
    pub database: Rc<str>,
}

/// Limits of the pools; times in seconds.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// Maximum number of connections over all keys.
    pub max_connections: usize,
    /// Maximum number of connections of one key.
    pub max_per_key: usize,
    /// Additional connections of one key, for requests that have waited for `reserve_after`.
    pub reserve_per_key: usize,
    /// How long a request waits before it may use the reserve.
    pub reserve_after: f64,
    /// A connection that has been idle for this long is closed, unless its key has no more than
    /// `min_per_key`.
    pub idle_timeout: f64,
    /// Connections of one key that are not closed for being idle.
    pub min_per_key: usize,
    /// Age from which a connection is not reused, shortened at random by up to a tenth for each connection,
    /// so that connections opened together are not closed together.
    pub max_lifetime: f64,
}

impl Default for PoolLimits {
    fn default() -> Self {
        PoolLimits {
            max_connections: 20,
            max_per_key: 10,
            reserve_per_key: 0,
            reserve_after: 0.5,
            idle_timeout: 30.0,
            min_per_key: 0,
            max_lifetime: 3_600.0,
        }
    }
}

/// The result of a request for a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acquisition {
    /// Use this idle connection.
    Reuse(u64),
    /// Open a new connection.
    Open,
    /// Close this idle connection, then open a new one.
    ReplaceIdle(u64),
    /// None is available: the ticket is queued, and [`Pools::next_ticket`] returns it when one is.
    Wait,
}

#[derive(Clone, Copy, Debug)]
struct PooledConnection {
    /// Time from which the connection is closed once it is idle.
    retire_at: f64,
    /// Time since which the connection has been idle; none while it is in use.
    idle_since: Option<f64>,
    /// Hash of the settings that the connection was released with.
    settings_hash: u64,
}

/// The requests that wait for a connection of one key, by tenant; the tenants are served round-robin.
#[derive(Default)]
struct Queue {
    /// Tickets in order of arrival, each with the time at which it was queued.
    tenants: BTreeMap<String, VecDeque<(u64, f64)>>,
    /// The tenant that was served last.
    last_tenant: String,
}

impl Queue {
    /// Removes the first ticket of the tenant whose turn it is.
    fn pop_next(&mut self) -> Option<u64> {
        let after = self.tenants.range::<str, _>((
            std::ops::Bound::Excluded(self.last_tenant.as_str()),
            std::ops::Bound::Unbounded,
        ));
        let tenant = after.map(|(tenant, _)| tenant).next().or_else(|| self.tenants.keys().next())?.clone();
        let waiting = self.tenants.get_mut(&tenant)?;
        let ticket = waiting.pop_front().map(|(ticket, _)| ticket);
        if waiting.is_empty() {
            self.tenants.remove(&tenant);
        }
        self.last_tenant = tenant;
        ticket
    }

    /// Returns when the oldest ticket was queued.
    fn oldest_since(&self) -> f64 {
        let first = self.tenants.values().filter_map(|waiting| waiting.front());
        first.map(|(_, since)| *since).fold(f64::INFINITY, f64::min)
    }

    /// Removes the ticket that has waited longest.
    fn pop_oldest(&mut self) -> Option<u64> {
        let since = self.oldest_since();
        let waiting =
            self.tenants.values_mut().find(|waiting| waiting.front().is_some_and(|f| f.1 <= since))?;
        let ticket = waiting.pop_front().map(|(ticket, _)| ticket);
        self.tenants.retain(|_, waiting| !waiting.is_empty());
        ticket
    }

    fn remove(&mut self, ticket: u64) {
        self.tenants.values_mut().for_each(|waiting| waiting.retain(|queued| queued.0 != ticket));
        self.tenants.retain(|_, waiting| !waiting.is_empty());
    }
}

/// All server connections, by number, and the requests that wait for one.
pub struct Pools {
    limits: PoolLimits,
    connections: HashMap<Key, BTreeMap<u64, PooledConnection>>,
    count: usize,
    queues: BTreeMap<Key, Queue>,
    /// The ticket that may open a connection from the reserve.
    reserve_ticket: Option<u64>,
    rng: fastrand::Rng,
}

impl Pools {
    /// Creates pools without connections; `seed` determines the random lifetimes.
    pub fn new(limits: PoolLimits, seed: u64) -> Pools {
        let rng = fastrand::Rng::with_seed(seed);
        Pools {
            limits,
            connections: HashMap::new(),
            count: 0,
            queues: BTreeMap::new(),
            reserve_ticket: None,
            rng,
        }
    }

    /// Returns the number of connections.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Returns the number of keys of which anything is kept.
    pub fn tracked_keys(&self) -> usize {
        self.connections.len() + self.queues.len()
    }

    /// Returns the number of queued tickets.
    pub fn waiting(&self) -> usize {
        self.queues.values().flat_map(|queue| queue.tenants.values()).map(VecDeque::len).sum()
    }

    /// Requests a connection for a session. An idle connection that was released with the session's settings
    /// is preferred.
    pub fn acquire(
        &mut self,
        now: f64,
        key: &Key,
        settings_hash: u64,
        tenant: &str,
        ticket: u64,
    ) -> Acquisition {
        let reserve = self
            .reserve_ticket
            .take_if(|reserved| *reserved == ticket)
            .map_or(0, |_| self.limits.reserve_per_key);
        // No entry is made before a connection is opened: users and databases are names that clients choose.
        let of_key = self.connections.get(key);
        // Among equals, the most recently used one is taken, so that the others reach the idle timeout.
        let idle = of_key.into_iter().flatten().filter_map(|(n, connection)| {
            connection.idle_since.filter(|_| now < connection.retire_at).map(|at| (n, connection, at))
        });
        let best = idle.max_by(|a, b| {
            (a.1.settings_hash == settings_hash, a.2)
                .partial_cmp(&(b.1.settings_hash == settings_hash, b.2))
                .unwrap_or(std::cmp::Ordering::Equal)
        });
        if let Some(number) = best.map(|(number, ..)| *number) {
            let connection = self.connections.get_mut(key).and_then(|of_key| of_key.get_mut(&number));
            connection.into_iter().for_each(|connection| connection.idle_since = None);
            return Acquisition::Reuse(number);
        }
        if of_key.map_or(0, BTreeMap::len) < self.limits.max_per_key + reserve {
            if self.count < self.limits.max_connections {
                return Acquisition::Open;
            }
            if let Some(other) = self.longest_idle() {
                return Acquisition::ReplaceIdle(other);
            }
        }
        let queue = self.queues.entry(key.clone()).or_default();
        queue.tenants.entry(tenant.to_string()).or_default().push_back((ticket, now));
        Acquisition::Wait
    }

    /// Returns the connection that has been idle for longest.
    fn longest_idle(&self) -> Option<u64> {
        let all = self.connections.values().flatten();
        let idle = all.filter_map(|(number, connection)| connection.idle_since.map(|since| (*number, since)));
        idle.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(number, _)| number)
    }

    /// Returns true if the limits permit one more connection of a key.
    pub fn can_open(&self, key: &Key) -> bool {
        self.count < self.limits.max_connections
            && self.connections.get(key).map_or(0, BTreeMap::len) < self.limits.max_per_key
    }

    /// Records that a connection is being opened, in use by the session that requested it.
    pub fn opened(&mut self, now: f64, key: &Key, number: u64) {
        let retire_at = now + self.limits.max_lifetime * (1.0 - 0.1 * self.rng.f64());
        self.connections
            .entry(key.clone())
            .or_default()
            .insert(number, PooledConnection { retire_at, idle_since: None, settings_hash: 0 });
        self.count += 1;
    }

    /// Records that a connection is idle, with the hash of its settings. Returns false if the connection is
    /// unknown or too old for reuse.
    pub fn release(&mut self, now: f64, key: &Key, number: u64, settings_hash: u64) -> bool {
        let Some(connection) = self.connections.get_mut(key).and_then(|of_key| of_key.get_mut(&number))
        else {
            return false;
        };
        (connection.idle_since, connection.settings_hash) = (Some(now), settings_hash);
        now < connection.retire_at
    }

    /// Removes a connection that has been closed.
    pub fn closed(&mut self, key: &Key, number: u64) {
        let Some(of_key) = self.connections.get_mut(key) else { return };
        self.count -= usize::from(of_key.remove(&number).is_some());
        if of_key.is_empty() {
            self.connections.remove(key);
        }
    }

    /// Removes and returns the next ticket for which a connection is available now; its owner must call
    /// [`Pools::acquire`] again.
    pub fn next_ticket(&mut self, now: f64) -> Option<u64> {
        let available = |pools: &Pools, key: &Key| {
            let of_key = pools.connections.get(key);
            let idle = of_key
                .is_some_and(|of_key| of_key.values().any(|k| k.idle_since.is_some() && now < k.retire_at));
            let room = of_key.map_or(0, BTreeMap::len) < pools.limits.max_per_key;
            idle || room && (pools.count < pools.limits.max_connections || pools.longest_idle().is_some())
        };
        let reserve_due = |pools: &Pools, (key, queue): (&Key, &Queue)| {
            let waited = now - queue.oldest_since() >= pools.limits.reserve_after;
            let room = pools.connections.get(key).map_or(0, BTreeMap::len)
                < pools.limits.max_per_key + pools.limits.reserve_per_key;
            waited && room && (pools.count < pools.limits.max_connections || pools.longest_idle().is_some())
        };
        let found = self.queues.keys().find(|key| available(self, key)).cloned();
        let (key, from_reserve) = match found {
            Some(key) => (key, false),
            None => (
                self.queues.iter().find(|entry| reserve_due(self, *entry)).map(|(key, _)| key.clone())?,
                true,
            ),
        };
        let queue = self.queues.get_mut(&key)?;
        let ticket = if from_reserve { queue.pop_oldest() } else { queue.pop_next() };
        self.reserve_ticket = ticket.filter(|_| from_reserve);
        if queue.tenants.is_empty() {
            self.queues.remove(&key);
        }
        ticket
    }

    /// Removes a ticket from its queue.
    pub fn cancel_wait(&mut self, ticket: u64) {
        self.queues.values_mut().for_each(|queue| queue.remove(ticket));
        self.queues.retain(|_, queue| !queue.tenants.is_empty());
    }

    /// Returns the idle connections that have reached their lifetime or the idle timeout.
    pub fn expired_connections(&mut self, now: f64) -> Vec<u64> {
        let mut expired = Vec::new();
        for of_key in self.connections.values() {
            let mut left = of_key.len();
            let mut idle: Vec<_> = of_key
                .iter()
                .filter_map(|(n, k)| k.idle_since.map(|since| (since, *n, k.retire_at)))
                .collect();
            idle.sort_by(|a, b| a.0.total_cmp(&b.0));
            for (since, number, retire_at) in idle {
                if now >= retire_at
                    || (now >= since + self.limits.idle_timeout && left > self.limits.min_per_key)
                {
                    expired.push(number);
                    left -= 1;
                }
            }
        }
        expired
    }
}
