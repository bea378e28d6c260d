#include "upstream_fixture.h"

#include <chrono>
#include <cstdint>
#include <future>
#include <string>
#include <thread>
#include <vector>

using namespace camphorgrade;
using namespace camphorgrade::edge;
using namespace camphorgrade::testing;

namespace {

const std::string head = "HTTP/1.1 200 OK\r\nX-Id: r1\r\n";

/** A whole response, and the size from which it is complete if the connection is closed. */
struct whole_response {
    const char* description;
    std::string text;
    std::size_t complete_at;
};

const std::vector<whole_response>& whole_responses() {
    static const std::vector<whole_response> all = [] {
        const std::string length_framed = head + "Content-Length: 12\r\n\r\nid: 1\ndata\n\n";
        const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n" +
                                    "6\r\nid: 1\n\r\n6;x=y\r\ndata\n\n\r\n0\r\n\r\n";
        const std::string with_trailer =
            head + "Transfer-Encoding: chunked\r\n\r\n" + "4\r\npart\r\n0\r\nX-T: 1\r\n\r\n";
        const std::string empty = head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
        const std::string unframed = head + "\r\nid: 1\ndata\n\n";
        return std::vector<whole_response>{
            {"with Content-Length", length_framed, length_framed.size()},
            {"chunked", chunked, chunked.size()},
            {"chunked and empty", empty, empty.size()},
            {"chunked with a trailer", with_trailer, with_trailer.size()},
            {"until the connection is closed", unframed, head.size() + 2}};
    }();
    return all;
}

enum class cut_by : std::uint8_t { fin, rst };

call_result result_of_cut(const std::string& sent, cut_by how) {
    upstream_fixture fixture;
    auto& sink = fixture.start();
    auto server = fixture.accept();
    server.read_until("body");
    server.send(sent);
    if (how == cut_by::fin) {
        server.close();
    } else {
        server.reset();
    }
    return wait_for_end(sink);
}

/** A request that doesn't fit into the buffers of its connection. */
upstream_request large_request() {
    upstream_request request;
    request.method = "POST";
    request.target = "/work";
    request.headers = {{"Host", "x"}, {"X-Id", "r1"}};
    request.body = std::string(std::size_t{32} * 1024 * 1024, 'b');
    request.correlation_header = "X-Id";
    request.correlation_id = "r1";
    return request;
}

} // namespace

TEST_CASE("a response that is cut at any byte by a close isn't complete") {
    for (const auto& each : whole_responses()) {
        for (std::size_t size = 0; size <= each.text.size(); ++size) {
            INFO(each.description << ", cut after " << size << " of " << each.text.size());
            const auto received = result_of_cut(each.text.substr(0, size), cut_by::fin);
            CHECK(received.is_complete == (size >= each.complete_at));
            CHECK(received.failure.has_value() == (size < each.complete_at));
        }
    }
}

TEST_CASE("a response that is cut at any byte by a reset isn't complete") {
    for (const auto& each : whole_responses()) {
        const bool has_end = each.complete_at == each.text.size();
        for (std::size_t size = 0; size <= each.text.size(); ++size) {
            INFO(each.description << ", cut after " << size << " of " << each.text.size());
            const auto received = result_of_cut(each.text.substr(0, size), cut_by::rst);
            // The reset may discard the last bytes of a whole response.
            if (!has_end || size < each.complete_at) {
                CHECK_FALSE(received.is_complete);
                CHECK(received.failure.has_value());
            }
        }
    }
}

TEST_CASE("a whole response with a length is complete though the request wasn't read to its end") {
    upstream_fixture fixture;
    auto& sink = fixture.start(fixture.address(), large_request());
    auto server = fixture.accept();
    server.read_until("\r\n\r\n");
    server.send(response_text("r1", "too large"));
    CHECK(wait_for_end(sink).body == "too large");
}

TEST_CASE("an empty chunked response that arrives byte by byte is complete") {
    upstream_fixture fixture;
    auto& sink = fixture.start();
    auto server = fixture.accept();
    server.read_until("body");
    server.send(head + "Transfer-Encoding: chunked\r\n\r\n");
    for (const char byte : std::string("0\r\n\r\n")) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
        server.send(std::string(1, byte));
    }
    CHECK(wait_for_end(sink).is_complete);
}
