#include <gateway/route.h>

#include <catch2/catch.hpp>

using namespace camphorgrade;
using namespace camphorgrade::gateway;

namespace {

http_request asking(const std::string& method, const std::string& path) {
    return {method, path, "", {}, ""};
}

delivery::refusal_type refused(const std::string& method, const std::string& path) {
    return std::get<delivery::refusal>(find_route(asking(method, path))).type;
}

} // namespace

TEST_CASE("routes are found") {
    CHECK(std::get<route>(find_route(asking("POST", "/v1/completions"))).kind ==
          route_kind::completion);
    CHECK(std::get<route>(find_route(asking("POST", "/services/booking/bookings/7"))) ==
          route{route_kind::plain_service, "booking", "/bookings/7"});
    CHECK(std::get<route>(find_route(asking("GET", "/services/booking"))).service_path == "/");
}

TEST_CASE("unknown routes, methods and traversals are refused") {
    CHECK(refused("GET", "/v1/completions") == delivery::refusal_type::method_not_allowed);
    CHECK(refused("TRACE", "/services/booking/x") == delivery::refusal_type::method_not_allowed);
    CHECK(refused("GET", "/") == delivery::refusal_type::unknown_route);
    CHECK(refused("GET", "/services/") == delivery::refusal_type::unknown_service);
    CHECK(refused("GET", "/services/booking/../secret") ==
          delivery::refusal_type::malformed_request);
    CHECK(refused("GET", "/services/booking/..") == delivery::refusal_type::malformed_request);
}

TEST_CASE("the key is one bearer header") {
    using key = std::optional<std::string>;
    CHECK(std::get<key>(presented_key({})) == std::nullopt);
    CHECK(std::get<key>(presented_key({{"authorization", "Bearer k"}})) == "k");
    const auto twice =
        presented_key({{"Authorization", "Bearer k"}, {"authorization", "Bearer l"}});
    CHECK(std::get<delivery::refusal>(twice).type == delivery::refusal_type::invalid_key);
    CHECK(std::holds_alternative<delivery::refusal>(presented_key({{"Authorization", "Basic k"}})));
    const std::string huge(10'000, 'x');
    CHECK(std::holds_alternative<delivery::refusal>(
        presented_key({{"Authorization", "Bearer " + huge}})));
}

TEST_CASE("no header that can carry a key is passed on") {
    const http_headers sent{{"Authorization", "Bearer k"}, {"Cookie", "k"},      {"X-Api-Key", "k"},
                            {"Proxy-Authorization", "k"},  {"Accept", "text/x"}, {"Host", "h"}};
    CHECK(forwarded_headers(sent) == http_headers{{"Accept", "text/x"}});
}
