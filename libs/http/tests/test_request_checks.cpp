#include <http/request_checks.h>
#include <http/request_fault.h>

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <sstream>
#include <variant>

using namespace camphorgrade;

namespace {

using decoded_path = std::variant<std::string, request_fault>;

decoded_path decoded(const std::string& raw) {
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<decoded_path> {
            BOOST_LEAF_AUTO(path, decode_path(raw));
            return decoded_path(path);
        },
        [](request_fault fault) { return decoded_path(fault); },
        [] { return decoded_path(request_fault::malformed); });
}

bool is_control(char c) {
    const auto byte = static_cast<unsigned char>(c);
    return byte < 0x20U || byte == 0x7fU;
}

/** Paths made mostly of what attacks are made of. */
rc::Gen<std::string> hostile_paths() {
    const auto pieces = rc::gen::element<std::string>("/", "..", ".", "%2e", "%2E", "%2f", "%5c",
                                                      "\\", "%00", "%0d%0a", "%", "%z", "a", "%41",
                                                      "%25", "2e", "\xc3\xa4", " ", "\x7f");
    return rc::gen::map(rc::gen::container<std::vector<std::string>>(pieces),
                        [](const std::vector<std::string>& parts) {
                            std::string path = "/";
                            for (const std::string& part : parts) {
                                path += part;
                            }
                            return path;
                        });
}

void check_decoded(const std::string& raw) {
    const decoded_path outcome = decoded(raw);
    const auto* path = std::get_if<std::string>(&outcome);
    if (path == nullptr) {
        RC_ASSERT(std::get<request_fault>(outcome) == request_fault::bad_path);
        return;
    }
    RC_ASSERT(path->front() == '/');
    RC_ASSERT(std::none_of(path->begin(), path->end(), is_control));
    RC_ASSERT(path->find('\\') == std::string::npos);
    std::istringstream segments(*path);
    for (std::string segment; std::getline(segments, segment, '/');) {
        RC_ASSERT(segment != "..");
        RC_ASSERT(segment != ".");
    }
    RC_ASSERT(decoded(encode_path(*path)) == decoded_path(*path));
}

} // namespace

TEST_CASE("no path gets through that leaves its place or breaks a line") {
    rc::prop("hostile pieces", [] { check_decoded(*hostile_paths()); });
    rc::prop("any bytes", [] { check_decoded("/" + *rc::gen::arbitrary<std::string>()); });
}

TEST_CASE("a header that gets through breaks no line") {
    rc::prop("any name and value", [] {
        const http_header header{*rc::gen::arbitrary<std::string>(),
                                 *rc::gen::arbitrary<std::string>()};
        if (is_valid_header(header)) {
            RC_ASSERT(!header.name.empty());
            RC_ASSERT(header.name.find_first_of(" :\r\n") == std::string::npos);
            RC_ASSERT(std::none_of(header.value.begin(), header.value.end(),
                                   [](char c) { return is_control(c) && c != '\t'; }));
        }
    });
}

TEST_CASE("an announced length is a plain number within the limit, or a typed fault") {
    rc::prop("any value", [] {
        const auto text = *rc::gen::container<std::string>(
            rc::gen::element('0', '1', '9', '-', '+', ' ', 'x', '.'));
        const auto size = boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::size_t> {
                return announced_body_size("POST", {{"Content-Length", text}}, 1000);
            },
            [](request_fault /*fault*/) { return std::size_t{1001}; },
            [] { return std::size_t{1002}; });
        RC_ASSERT(size <= 1001U);
        if (size <= 1000U) {
            RC_ASSERT(text.find_first_not_of("0123456789") == std::string::npos);
            RC_ASSERT(std::stoull(text) == size);
        }
    });
}
