#include "refusal_response.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace camphorgrade;
using namespace camphorgrade::entry;
using serving::end_reason;

namespace {

const std::vector<end_reason> all_reasons{
    end_reason::no_catalogue,   end_reason::no_route,      end_reason::unknown_key,
    end_reason::over_rate,      end_reason::quarantined,   end_reason::no_backend,
    end_reason::no_capacity,    end_reason::refused,       end_reason::timed_out,
    end_reason::timed_out_sent, end_reason::shutting_down, end_reason::invalid_response};

bool guarantees_not_run(int status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

TEST_CASE("a status that guarantees that the request has not run is used only if that is certain") {
    for (const auto reason : all_reasons) {
        const auto refusal = make_refusal_response({1, reason, {}});
        INFO(to_string(reason));
        if (!has_not_run(reason)) {
            CHECK_FALSE(guarantees_not_run(refusal.head.status));
            CHECK(refusal.body.find("\"run\":\"unknown\"") != std::string::npos);
        } else {
            CHECK(refusal.body.find("\"run\":\"not_run\"") != std::string::npos);
        }
    }
}

TEST_CASE("an error response has a Retry-After header if the time is known") {
    const auto refusal = make_refusal_response({1, end_reason::over_rate, duration{250}});
    CHECK(refusal.head.status == 429);
    CHECK(find_header(refusal.head.headers, "Retry-After") == "0.250");
    CHECK_FALSE(
        find_header(make_refusal_response({1, end_reason::invalid_response, {}}).head.headers,
                    "Retry-After")
            .has_value());
}
