#include <http/request_checks.h>
#include <http/request_fault.h>

#include <boost/leaf/error.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace camphorgrade {

namespace leaf = boost::leaf;

namespace {

constexpr std::string_view token_punctuation = "!#$%&'*+-.^_`|~";
constexpr std::string_view path_punctuation = "/-._~!$&'()*+,;=:@";
constexpr std::string_view hex_digits = "0123456789ABCDEF";

bool is_alphanumeric(char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

bool is_control(char c) {
    const auto byte = static_cast<unsigned char>(c);
    return byte < 0x20U || byte == 0x7fU;
}

std::optional<unsigned> hex_value(char c) {
    if (c >= '0' && c <= '9') {
        return static_cast<unsigned>(c - '0');
    }
    if (c >= 'a' && c <= 'f') {
        return static_cast<unsigned>(c - 'a' + 10);
    }
    if (c >= 'A' && c <= 'F') {
        return static_cast<unsigned>(c - 'A' + 10);
    }
    return std::nullopt;
}

/** Decodes escapes; empty on a bad one or one that stands for a separator. */
std::optional<std::string> unescape(std::string_view raw) {
    std::string path;
    path.reserve(raw.size());
    for (std::size_t i = 0; i < raw.size(); ++i) {
        if (raw[i] != '%') {
            path.push_back(raw[i]);
            continue;
        }
        const auto high = i + 2 < raw.size() ? hex_value(raw[i + 1]) : std::nullopt;
        const auto low = i + 2 < raw.size() ? hex_value(raw[i + 2]) : std::nullopt;
        if (!high || !low) {
            return std::nullopt;
        }
        const char decoded = static_cast<char>(*high * 16U + *low);
        if (decoded == '/') {
            return std::nullopt;
        }
        path.push_back(decoded);
        i += 2;
    }
    return path;
}

bool has_dot_segment(std::string_view path) {
    while (!path.empty()) {
        const std::size_t end = std::min(path.find('/'), path.size());
        const std::string_view segment = path.substr(0, end);
        if (segment == "." || segment == "..") {
            return true;
        }
        path.remove_prefix(std::min(end + 1, path.size()));
    }
    return false;
}

bool takes_body(const std::string& method) {
    return method == "POST" || method == "PUT" || method == "PATCH";
}

} // namespace

int http_status(request_fault fault) noexcept {
    switch (fault) {
    case request_fault::malformed:
    case request_fault::bad_path:
        return 400;
    case request_fault::length_required:
        return 411;
    case request_fault::body_too_large:
        return 413;
    case request_fault::uri_too_long:
        return 414;
    case request_fault::headers_too_large:
        return 431;
    case request_fault::timed_out:
        return 408;
    case request_fault::too_busy:
        return 503;
    case request_fault::unsupported:
        return 505;
    }
    return 400;
}

leaf::result<std::string> decode_path(std::string_view raw) {
    auto path = unescape(raw);
    if (!path || path->empty() || path->front() != '/' || has_dot_segment(*path) ||
        path->find('\\') != std::string::npos ||
        std::any_of(path->begin(), path->end(), is_control)) {
        return leaf::new_error(request_fault::bad_path);
    }
    return std::move(*path);
}

std::string encode_path(std::string_view path) {
    std::string raw;
    raw.reserve(path.size());
    for (const char c : path) {
        if (is_alphanumeric(c) || path_punctuation.find(c) != std::string_view::npos) {
            raw.push_back(c);
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        raw.push_back('%');
        raw.push_back(hex_digits[byte / 16U]);
        raw.push_back(hex_digits[byte % 16U]);
    }
    return raw;
}

bool is_valid_header(const http_header& header) {
    const bool name_ok =
        !header.name.empty() && std::all_of(header.name.begin(), header.name.end(), [](char c) {
            return is_alphanumeric(c) || token_punctuation.find(c) != std::string_view::npos;
        });
    return name_ok && std::none_of(header.value.begin(), header.value.end(),
                                   [](char c) { return is_control(c) && c != '\t'; });
}

leaf::result<void> check_headers(const http_headers& headers, const header_limits& limits) {
    if (headers.size() > limits.max_count) {
        return leaf::new_error(request_fault::headers_too_large);
    }
    std::size_t bytes = 0;
    for (const http_header& header : headers) {
        bytes += header.name.size() + header.value.size();
    }
    if (bytes > limits.max_bytes) {
        return leaf::new_error(request_fault::headers_too_large);
    }
    if (!std::all_of(headers.begin(), headers.end(), is_valid_header) ||
        count_headers(headers, "Host") != 1) {
        return leaf::new_error(request_fault::malformed);
    }
    return {};
}

leaf::result<std::size_t> announced_body_size(const std::string& method,
                                              const http_headers& headers, std::size_t max_bytes) {
    if (count_headers(headers, "Transfer-Encoding") > 0) {
        return leaf::new_error(request_fault::length_required);
    }
    const std::size_t count = count_headers(headers, "Content-Length");
    if (count == 0 && takes_body(method)) {
        return leaf::new_error(request_fault::length_required);
    }
    if (count == 0) {
        return std::size_t{0};
    }
    const std::string text = *find_header(headers, "Content-Length");
    std::size_t size = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), size);
    if (parsed.ec == std::errc::result_out_of_range) {
        return leaf::new_error(request_fault::body_too_large);
    }
    if (count > 1 || parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size()) {
        return leaf::new_error(request_fault::malformed);
    }
    if (size > max_bytes) {
        return leaf::new_error(request_fault::body_too_large);
    }
    return size;
}

} // namespace camphorgrade
