//! Connections to a registry. TLS files are read when they are first needed, and again after a connection has
//! failed; the password file is read for each login.

use std::net::SocketAddr;

use buffer::Budget;
use http1::Request;
use operator::Registry as Settings;
use registry::{wire, SyncConfig};
use tls::{ClientContext, Session, Transport};

use crate::files;

/// Seconds in a day; also the interval between two warnings of a certificate that expires soon.
const SECONDS_PER_DAY: f64 = 86_400.0;

/// Opens connections to the endpoints of one registry.
pub(crate) struct Dialer {
    settings: Settings,
    /// TLS context for new sessions; none before the files have been read, or without TLS.
    client: Option<ClientContext>,
    /// True if the TLS files may have been replaced since they were read.
    files_stale: bool,
    /// Earliest time of the next warning of a certificate that expires soon (Unix seconds).
    next_warning_at: f64,
}

impl Dialer {
    pub fn new(settings: &Settings) -> Dialer {
        Dialer {
            settings: settings.clone(),
            client: None,
            files_stale: false,
            next_warning_at: f64::NEG_INFINITY,
        }
    }

    /// Creates a transport to an endpoint, with a request in its outbox. Reads the TLS files if they have not
    /// been read or may be stale.
    pub fn transport_with_request(
        &mut self,
        endpoint: SocketAddr,
        path: &str,
        body: &[u8],
        token: Option<&str>,
        budget: &Budget,
        now: f64,
    ) -> Result<Transport, String> {
        if self.client.is_none() || std::mem::take(&mut self.files_stale) {
            match files::registry_tls(&self.settings, now) {
                Ok(client) => (self.client, self.next_warning_at) = (client, f64::NEG_INFINITY),
                Err(fault) if self.client.is_none() => return Err(fault),
                Err(fault) => {
                    logging::warn!(event = "registry.tls", "the previous TLS files stay in use: {fault}")
                }
            }
        }
        let session = self.client.as_ref().map(|client| {
            let address = endpoint.ip().to_string();
            Session::new(client, self.settings.tls_name.as_ref().unwrap_or(&address), budget)
        });
        let mut transport = Transport::new(session.transpose().map_err(|fault| fault.to_string())?, budget);
        let host = endpoint.to_string();
        let host = self.settings.tls_name.as_ref().unwrap_or(&host);
        let request =
            Request { method: "POST", target: path, host, authorization: token, json_body: Some(body) };
        transport.outbox.push(&request.to_bytes()).map_err(|_| "no memory left")?;
        Ok(transport)
    }

    /// Body of a login request, which obtains a token.
    pub fn login_body(&self) -> Result<Vec<u8>, String> {
        let (user, file) = self
            .settings
            .user
            .as_ref()
            .zip(self.settings.password_file.as_ref())
            .ok_or("registry.user and registry.password_file are not set")?;
        Ok(wire::login_body(user, &files::read_password(file)?))
    }

    /// To be called when the remote side has caused a connection to fail: the TLS files are read again before
    /// the next connection, since they may have been replaced by then.
    pub fn mark_files_stale(&mut self) {
        self.files_stale = true;
    }

    /// Returns a warning if a certificate has expired or expires soon, at most once a day.
    pub fn expiry_warning(&mut self, now: f64) -> Option<String> {
        let (which, end) = self.client.as_ref().and_then(ClientContext::first_expiry)?;
        if now < self.next_warning_at {
            return None;
        }
        self.next_warning_at = now + SECONDS_PER_DAY;
        describe_expiry(&self.settings, which, end, now)
    }
}

/// Limits for synchronizing with a registry: when removals are accepted, and how long answers are waited for.
pub(crate) fn sync_config(settings: &Settings) -> SyncConfig {
    SyncConfig {
        max_removed_share: settings.guard_share,
        confirm_after: settings.guard_s,
        watch_timeout: settings.silence_s,
        call_timeout: settings.call_s,
        serializable: settings.serializable,
        login: settings.user.is_some(),
        ..SyncConfig::default()
    }
}

/// Describes the expiry at `end` of a certificate; none if it expires later than `tls_warn_days` from now.
fn describe_expiry(settings: &Settings, which: &str, end: f64, now: f64) -> Option<String> {
    let days = (end - now) / SECONDS_PER_DAY;
    let file = if which == "ca" { &settings.tls_ca } else { &settings.tls_cert };
    let file = file.as_ref().map(|path| path.display().to_string()).unwrap_or_default();
    match days {
        days if days <= 0.0 => Some(format!("{file}: a certificate in it has expired")),
        days if days <= settings.tls_warn_days => {
            Some(format!("{file}: a certificate in it expires in {days:.1} days"))
        }
        _ => None,
    }
}
