//! When a server connection is opened, used again, waited for or closed.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;

/// Connections that can stand for one another: of one member, user and database.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    /// The member.
    pub member: Rc<str>,
    /// The user.
    pub user: Rc<str>,
    /// The database.
    pub database: Rc<str>,
}

/// Bounds of the pools; times in seconds.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// Most connections in all.
    pub max_connections: usize,
    /// Most connections of one key.
    pub max_per_key: usize,
    /// So many more of one key, for whoever has waited for `reserve_after`.
    pub reserve_per_key: usize,
    /// How long somebody waits before the reserve is for him.
    pub reserve_after: f64,
    /// A connection that nobody has used for so long is closed ...
    pub idle_timeout: f64,
    /// ... unless there are no more of its key than this.
    pub min_per_key: usize,
    /// A connection is not used again once it is so old, less up to a tenth that is drawn for each: those that were
    /// opened together are not closed together.
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

/// What a session that wants a connection gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acquisition {
    /// This one.
    Reuse(u64),
    /// A new one.
    Open,
    /// A new one, once this idle one of another key is closed.
    ReplaceIdle(u64),
    /// None yet: its ticket is called when one is free.
    Wait,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    /// Closed from then on, once it is idle.
    old: f64,
    /// Since when it has been idle; none while it is used.
    idle: Option<f64>,
    /// The state that it was left in.
    state: u64,
}

/// Those that wait for a connection of one key, by tenant: each tenant has its turn.
#[derive(Default)]
struct Queue {
    /// Tickets, with the time since when each waits.
    tenants: BTreeMap<String, VecDeque<(u64, f64)>>,
    /// The tenant that was served last.
    last: String,
}

impl Queue {
    fn next(&mut self) -> Option<u64> {
        let after = self
            .tenants
            .range::<str, _>((std::ops::Bound::Excluded(self.last.as_str()), std::ops::Bound::Unbounded));
        let tenant = after.map(|(tenant, _)| tenant).next().or_else(|| self.tenants.keys().next())?.clone();
        let waiting = self.tenants.get_mut(&tenant)?;
        let ticket = waiting.pop_front().map(|(ticket, _)| ticket);
        if waiting.is_empty() {
            self.tenants.remove(&tenant);
        }
        self.last = tenant;
        ticket
    }

    /// Since when the one that has waited longest waits.
    fn since(&self) -> f64 {
        let first = self.tenants.values().filter_map(|waiting| waiting.front());
        first.map(|(_, since)| *since).fold(f64::INFINITY, f64::min)
    }

    /// The ticket that has waited longest.
    fn oldest(&mut self) -> Option<u64> {
        let since = self.since();
        let waiting =
            self.tenants.values_mut().find(|waiting| waiting.front().is_some_and(|f| f.1 <= since))?;
        let ticket = waiting.pop_front().map(|(ticket, _)| ticket);
        self.tenants.retain(|_, waiting| !waiting.is_empty());
        ticket
    }

    fn remove(&mut self, ticket: u64) {
        self.tenants.values_mut().for_each(|waiting| waiting.retain(|known| known.0 != ticket));
        self.tenants.retain(|_, waiting| !waiting.is_empty());
    }
}

/// All connections to servers, by number, and who waits for one.
pub struct Pools {
    pace: PoolLimits,
    known: HashMap<Key, BTreeMap<u64, Known>>,
    count: usize,
    queues: BTreeMap<Key, Queue>,
    /// Whose turn it is to open a connection out of the reserve.
    reserved: Option<u64>,
    rng: fastrand::Rng,
}

impl Pools {
    /// No connections yet.
    pub fn new(pace: PoolLimits, seed: u64) -> Pools {
        let rng = fastrand::Rng::with_seed(seed);
        Pools { pace, known: HashMap::new(), count: 0, queues: BTreeMap::new(), reserved: None, rng }
    }

    /// How many connections there are.
    pub fn count(&self) -> usize {
        self.count
    }

    /// How many wait.
    pub fn waiting(&self) -> usize {
        self.queues.values().flat_map(|queue| queue.tenants.values()).map(VecDeque::len).sum()
    }

