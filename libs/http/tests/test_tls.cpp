#include "certificate.h"
#include "loopback.h"
#include "recording.h"

#include <http/http_client.h>
#include <http/http_server.h>

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

#include <thread>
#include <variant>

using namespace camphorgrade;
using namespace camphorgrade::testing;

namespace {

const plain_formatter formatter;

/** A server, or why there is none. */
std::variant<std::unique_ptr<http_server>, http_server_error> serve(request_handler& handler,
                                                                    const std::string& path) {
    using outcome = std::variant<std::unique_ptr<http_server>, http_server_error>;
    http_server_settings settings;
    settings.certificate_path = path;
    settings.max_connections = 4;
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<outcome> {
            BOOST_LEAF_AUTO(server, http_server::start(settings, handler, formatter));
            return outcome(std::move(server));
        },
        [](http_server_error error) { return outcome(error); },
        [] { return outcome(http_server_error::cannot_listen); });
}

recording_sink call(std::uint16_t port, const std::string& trusted) {
    recording_sink sink;
    http_client(http_client_settings{trusted})
        .call({"127.0.0.1", port, true}, {"POST", "/x", "", {}, "body"}, {}, sink);
    return sink;
}

bool reload(http_server& server) {
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
            auto reloaded = server.reload_certificate();
            return reloaded ? boost::leaf::result<bool>(true) : reloaded.error();
        },
        [] { return false; });
}

} // namespace

TEST_CASE("a call over TLS reaches a server whose certificate is trusted, and no other") {
    echo_handler handler;
    const certificate_file certificate;
    const certificate_file stranger;
    const auto started = serve(handler, certificate.path());
    const auto& server = std::get<std::unique_ptr<http_server>>(started);
    const std::uint16_t port = server->bound_port();
    CHECK(call(port, certificate.path()).body == "/x|body");
    CHECK(call(port, stranger.path()).failure == call_failure_kind::not_sent);
    CHECK(call(port, "").failure == call_failure_kind::not_sent);
    recording_sink plain;
    http_client().call({"127.0.0.1", port}, {"GET", "/", "", {}, ""}, {}, plain);
    CHECK_FALSE(plain.is_whole());
}

TEST_CASE("a reloaded certificate serves the connections that follow") {
    echo_handler handler;
    const certificate_file certificate;
    const auto started = serve(handler, certificate.path());
    const auto& server = std::get<std::unique_ptr<http_server>>(started);
    const std::uint16_t port = server->bound_port();
    certificate.renew();
    CHECK(call(port, certificate.path()).failure == call_failure_kind::not_sent);
    CHECK(reload(*server));
    CHECK(call(port, certificate.path()).is_whole());
}

TEST_CASE("a bad certificate is refused, and the one in force stays") {
    echo_handler handler;
    const certificate_file certificate;
    const certificate_file trusted;
    const auto started = serve(handler, trusted.path());
    const auto& server = std::get<std::unique_ptr<http_server>>(started);
    certificate.spoil();
    CHECK(std::get<http_server_error>(serve(handler, certificate.path())) ==
          http_server_error::bad_certificate);
    CHECK(std::get<http_server_error>(serve(handler, "/nowhere")) ==
          http_server_error::bad_certificate);
    const http_client client(http_client_settings{trusted.path()});
    trusted.spoil();
    CHECK_FALSE(reload(*server));
    recording_sink sink;
    client.call({"127.0.0.1", server->bound_port(), true}, {"GET", "/", "", {}, ""}, {}, sink);
    CHECK(sink.is_whole());
}

TEST_CASE("a caller that hangs up over TLS is reported") {
    recording_handler handler;
    const certificate_file certificate;
    const auto started = serve(handler, certificate.path());
    const auto& server = std::get<std::unique_ptr<http_server>>(started);
    call_cancellation cancellation;
    recording_sink sink;
    std::thread caller([&] {
        http_client(http_client_settings{certificate.path()})
            .call({"127.0.0.1", server->bound_port(), true}, {"GET", "/", "", {}, ""}, {}, sink,
                  &cancellation);
    });
    const received_request received = handler.requests.take();
    cancellation.cancel();
    CHECK(handler.losses.take() == caller_loss::closed);
    caller.join();
    CHECK(sink.failure == call_failure_kind::broken);
}
