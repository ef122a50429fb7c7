//! Structured log lines on standard error, as text or JSON. Every line has a stable event name in its field
//! `event`. The lines of each call site are rate-limited, so that an error that occurs a thousand times a
//! second does not fill a disk.
#![warn(missing_docs)]

use std::collections::HashMap;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use operator::{LogFormat, LogLevel};
use tracing::callsite::Identifier;
use tracing::{Event, Metadata, Subscriber};
use tracing_subscriber::filter::LevelFilter;
use tracing_subscriber::layer::{Context, Filter, SubscriberExt};
use tracing_subscriber::{fmt, reload, Layer, Registry};

pub use tracing::{debug, error, info, warn};

/// Maximum number of lines of a call site in each [`WINDOW`]; further ones are counted and suppressed.
const MAX_LINES: u32 = 200;
/// Period of the rate limit.
const WINDOW: Duration = Duration::from_secs(10);

/// Handle of the running log.
pub struct Handle {
    level: reload::Handle<LevelFilter, Registry>,
    suppressed: Arc<AtomicU64>,
}

impl Handle {
    /// Sets the log level.
    pub fn set_level(&self, level: LogLevel) {
        // Fails only if the subscriber is gone, which lives as long as the process.
        let _ = self.level.reload(filter(level));
    }

    /// Returns the number of lines suppressed by the rate limit.
    pub fn suppressed_lines(&self) -> u64 {
        self.suppressed.load(Ordering::Relaxed)
    }
}

/// Starts the log on standard error. Only the first call in a process has an effect.
pub fn start(level: LogLevel, format: LogFormat) -> Handle {
    let (level, handle) = reload::Layer::new(filter(level));
    let suppressed = Arc::new(AtomicU64::new(0));
    let rate_limit = RateLimit { suppressed: suppressed.clone(), lines: Mutex::default() };
    // A failed write to standard error, such as a closed pipe, is ignored and not reported to standard error.
    let lines =
        fmt::layer().with_writer(io::stderr).with_ansi(false).with_target(false).log_internal_errors(false);
    let lines: Box<dyn Layer<_> + Send + Sync> = match format {
        LogFormat::Human => Box::new(lines.compact().with_filter(rate_limit)),
        LogFormat::Json => Box::new(lines.json().flatten_event(true).with_filter(rate_limit)),
    };
    let _ = tracing::subscriber::set_global_default(Registry::default().with(level).with(lines));
    Handle { level: handle, suppressed }
}

fn filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::ERROR,
        LogLevel::Warn => LevelFilter::WARN,
        LogLevel::Info => LevelFilter::INFO,
        LogLevel::Debug => LevelFilter::DEBUG,
    }
}

/// Rate limit per call site. The number of entries is bounded by the number of call sites in the program.
struct RateLimit {
    suppressed: Arc<AtomicU64>,
    lines: Mutex<HashMap<Identifier, (Instant, u32)>>,
}

impl<S: Subscriber> Filter<S> for RateLimit {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        let now = Instant::now();
        let Ok(mut lines) = self.lines.lock() else { return true };
        let (window_start, count) = lines.entry(event.metadata().callsite()).or_insert((now, 0));
        if now.duration_since(*window_start) >= WINDOW {
            (*window_start, *count) = (now, 0);
        }
        *count += 1;
        let passes = *count <= MAX_LINES;
        self.suppressed.fetch_add(u64::from(!passes), Ordering::Relaxed);
        passes
    }
}
