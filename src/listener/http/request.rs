//! Builds the core's requests from HTTP requests.

use super::codec::{status, HttpError, HttpRequest};
use super::Shared;
use crate::core::{QueryPayload, Request};
use crate::net::Time;
use dahliaspoke::policy::RequestId;
use std::sync::Arc;

/// Path prefix, followed by the name of a class.
pub const INVOKE_PREFIX: &str = "/invoke/";

/// The request's id: 16 hex digits.
const ID_HEADER: &str = "X-Job-Id";
/// How long the client waits (ms).
const TIMEOUT_HEADER: &str = "X-Allow-Ms";
/// The idempotency key.
const IDEMPOTENCY_KEY_HEADER: &str = "X-Unique";
/// The name of the tenant.
const TENANT_HEADER: &str = "X-Team";
/// The order key: requests of an ordered class that have the same one run one at a time.
const ORDER_KEY_HEADER: &str = "X-Item";
/// Estimated work (ms of one thread).
const ESTIMATED_WORK_HEADER: &str = "X-Size-Ms";
/// Estimated memory (MB).
const ESTIMATED_MEMORY_HEADER: &str = "X-Est-Mb";

/// Hex digits of a request's id.
const ID_LENGTH: usize = 16;
/// Maximum length of an order key (bytes).
const MAX_ORDER_KEY_BYTES: usize = 128;
/// Exclusive upper bound of numbers in header fields.
const NUMBER_BOUND: f64 = 1e9;
const MILLISECONDS_PER_SECOND: f64 = 1000.0;
/// The table group of a statement that does not name one.
const NO_TABLE_GROUP: i64 = -1;

const MALFORMED: HttpError = HttpError(status::BAD_REQUEST);

/// The request's properties that the head of an HTTP request specifies.
pub struct RequestHead {
    /// Index of the class in the settings.
    pub class: usize,
    /// The id that the client chose.
    pub id: RequestId,
    /// How long the client waits (s).
    pub timeout: f64,
    estimated_work: Option<f64>,
    estimated_memory: Option<f64>,
    idempotency_key: Option<Arc<str>>,
    tenant: Option<usize>,
    order_key: Option<Arc<str>>,
}

impl RequestHead {
    /// Decodes the head of an HTTP request for a class.
    ///
    /// # Errors
    /// The status of the response if the method, the class or a header field is invalid, or if a request with
    /// this id is open.
    pub fn decode(http_request: &HttpRequest, class_name: &str, shared: &Shared) -> Result<Self, HttpError> {
        if http_request.method != "POST" {
            return Err(HttpError(status::METHOD_NOT_ALLOWED));
        }
        let class = shared.names.classes.iter().position(|class| **class == *class_name);
        let class = class.ok_or(HttpError(status::NOT_FOUND))?;
        let id = decode_id(http_request)?;
        let timeout =
            decode_number(http_request, TIMEOUT_HEADER)?.ok_or(MALFORMED)? / MILLISECONDS_PER_SECOND;
        let idempotency_key = decode_idempotency_key(http_request)?;
        let tenant = decode_tenant(http_request, &shared.names.tenants)?;
        let order_key = decode_order_key(http_request)?;
        if shared.state.is_open(&id) {
            return Err(MALFORMED);
        }
        Ok(Self {
            class,
            id,
            timeout: timeout.min(shared.state.limits.clients.max_request_time),
            estimated_work: decode_number(http_request, ESTIMATED_WORK_HEADER)?.filter(|work| *work > 0.0),
            estimated_memory: decode_number(http_request, ESTIMATED_MEMORY_HEADER)?
                .filter(|memory| *memory > 0.0),
            idempotency_key,
            tenant,
            order_key,
        })
    }

    /// Builds the request, without its statement. The client's timeout runs from `received_at`.
    pub fn to_request(&self, received_at: Time, table_group: Option<i64>, shared: &Shared) -> Request {
        Request {
            route: shared.state.route,
            id: self.id.clone(),
            class: self.class,
            tenant: self.tenant,
            order_key: self.order_key.clone(),
            deadline: received_at + self.timeout,
            estimated_work: self.estimated_work,
            estimated_memory: self.estimated_memory,
            table_group: table_group.unwrap_or(NO_TABLE_GROUP),
            uploading: false,
            payload: QueryPayload {
                class_name: shared.names.classes[self.class].clone(),
                idempotency_key: self.idempotency_key.clone(),
                ..QueryPayload::default()
            },
        }
    }
}

fn decode_id(http_request: &HttpRequest) -> Result<RequestId, HttpError> {
    let id = http_request.unique_header(ID_HEADER)?.ok_or(MALFORMED)?;
    if id.len() == ID_LENGTH && id.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        Ok(id.into())
    } else {
        Err(MALFORMED)
    }
}

/// Decodes the idempotency key. Engines receive it in a list of fields, where a comma or an equals sign would
/// end it.
fn decode_idempotency_key(http_request: &HttpRequest) -> Result<Option<Arc<str>>, HttpError> {
    let Some(key) = http_request.unique_header(IDEMPOTENCY_KEY_HEADER)? else { return Ok(None) };
    let is_allowed = |byte: u8| byte != b',' && byte != b'=' && byte.is_ascii_graphic();
    if key.is_empty() || !key.bytes().all(is_allowed) {
        return Err(MALFORMED);
    }
    Ok(Some(key.into()))
}

/// Decodes the tenant's index. The header field is optional, and ignored if the deployment has no tenants; an
/// unknown tenant is an error.
fn decode_tenant(http_request: &HttpRequest, tenants: &[Arc<str>]) -> Result<Option<usize>, HttpError> {
    let Some(name) = http_request.unique_header(TENANT_HEADER)? else { return Ok(None) };
    if tenants.is_empty() {
        return Ok(None);
    }
    tenants.iter().position(|tenant| **tenant == *name).map(Some).ok_or(MALFORMED)
}

fn decode_order_key(http_request: &HttpRequest) -> Result<Option<Arc<str>>, HttpError> {
    let Some(key) = http_request.unique_header(ORDER_KEY_HEADER)? else { return Ok(None) };
    let has_allowed_length = (1..=MAX_ORDER_KEY_BYTES).contains(&key.len());
    if !has_allowed_length || !key.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(MALFORMED);
    }
    Ok(Some(key.into()))
}

/// Decodes the non-negative number in a header field.
fn decode_number(http_request: &HttpRequest, header: &str) -> Result<Option<f64>, HttpError> {
    let Some(text) = http_request.unique_header(header)? else { return Ok(None) };
    let number = text.parse::<f64>().map_err(|_| MALFORMED)?;
    if (0.0..NUMBER_BOUND).contains(&number) {
        Ok(Some(number))
    } else {
        Err(MALFORMED)
    }
}
