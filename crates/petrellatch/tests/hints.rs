//! What back ends and the platform tell the processes.

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

/// A server that answers every request with the same kind of document.
#[derive(Default)]
struct Teller {
    draining: AtomicBool,
    asked: AtomicUsize,
}

impl HttpHandler for Teller {
    fn handle(&self, request: &HttpRequest) -> HttpResponse {
        self.asked.fetch_add(1, Ordering::SeqCst);
        let draining = self.draining.load(Ordering::SeqCst);
        let body = match request.path.as_str() {
            // A back end that leaves may say that it is not healthy.
            "/health" => format!("{{\"healthy\":false,\"draining\":{draining}}}"),
            "/machines" => "[{\"name\":\"agent-1\",\"leaving\":true}]".to_string(),
            path => panic!("nobody should ask for {path}"),
        };
        HttpResponse::json(503, body)
    }
}

fn serve(teller: &Arc<Teller>) -> HttpServer {
    let limits = HttpLimits {
        workers: 2,
        requests: 16,
        body_bytes: 1_024,
    };
    let any_port: SocketAddrV4 = "127.0.0.1:0".parse().expect("an address");
    let listener = open_listener(any_port, "a test").expect("a free port");
    HttpServer::start(listener, limits, Arc::clone(teller)).expect("it starts")
}

#[test]
fn a_back_end_that_says_it_is_draining_gets_nothing_new_until_it_says_otherwise() {
    let teller = Arc::new(Teller::default());
    let server = serve(&teller);
    let mut cluster = Cluster::found(1);
    let mut settings = cluster.settings(Role::Agent, "agent-1", false);
    settings.health_path = Some("/health".to_string());
    cluster.start_daemon_with(Role::Agent, settings);
    // The word of back ends alone takes out at most half of a service, so
    // there has to be a second one.
    let other = Arc::new(Teller::default());
    let other_server = serve(&other);
    let first = DOCUMENT.replace("127.0.0.1:9", &server.address().to_string());
    let second = BACKEND.replace("127.0.0.1:9", &other_server.address().to_string());
    cluster.apply(&format!("{first}\n{second}"));
    let weight_is = |wanted: u32| {
        cluster.wait_for_status("the weight follows the back end's word", |status| {
            let mut backends = status.services[0].backends.iter();
            let said = backends.find(|backend| backend.name == "valuation-desk-1");
            said.is_some_and(|backend| backend.weight == wanted)
        });
    };
    weight_is(1_000);
    teller.draining.store(true, Ordering::SeqCst);
    weight_is(0);
    teller.draining.store(false, Ordering::SeqCst);
    weight_is(1_000);
}

#[test]
fn the_list_of_the_platform_is_read_and_a_member_it_lists_as_leaving_stays() {
    let teller = Arc::new(Teller::default());
    let server = serve(&teller);
    let mut cluster = Cluster::found(1);
    cluster.take("control-1").kill();
    let mut settings = cluster.settings(Role::Control, "control-1", false);
    settings.platform_list_url = Some(format!("http://{}/machines", server.address()));
    cluster.restart_control_with(settings);
    cluster.start_daemon(Role::Agent, "agent-1");
    wait_for("the list is read twice", || {
        teller.asked.load(Ordering::SeqCst) >= 2
    });
    cluster.wait_for_status("a member that is heard stays live", |status| {
        let mut members = status.members.iter();
        members.any(|member| member.name == "agent-1" && member.state == "live")
    });
}
