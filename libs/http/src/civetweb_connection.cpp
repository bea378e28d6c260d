#include "civetweb_connection.h"

#include <http/request_checks.h>
#include <kernel/clock.h>

#include <boost/beast/http/status.hpp>
#include <boost/leaf/error.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>
#include <string_view>
#include <utility>

#include <civetweb.h>

namespace camphorgrade {

namespace leaf = boost::leaf;

namespace {

constexpr std::size_t read_block_bytes = std::size_t{16} * 1024;
constexpr std::string_view framing_headers[] = {"Connection", "Content-Length", "Keep-Alive",
                                                "Transfer-Encoding"};

bool is_framing_header(const std::string& name) {
    return std::any_of(
        std::begin(framing_headers), std::end(framing_headers),
        [&](std::string_view framing) { return mg_strcasecmp(name.c_str(), framing.data()) == 0; });
}

http_headers headers_of(const mg_request_info& info) {
    http_headers headers;
    headers.reserve(static_cast<std::size_t>(info.num_headers));
    for (int i = 0; i < info.num_headers; ++i) {
        headers.push_back({info.http_headers[i].name, info.http_headers[i].value});
    }
    return headers;
}

bool send_all(mg_connection* connection, std::string_view bytes) {
    return bytes.empty() ||
           mg_write(connection, bytes.data(), bytes.size()) == static_cast<int>(bytes.size());
}

leaf::result<std::string> read_body(mg_connection* connection, std::size_t size,
                                    duration time_limit) {
    const monotonic_clock clock;
    const time_point deadline = clock.now() + time_limit;
    std::string body;
    body.reserve(size);
    std::array<char, read_block_bytes> block{};
    while (body.size() < size) {
        const std::size_t wanted = std::min(block.size(), size - body.size());
        const int got = mg_read(connection, block.data(), wanted);
        if (got > 0) {
            body.append(block.data(), static_cast<std::size_t>(got));
        }
        if (body.size() < size && (got <= 0 || clock.now() >= deadline)) {
            return leaf::new_error(request_fault::timed_out);
        }
    }
    return body;
}

/** Status line, the headers that are ours to pass on, and the connection's fate. */
std::string head_text(const http_head& head, const answer_framing& framing) {
    const auto reason = boost::beast::http::obsolete_reason(
        boost::beast::http::int_to_status(static_cast<unsigned>(head.status)));
    std::string text = "HTTP/1.1 " + std::to_string(head.status) + " " +
                       std::string(reason.data(), reason.size()) + "\r\n";
    for (const http_header& header : head.headers) {
        if (is_valid_header(header) && !is_framing_header(header.name)) {
            text += header.name + ": " + header.value + "\r\n";
        }
    }
    text += framing.close ? "Connection: close\r\n" : "Connection: keep-alive\r\n";
    return text;
}

bool has_body(int status) {
    return status >= 200 && status != 204 && status != 304;
}

} // namespace

leaf::result<http_request> read_request(mg_connection* connection,
                                        const http_server_settings& settings) {
    const mg_request_info& info = *mg_get_request_info(connection);
    const std::string_view raw_path = info.request_uri == nullptr ? "" : info.request_uri;
    http_request request;
    request.method = info.request_method;
    request.query = info.query_string == nullptr ? "" : info.query_string;
    request.headers = headers_of(info);
    if (raw_path.size() + request.query.size() > settings.max_uri_bytes) {
        return leaf::new_error(request_fault::uri_too_long);
    }
    BOOST_LEAF_ASSIGN(request.path, decode_path(raw_path));
    if (auto checked = check_headers(request.headers, settings.headers); !checked) {
        return checked.error();
    }
    BOOST_LEAF_AUTO(size,
                    announced_body_size(request.method, request.headers, settings.max_body_bytes));
    if (size > 0 && find_header(request.headers, "Expect")) {
        send_all(connection, "HTTP/1.1 100 Continue\r\n\r\n");
    }
    BOOST_LEAF_ASSIGN(request.body, read_body(connection, size, settings.request_timeout));
    return request;
}

answer_framing framing_of(const mg_connection* connection) {
    const mg_request_info& info = *mg_get_request_info(connection);
    const char* const wish = mg_get_header(connection, "Connection");
    const std::string_view version = info.http_version == nullptr ? "" : info.http_version;
    const std::string_view method = info.request_method == nullptr ? "" : info.request_method;
    answer_framing framing;
    framing.is_http_10 = version == "1.0";
    framing.without_body = method == "HEAD";
    framing.close = framing.is_http_10 || (wish != nullptr && mg_strcasecmp(wish, "close") == 0);
    return framing;
}

bool send_whole(mg_connection* connection, const http_response& response,
                const answer_framing& framing) {
    std::string text = head_text(response.head, framing);
    if (has_body(response.head.status)) {
        text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    }
    text += "\r\n";
    if (has_body(response.head.status) && !framing.without_body) {
        text += response.body;
    }
    return send_all(connection, text);
}

bool send_stream_head(mg_connection* connection, const http_head& head,
                      const answer_framing& framing) {
    return send_all(connection, head_text(head, framing) + "Transfer-Encoding: chunked\r\n\r\n");
}

bool send_stream_chunk(mg_connection* connection, const std::string& bytes) {
    if (bytes.empty()) {
        return true;
    }
    std::array<char, 2 * sizeof(std::size_t)> digits{};
    const auto written =
        std::to_chars(digits.data(), digits.data() + digits.size(), bytes.size(), 16);
    std::string framed(digits.data(), written.ptr);
    framed += "\r\n" + bytes + "\r\n";
    return send_all(connection, framed);
}

bool send_stream_end(mg_connection* connection) {
    return send_all(connection, "0\r\n\r\n");
}

} // namespace camphorgrade
