//! What calls to a registry are made with: the files of TLS and of the login, read when they are first needed, and
//! a link to an endpoint with a call in it.

use std::net::SocketAddr;

use buffer::Budget;
use http1::Request;
use operator::Registry as Settings;
use registry::{wire, SyncConfig};
use tls::{ClientContext, Session, Transport};

use crate::files;

/// A day (seconds): how often a certificate that runs out is warned of.
const DAY: f64 = 86_400.0;

/// Makes links to the endpoints of one registry.
pub(crate) struct Dialer {
    settings: Settings,
    /// What sessions are made from; none before the files were read, or without TLS.
    client: Option<ClientContext>,
    /// Whether the files may have been replaced since.
    doubted: bool,
    /// A warning of certificates that run out is due then (Unix seconds).
    warn: f64,
}

impl Dialer {
    pub fn new(settings: &Settings) -> Dialer {
        Dialer { settings: settings.clone(), client: None, doubted: false, warn: f64::NEG_INFINITY }
    }

    /// A link to an endpoint, with a call in it that is to go. Reads files where they have not been read.
    pub fn link_with_request(
        &mut self,
        endpoint: SocketAddr,
        path: &str,
        body: &[u8],
        token: Option<&str>,
        budget: &Budget,
        now: f64,
    ) -> Result<Transport, String> {
        if self.client.is_none() || std::mem::take(&mut self.doubted) {
            match files::registry_tls(&self.settings, now) {
                Ok(client) => (self.client, self.warn) = (client, f64::NEG_INFINITY),
                Err(fault) if self.client.is_none() => return Err(fault),
                Err(fault) => {
                    logging::warn!(event = "registry.tls", "the files of before stay in use: {fault}")
                }
            }
        }
        let session = self.client.as_ref().map(|client| {
            let address = endpoint.ip().to_string();
            Session::new(client, self.settings.tls_name.as_ref().unwrap_or(&address), budget)
        });
        let mut link = Transport::new(session.transpose().map_err(|fault| fault.to_string())?, budget);
        let host = endpoint.to_string();
        let host = self.settings.tls_name.as_ref().unwrap_or(&host);
        let request =
            Request { method: "POST", target: path, host, authorization: token, json_body: Some(body) };
        link.outbox.push(&request.to_bytes()).map_err(|_| "no memory left")?;
        Ok(link)
    }

    /// The body of a call for a token.
    pub fn login_body(&self) -> Result<Vec<u8>, String> {
        let (user, file) =
            self.settings.user.as_ref().zip(self.settings.password_file.as_ref()).ok_or("no user")?;
        Ok(wire::login_body(user, &files::read_password(file)?))
    }

    /// A link made here has failed at the other side's hands: the files are read anew before the next, since they
    /// may have been replaced by then.
    pub fn mark_files_stale(&mut self) {
        self.doubted = true;
    }

    /// A warning of a certificate that runs out, once a day.
    pub fn expiry_warning(&mut self, now: f64) -> Option<String> {
        let (which, end) = self.client.as_ref().and_then(ClientContext::first_expiry)?;
        if now < self.warn {
            return None;
        }
        self.warn = now + DAY;
        expiring(&self.settings, which, end, now)
    }
}

/// When what a registry says is believed, and for how long it is waited for.
pub(crate) fn guard(settings: &Settings) -> SyncConfig {
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

/// What is to be said of a certificate that runs out at `end`, if anything is.
fn expiring(settings: &Settings, which: &str, end: f64, now: f64) -> Option<String> {
    let days = (end - now) / DAY;
    let file = if which == "ca" { &settings.tls_ca } else { &settings.tls_cert };
    let file = file.as_ref().map(|path| path.display().to_string()).unwrap_or_default();
    match days {
        days if days <= 0.0 => Some(format!("{file}: a certificate in it has run out")),
        days if days <= settings.tls_warn_days => {
            Some(format!("{file}: a certificate in it runs out in {days:.1} days"))
        }
        _ => None,
    }
}
