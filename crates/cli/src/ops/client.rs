//! Client of a daemon's operators' port.

use std::{net::SocketAddr, time::Duration};

use awc::{
    ClientRequest, SendClientRequest,
    error::{ConnectError, SendRequestError},
    http::Method,
};
use comfreyway_core::config::Change;
use comfreyway_proto::{
    headers,
    operator::{
        ChangeReport, ChangeRequest, ChangeState, ConfigExport, ConfigReport, HistoryReport,
        OperatorProblem, RequestReport, StatusReport,
    },
};
use serde::de::DeserializeOwned;

use crate::CliError;

/// Timeout of a call. The daemon ends a change within half of it.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest accepted response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Client of one daemon.
pub struct Client {
    http: awc::Client,
    server: SocketAddr,
    secret: Option<String>,
}

impl Client {
    /// Creates a client of the daemon whose operators' port is `server`.
    #[must_use]
    pub fn new(server: SocketAddr, secret: Option<String>) -> Self {
        let http = awc::Client::builder().timeout(CALL_TIMEOUT).finish();
        Self { http, server, secret }
    }

    /// Reads the status of the daemon.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not respond.
    pub async fn status(&self) -> Result<StatusReport, CliError> {
        self.get("/v1/status").await
    }

    /// Reads the configuration in force.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not respond.
    pub async fn config(&self) -> Result<ConfigExport, CliError> {
        self.get("/v1/config").await
    }

    /// Reads which version is in force on which host.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not respond.
    pub async fn config_status(&self) -> Result<ConfigReport, CliError> {
        self.get("/v1/config/status").await
    }

    /// Reads the recent changes.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not respond.
    pub async fn history(&self) -> Result<HistoryReport, CliError> {
        self.get("/v1/config/history").await
    }

    /// Reads the state of a change.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not respond.
    pub async fn change_state(&self, id: &str) -> Result<ChangeState, CliError> {
        self.get(&format!("/v1/changes/{id}")).await
    }

    /// Reads the steps and the explanation of a request.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not respond or does not know the request.
    pub async fn request(&self, id: &str) -> Result<RequestReport, CliError> {
        self.get(&format!("/v1/requests/{id}")).await
    }

    /// Starts a planned stop of the daemon.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not respond or rejects the call.
    pub async fn stop(&self) -> Result<(), CliError> {
        let res = self.call(Method::POST, "/v1/stop").send().await;
        let res = res.map_err(|e| self.unreachable(&e))?;
        if res.status().is_success() {
            return Ok(());
        }
        Err(CliError::Problem(res.status().as_u16(), "the daemon rejected the stop".to_owned()))
    }

    /// Sends a change.
    ///
    /// # Errors
    ///
    /// Fails if the daemon can't be reached, or if its response is lost; then
    /// the outcome is unknown.
    pub async fn change(&self, change: Change, dry_run: bool) -> Result<ChangeReport, CliError> {
        let id = change.id;
        let body = ChangeRequest { change, dry_run };
        let send = self.call(Method::POST, "/v1/changes").send_json(&body);
        self.read_response(send).await.map_err(|e| match e {
            CliError::Malformed(_, cause) if !dry_run => CliError::ChangeUnknown(id, cause),
            other => other,
        })
    }

    async fn get<T>(&self, path: &str) -> Result<T, CliError>
    where
        T: DeserializeOwned,
    {
        self.read_response(self.call(Method::GET, path).send()).await
    }

    fn call(&self, method: Method, path: &str) -> ClientRequest {
        let request = self.http.request(method, format!("http://{}{path}", self.server));
        match &self.secret {
            Some(secret) => request.insert_header((headers::SECRET, secret.as_str())),
            None => request,
        }
    }

    /// Reads a response. Only a failure to connect is reported as unreachable.
    async fn read_response<T>(&self, send: SendClientRequest) -> Result<T, CliError>
    where
        T: DeserializeOwned,
    {
        let malformed = |cause: String| CliError::Malformed(self.server, cause);
        let mut res = match send.await {
            Ok(res) => res,
            Err(e) if not_sent(&e) => return Err(self.unreachable(&e)),
            Err(e) => return Err(malformed(e.to_string())),
        };
        let body =
            res.body().limit(MAX_RESPONSE_BYTES).await.map_err(|e| malformed(e.to_string()))?;
        serde_json::from_slice(&body).map_err(|e| {
            match serde_json::from_slice::<OperatorProblem>(&body) {
                Ok(problem) => CliError::Problem(problem.status, problem.detail),
                Err(_) if res.status().is_client_error() => {
                    let detail = String::from_utf8_lossy(&body).into_owned();
                    CliError::Problem(res.status().as_u16(), detail)
                }
                Err(_) => malformed(e.to_string()),
            }
        })
    }

    fn unreachable(&self, error: &SendRequestError) -> CliError {
        CliError::Unreachable(self.server, error.to_string())
    }
}

/// Returns true if no byte of the call can have reached the daemon.
pub(super) fn not_sent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Url(_) => true,
        SendRequestError::Connect(e) => !matches!(e, ConnectError::Disconnected),
        _ => false,
    }
}