    /// A session wants a connection; one that was left in its state is the best.
    pub fn acquire(&mut self, now: f64, key: &Key, state: u64, tenant: &str, ticket: u64) -> Acquisition {
        let reserve =
            self.reserved.take_if(|reserved| *reserved == ticket).map_or(0, |_| self.pace.reserve_per_key);
        let each = self.known.entry(key.clone()).or_default();
        // Of one state, the one that was used last: the others may grow old and be closed.
        let idle = each
            .iter()
            .filter_map(|(n, known)| known.idle.filter(|_| now < known.old).map(|at| (n, known, at)));
        let best = idle.max_by(|a, b| {
            (a.1.state == state, a.2)
                .partial_cmp(&(b.1.state == state, b.2))
                .unwrap_or(std::cmp::Ordering::Equal)
        });
        if let Some(number) = best.map(|(number, ..)| *number) {
            if let Some(known) = each.get_mut(&number) {
                known.idle = None;
            }
            return Acquisition::Reuse(number);
        }
        if each.len() < self.pace.max_per_key + reserve {
            if self.count < self.pace.max_connections {
                return Acquisition::Open;
            }
            if let Some(other) = self.idlest() {
                return Acquisition::ReplaceIdle(other);
            }
        }
        let queue = self.queues.entry(key.clone()).or_default();
        queue.tenants.entry(tenant.to_string()).or_default().push_back((ticket, now));
        Acquisition::Wait
    }

    /// The connection that has been idle for longest.
    fn idlest(&self) -> Option<u64> {
        let all = self.known.values().flatten();
        let idle = all.filter_map(|(number, known)| known.idle.map(|since| (*number, since)));
        idle.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(number, _)| number)
    }

    /// Whether one more connection of a key may be opened.
    pub fn can_open(&self, key: &Key) -> bool {
        self.count < self.pace.max_connections
            && self.known.get(key).map_or(0, BTreeMap::len) < self.pace.max_per_key
    }

    /// A connection is being made, and used by whoever asked for it.
    pub fn opened(&mut self, now: f64, key: &Key, number: u64) {
        let old = now + self.pace.max_lifetime * (1.0 - 0.1 * self.rng.f64());
        self.known.entry(key.clone()).or_default().insert(number, Known { old, idle: None, state: 0 });
        self.count += 1;
    }

    /// A connection is no longer used, in this state. Whether it is kept.
    pub fn release(&mut self, now: f64, key: &Key, number: u64, state: u64) -> bool {
        let Some(known) = self.known.get_mut(key).and_then(|each| each.get_mut(&number)) else {
            return false;
        };
        (known.idle, known.state) = (Some(now), state);
        now < known.old
    }

    /// A connection has been closed.
    pub fn closed(&mut self, key: &Key, number: u64) {
        let Some(each) = self.known.get_mut(key) else { return };
        self.count -= usize::from(each.remove(&number).is_some());
        if each.is_empty() {
            self.known.remove(key);
        }
    }

    /// Whose turn it is, where a connection of a key can be had now; it has to ask again.
    pub fn next_ticket(&mut self, now: f64) -> Option<u64> {
        let free = |pools: &Pools, key: &Key| {
            let each = pools.known.get(key);
            let idle = each.is_some_and(|each| each.values().any(|k| k.idle.is_some() && now < k.old));
            let room = each.map_or(0, BTreeMap::len) < pools.pace.max_per_key;
            idle || room && (pools.count < pools.pace.max_connections || pools.idlest().is_some())
        };
        let reserve = |pools: &Pools, (key, queue): (&Key, &Queue)| {
            let waited = now - queue.since() >= pools.pace.reserve_after;
            let room = pools.known.get(key).map_or(0, BTreeMap::len)
                < pools.pace.max_per_key + pools.pace.reserve_per_key;
            waited && room && (pools.count < pools.pace.max_connections || pools.idlest().is_some())
        };
        let key = self.queues.keys().find(|key| free(self, key)).cloned();
        let (key, out_of_reserve) = match key {
            Some(key) => (key, false),
            None => (self.queues.iter().find(|one| reserve(self, *one)).map(|(key, _)| key.clone())?, true),
        };
        let queue = self.queues.get_mut(&key)?;
        let ticket = if out_of_reserve { queue.oldest() } else { queue.next() };
        self.reserved = ticket.filter(|_| out_of_reserve);
        if queue.tenants.is_empty() {
            self.queues.remove(&key);
        }
        ticket
    }

    /// Who has waited with this ticket waits no longer.
    pub fn cancel_wait(&mut self, ticket: u64) {
        self.queues.values_mut().for_each(|queue| queue.remove(ticket));
        self.queues.retain(|_, queue| !queue.tenants.is_empty());
    }

    /// The idle connections that are to be closed: too old, or unused for too long.
    pub fn expired_connections(&mut self, now: f64) -> Vec<u64> {
        let mut due = Vec::new();
        for each in self.known.values() {
            let mut left = each.len();
            let mut idle: Vec<_> =
                each.iter().filter_map(|(n, k)| k.idle.map(|since| (since, *n, k.old))).collect();
            idle.sort_by(|a, b| a.0.total_cmp(&b.0));
            for (since, number, old) in idle {
                if now >= old || (now >= since + self.pace.idle_timeout && left > self.pace.min_per_key) {
                    due.push(number);
                    left -= 1;
                }
            }
        }
        due
    }
}
