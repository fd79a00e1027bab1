//! Drain reports of back ends, and the platform's list of machines.

mod support;

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use petrellatch::http::{
    HttpHandler, HttpLimits, HttpRequest, HttpResponse, HttpServer, open_listener,
};
use petrellatch::settings::Role;
use support::{Cluster, DOCUMENT, wait_for};

/// A second back end for the document.
const BACKEND: &str = r#"
[[backends]]
name = "valuation-desk-2"
service = "valuation-desk"
agent = "agent-1"
zone = "zone-a"
server = "127.0.0.1:9"
slots = 7
"#;

/// A server that responds with health documents and a list of machines.
#[derive(Default)]
struct DocumentServer {
    draining: AtomicBool,
    requests: AtomicUsize,
}

impl HttpHandler for DocumentServer {
    fn handle(&self, request: &HttpRequest) -> HttpResponse {
        self.requests.fetch_add(1, Ordering::SeqCst);
        let draining = self.draining.load(Ordering::SeqCst);
        let body = match request.path.as_str() {
            // A draining back end may also report that it is not healthy.
            "/health" => format!("{{\"healthy\":false,\"draining\":{draining}}}"),
            "/machines" => "[{\"name\":\"agent-1\",\"leaving\":true}]".to_string(),
            path => panic!("unexpected request for {path}"),
        };
        HttpResponse::json(503, body)
    }
}

fn serve(document_server: &Arc<DocumentServer>) -> HttpServer {
    let limits = HttpLimits {
        workers: 2,
        requests: 16,
        body_bytes: 1_024,
    };
    let any_port: SocketAddrV4 = "127.0.0.1:0".parse().expect("an address");
    let listener = open_listener(any_port, "a test").expect("a free port");
    HttpServer::start(listener, limits, Arc::clone(document_server)).expect("the server starts")
}

#[test]
fn a_back_end_that_reports_draining_gets_no_new_flows_until_it_reports_otherwise() {
    let document_server = Arc::new(DocumentServer::default());
    let server = serve(&document_server);
    let mut cluster = Cluster::start(1);
    let mut settings = cluster.settings(Role::Agent, "agent-1", false);
    settings.health_path = Some("/health".to_string());
    cluster.start_daemon_with(Role::Agent, settings);
    // Drain reports of back ends can drain at most half of a service, so a
    // second back end is needed.
    let other = Arc::new(DocumentServer::default());
    let other_server = serve(&other);
    let first = DOCUMENT.replace("127.0.0.1:9", &server.address().to_string());
    let second = BACKEND.replace("127.0.0.1:9", &other_server.address().to_string());
    cluster.apply(&format!("{first}\n{second}"));
    let weight_is = |wanted: u32| {
        cluster.wait_for_status("the weight follows the back end's drain report", |status| {
            let mut backends = status.services[0].backends.iter();
            let backend = backends.find(|backend| backend.name == "valuation-desk-1");
            backend.is_some_and(|backend| backend.weight == wanted)
        });
    };
    weight_is(1_000);
    document_server.draining.store(true, Ordering::SeqCst);
    weight_is(0);
    document_server.draining.store(false, Ordering::SeqCst);
    weight_is(1_000);
}

#[test]
fn a_member_that_the_platform_lists_as_leaving_stays_live_while_it_sends_heartbeats() {
    let document_server = Arc::new(DocumentServer::default());
    let server = serve(&document_server);
    let mut cluster = Cluster::start(1);
    cluster.take("control-1").kill();
    let mut settings = cluster.settings(Role::Control, "control-1", false);
    settings.platform_list_url = Some(format!("http://{}/machines", server.address()));
    cluster.restart_control_with(settings);
    cluster.start_daemon(Role::Agent, "agent-1");
    wait_for("the list is read twice", || {
        document_server.requests.load(Ordering::SeqCst) >= 2
    });
    cluster.wait_for_status("a member that sends heartbeats stays live", |status| {
        let mut members = status.members.iter();
        members.any(|member| member.name == "agent-1" && member.state == "live")
    });
}
